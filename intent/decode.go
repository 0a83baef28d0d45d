package intent

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/springgate/springgate/digest"
	"go.yaml.in/yaml/v3"
)

// ValidationError is one invalid field of a fleet file.
type ValidationError struct {
	File  string
	Line  int
	Field string
	Text  string
}

// Error returns "file:line: field: text".
func (e ValidationError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Text)
}

// ValidationErrors lists every error found in a file, ordered by line.
type ValidationErrors []ValidationError

// Error returns one line for each error.
func (e ValidationErrors) Error() string {
	lines := make([]string, len(e))
	for i, x := range e {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// decoder walks a YAML tree and collects all errors instead of stopping at the first.
type decoder struct {
	file string
	errs ValidationErrors
}

func (d *decoder) errorf(line int, field, format string, args ...any) {
	d.errs = append(d.errs, ValidationError{File: d.file, Line: line, Field: field, Text: fmt.Sprintf(format, args...)})
}

// object is a mapping whose field names have been checked against the allowed ones.
type object struct {
	d      *decoder
	path   string
	line   int
	fields map[string]*yaml.Node
}

func (d *decoder) object(n *yaml.Node, path string, allowed ...string) *object {
	o := &object{d: d, path: path, line: n.Line, fields: map[string]*yaml.Node{}}
	if n.Kind != yaml.MappingNode {
		d.errorf(n.Line, path, "want a mapping with %s", strings.Join(allowed, ", "))
		return o
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		switch {
		case !slices.Contains(allowed, k.Value):
			d.errorf(k.Line, o.fieldPath(k.Value), "unknown field; allowed: %s", strings.Join(allowed, ", "))
		case o.fields[k.Value] != nil:
			d.errorf(k.Line, o.fieldPath(k.Value), "field given twice, first in line %d", o.fields[k.Value].Line)
		default:
			o.fields[k.Value] = v
		}
	}
	return o
}

func (o *object) fieldPath(field string) string {
	if o.path == "" {
		return field
	}
	return o.path + "." + field
}

// lineOf returns the line of a field, or of the object if it is absent.
func (o *object) lineOf(field string) int {
	if n := o.fields[field]; n != nil {
		return n.Line
	}
	return o.line
}

func (o *object) errorf(field, format string, args ...any) {
	o.d.errorf(o.lineOf(field), o.fieldPath(field), format, args...)
}

func (o *object) has(field string) bool { return o.fields[field] != nil }

// scalar returns the text of a scalar field that has one of the given YAML tags.
// want describes the expected value in the error for any other field.
func (o *object) scalar(field, want string, tags ...string) (string, bool) {
	n := o.fields[field]
	if n == nil {
		return "", false
	}
	if n.Kind != yaml.ScalarNode || !slices.Contains(tags, n.Tag) {
		o.errorf(field, "want %s", want)
		return "", false
	}
	return n.Value, true
}

func (o *object) str(field string, required bool) string {
	v, ok := o.scalar(field, "a string", "!!str")
	if ok && v != "" {
		return v
	}
	if required && (ok || !o.has(field)) {
		o.errorf(field, "missing; want a string")
	}
	return ""
}

// nameField reads a required name: 1 to 63 letters, digits, '-', '_' or '.'.
func (o *object) nameField(field string) string {
	v := o.str(field, true)
	if v != "" && !validName(v) {
		o.errorf(field, "%q: want 1 to %d letters, digits, '-', '_' or '.'", v, maxNameLength)
	}
	return v
}

const maxNameLength = 63

func validName(s string) bool {
	if len(s) == 0 || len(s) > maxNameLength {
		return false
	}
	return !strings.ContainsFunc(s, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.", r))
	})
}

func (o *object) integer(field string, def, lo, hi int) int {
	v, ok := o.scalar(field, "a whole number", "!!int")
	if !ok {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < lo || n > hi {
		o.errorf(field, "%s: want a whole number from %d to %d", v, lo, hi)
		return def
	}
	return n
}

func (o *object) boolean(field string, def bool) bool {
	v, ok := o.scalar(field, "true or false", "!!bool")
	if !ok {
		return def
	}
	return v == "true"
}

func (o *object) duration(field string, def, lo, hi time.Duration) time.Duration {
	v, ok := o.scalar(field, "a duration such as 30s", "!!str")
	if !ok {
		return def
	}
	t, err := time.ParseDuration(v)
	if err != nil || t < lo || t > hi {
		o.errorf(field, "%q: want a duration from %s to %s", v, lo, hi)
		return def
	}
	return t
}

// enum reads one of the allowed values. If the field is absent it returns def;
// an empty def makes the field required.
func enum[T ~string](o *object, field string, def T, allowed ...T) T {
	names := make([]string, len(allowed))
	for i, a := range allowed {
		names[i] = string(a)
	}
	want := "one of " + strings.Join(names, ", ")
	v, ok := o.scalar(field, want, "!!str")
	switch {
	case ok && slices.Contains(allowed, T(v)):
		return T(v)
	case ok:
		o.errorf(field, "%q: want %s", v, want)
	case def == "" && !o.has(field):
		o.errorf(field, "missing; want %s", want)
	}
	return def
}

func (o *object) digest(field string) digest.Digest {
	v := o.str(field, true)
	if v == "" {
		return digest.Digest{}
	}
	d, err := digest.Parse(v)
	if err != nil {
		o.errorf(field, "%q: want blake3: and 64 hexadecimal digits", v)
	}
	return d
}

// list returns the elements of a sequence field, each with its field path.
func (o *object) list(field string, required bool) []element {
	n := o.fields[field]
	if n == nil {
		if required {
			o.errorf(field, "missing; want a list")
		}
		return nil
	}
	if n.Kind != yaml.SequenceNode {
		o.errorf(field, "want a list")
		return nil
	}
	if required && len(n.Content) == 0 {
		o.errorf(field, "want at least one element")
	}
	out := make([]element, len(n.Content))
	for i, c := range n.Content {
		out[i] = element{node: c, path: fmt.Sprintf("%s[%d]", o.fieldPath(field), i)}
	}
	return out
}

type element struct {
	node *yaml.Node
	path string
}
