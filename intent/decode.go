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

// ValidationError is one thing wrong with a fleet file.
type ValidationError struct {
	File  string
	Line  int
	Field string
	Text  string
}

// Error returns "file:line: field: text".
func (f ValidationError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Text)
}

// ValidationErrors is every fault found in a file, in the order of the lines.
type ValidationErrors []ValidationError

// Error returns one line for each fault.
func (f ValidationErrors) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// decoder walks a YAML tree and collects faults in place of stopping.
type decoder struct {
	file   string
	faults ValidationErrors
}

func (d *decoder) fault(line int, field, format string, args ...any) {
	d.faults = append(d.faults, ValidationError{File: d.file, Line: line, Field: field, Text: fmt.Sprintf(format, args...)})
}

// object is a mapping whose fields have been checked against a list.
type object struct {
	d      *decoder
	path   string
	line   int
	fields map[string]*yaml.Node
}

func (d *decoder) object(n *yaml.Node, path string, allowed ...string) *object {
	o := &object{d: d, path: path, line: n.Line, fields: map[string]*yaml.Node{}}
	if n.Kind != yaml.MappingNode {
		d.fault(n.Line, path, "want a mapping with %s", strings.Join(allowed, ", "))
		return o
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		switch {
		case !slices.Contains(allowed, k.Value):
			d.fault(k.Line, o.name(k.Value), "unknown field; allowed: %s", strings.Join(allowed, ", "))
		case o.fields[k.Value] != nil:
			d.fault(k.Line, o.name(k.Value), "field given twice, first in line %d", o.fields[k.Value].Line)
		default:
			o.fields[k.Value] = v
		}
	}
	return o
}

func (o *object) name(field string) string {
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

func (o *object) fault(field, format string, args ...any) {
	o.d.fault(o.lineOf(field), o.name(field), format, args...)
}

func (o *object) has(field string) bool { return o.fields[field] != nil }

// scalar returns the text of a scalar field with one of the given tags.
func (o *object) scalar(field, want string, tags ...string) (string, bool) {
	n := o.fields[field]
	if n == nil {
		return "", false
	}
	if n.Kind != yaml.ScalarNode || !slices.Contains(tags, n.Tag) {
		o.fault(field, "want %s", want)
		return "", false
	}
	return n.Value, true
}

func (o *object) str(field string, required bool) string {
	v, ok := o.scalar(field, "a text", "!!str")
	if ok && v != "" {
		return v
	}
	if required && (ok || !o.has(field)) {
		o.fault(field, "missing; want a text")
	}
	return ""
}

// nameOf reads a name: 1 to 63 letters, digits, '-', '_' or '.'.
func (o *object) nameOf(field string) string {
	v := o.str(field, true)
	if v != "" && !validName(v) {
		o.fault(field, "%q: want 1 to %d letters, digits, '-', '_' or '.'", v, maxName)
	}
	return v
}

const maxName = 63

func validName(s string) bool {
	if len(s) == 0 || len(s) > maxName {
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
		o.fault(field, "%s: want a whole number from %d to %d", v, lo, hi)
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
		o.fault(field, "%q: want a duration from %s to %s", v, lo, hi)
		return def
	}
	return t
}

// enum reads one of the allowed texts; def is used if the field is absent and
// def is not empty.
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
		o.fault(field, "%q: want %s", v, want)
	case def == "" && !o.has(field):
		o.fault(field, "missing; want %s", want)
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
		o.fault(field, "%q: want blake3: and 64 hexadecimal digits", v)
	}
	return d
}

// list returns the elements of a sequence field with their paths.
func (o *object) list(field string, required bool) []element {
	n := o.fields[field]
	if n == nil {
		if required {
			o.fault(field, "missing; want a list")
		}
		return nil
	}
	if n.Kind != yaml.SequenceNode {
		o.fault(field, "want a list")
		return nil
	}
	if required && len(n.Content) == 0 {
		o.fault(field, "want at least one element")
	}
	out := make([]element, len(n.Content))
	for i, c := range n.Content {
		out[i] = element{node: c, path: fmt.Sprintf("%s[%d]", o.name(field), i)}
	}
	return out
}

type element struct {
	node *yaml.Node
	path string
}
