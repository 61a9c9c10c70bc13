package jsonc

import (
	"reflect"
	"strings"
)

// field is a struct field that can be decoded.
type field struct {
	name  string // in JSON
	index int    // in the struct type
}

// fields are the fields of a struct that can be decoded, in their order.
type fields []field

// fieldsOf returns the exported fields of a struct type, except those with the tag "-". The fields
// of an embedded struct are not promoted: it is one field, with the name of its type unless tagged.
func fieldsOf(t reflect.Type) fields {
	var result fields
	for i := range t.NumField() {
		f := t.Field(i)
		if !f.IsExported() {
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch name {
		case "-":
			continue
		case "":
			name = f.Name
		}
		result = append(result, field{name: name, index: i})
	}
	return result
}

// index returns the index in the struct type of the field with a name, which is case-sensitive.
func (f fields) index(name string) (int, bool) {
	for _, candidate := range f {
		if candidate.name == name {
			return candidate.index, true
		}
	}
	return 0, false
}

// names returns the names of the fields, separated by commas.
func (f fields) names() string {
	names := make([]string, 0, len(f))
	for _, candidate := range f {
		names = append(names, candidate.name)
	}
	return strings.Join(names, ", ")
}
