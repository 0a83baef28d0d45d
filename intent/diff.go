package intent

import (
	"fmt"
	"reflect"
	"sort"
)

// Change is one difference between two fleet files.
type Change struct {
	Field  string
	Before string
	After  string
}

// String returns "field: before -> after".
func (c Change) String() string { return fmt.Sprintf("%s: %s -> %s", c.Field, c.Before, c.After) }

const absent = "(absent)"

// Diff lists what would change if after replaced before.
func Diff(before, after *Fleet) []Change {
	var out []Change
	add := func(field string, a, b any) {
		if !reflect.DeepEqual(a, b) {
			out = append(out, Change{field, fmt.Sprint(a), fmt.Sprint(b)})
		}
	}
	add("fleet", before.Name, after.Name)
	add("format", before.Format, after.Format)
	diffNamed(&out, "sources", before.Sources, after.Sources, func(s Source) string { return s.Name })
	diffNamed(&out, "teams", before.Teams, after.Teams, func(t Team) string { return t.Name })
	diffServices(&out, before, after)
	return out
}

// diffNamed compares two lists whose elements are identified by name.
func diffNamed[T any](out *[]Change, field string, before, after []T, name func(T) string) {
	a, b := byName(before, name), byName(after, name)
	for _, n := range names(a, b) {
		old, new := show(a, n), show(b, n)
		if old != new {
			*out = append(*out, Change{fmt.Sprintf("%s[%s]", field, n), old, new})
		}
	}
}

func diffServices(out *[]Change, before, after *Fleet) {
	name := func(s Service) string { return s.Name }
	a, b := byName(before.Services, name), byName(after.Services, name)
	for _, n := range names(a, b) {
		field := fmt.Sprintf("services[%s]", n)
		old, inOld := a[n]
		new, inNew := b[n]
		if !inOld || !inNew {
			*out = append(*out, Change{field, presence(inOld), presence(inNew)})
			continue
		}
		diffService(out, field, old, new)
	}
}

func diffService(out *[]Change, field string, old, new Service) {
	add := func(sub string, a, b any) {
		if !reflect.DeepEqual(a, b) {
			*out = append(*out, Change{field + "." + sub, fmt.Sprint(a), fmt.Sprint(b)})
		}
	}
	add("kind", old.Kind, new.Kind)
	add("role", old.Role, new.Role)
	add("model", old.Model, new.Model)
	add("adapters", old.Adapters, new.Adapters)
	add("spread", old.Spread, new.Spread)
	add("max_unavailable", old.MaxUnavailable, new.MaxUnavailable)
	add("fenced", old.Fenced, new.Fenced)
	add("affinity_bytes", old.AffinityBytes, new.AffinityBytes)
	add("limits", old.Limits, new.Limits)
	diffNamed(out, field+".hosts", old.Hosts, new.Hosts, func(h HostRef) string { return h.Name })
}

func presence(ok bool) string {
	if ok {
		return "(present)"
	}
	return absent
}

func byName[T any](list []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(list))
	for _, x := range list {
		m[name(x)] = x
	}
	return m
}

func names[T any](a, b map[string]T) []string {
	var out []string
	for n := range a {
		out = append(out, n)
	}
	for n := range b {
		if _, ok := a[n]; !ok {
			out = append(out, n)
		}
	}
	sort.Strings(out)
	return out
}

func show[T any](m map[string]T, name string) string {
	v, ok := m[name]
	if !ok {
		return absent
	}
	return fmt.Sprintf("%+v", v)
}
