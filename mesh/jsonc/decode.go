package jsonc

import (
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// decoder stores a document into Go values and collects the problems.
type decoder struct {
	document *Document
	problems []Problem
}

// Decode stores the document into the value that into points to. The error is
// an *Error.
func (d *Document) Decode(into any) error {
	target := reflect.ValueOf(into)
	if target.Kind() != reflect.Pointer || target.IsNil() {
		return errors.New("jsonc: the target must be a pointer")
	}
	dec := decoder{document: d}
	dec.value("", d.root, target.Elem())
	if len(dec.problems) == 0 {
		return nil
	}
	SortByLine(dec.problems)
	return &Error{Problems: dec.problems}
}

func (dec *decoder) report(path string, offset int, format string, args ...any) {
	problem := Problem{Line: dec.document.lineAt(offset), Path: path, Message: fmt.Sprintf(format, args...)}
	dec.problems = append(dec.problems, problem)
}

// value stores v into target, choosing by the type of target.
func (dec *decoder) value(path string, v hujson.Value, target reflect.Value) {
	if isNull(v) && target.Kind() != reflect.Pointer && target.Kind() != reflect.Interface {
		dec.report(path, v.StartOffset, "must not be null")
		return
	}
	if decodesItself(target) {
		dec.leaf(path, v, target)
		return
	}
	switch target.Kind() {
	case reflect.Pointer:
		dec.pointer(path, v, target)
	case reflect.Struct:
		dec.structure(path, v, target)
	case reflect.Map:
		dec.mapping(path, v, target)
	case reflect.Slice:
		dec.slice(path, v, target)
	default:
		dec.leaf(path, v, target)
	}
}

func isNull(v hujson.Value) bool {
	literal, ok := v.Value.(hujson.Literal)
	return ok && literal.Kind() == 'n'
}

// decodesItself reports whether a type brings its own decoding.
func decodesItself(target reflect.Value) bool {
	switch target.Addr().Interface().(type) {
	case json.Unmarshaler, encoding.TextUnmarshaler:
		return true
	}
	return target.Kind() == reflect.Slice && target.Type().Elem().Kind() == reflect.Uint8
}

func (dec *decoder) pointer(path string, v hujson.Value, target reflect.Value) {
	if isNull(v) {
		target.SetZero()
		return
	}
	element := reflect.New(target.Type().Elem())
	dec.value(path, v, element.Elem())
	target.Set(element)
}

func (dec *decoder) structure(path string, v hujson.Value, target reflect.Value) {
	members, ok := dec.members(path, v)
	if !ok {
		return
	}
	fields := fieldsOf(target.Type())
	for _, m := range members {
		place, known := fields.index(m.name)
		if !known {
			dec.report(m.path, m.offset, "unknown field; allowed: %s", fields.names())
			continue
		}
		dec.value(m.path, m.value, target.Field(place))
	}
}

func (dec *decoder) mapping(path string, v hujson.Value, target reflect.Value) {
	members, ok := dec.members(path, v)
	if !ok {
		return
	}
	if target.Type().Key().Kind() != reflect.String {
		dec.report(path, v.StartOffset, "cannot be decoded: the keys of the map are not strings")
		return
	}
	result := reflect.MakeMapWithSize(target.Type(), len(members))
	for _, m := range members {
		element := reflect.New(target.Type().Elem()).Elem()
		dec.value(m.path, m.value, element)
		result.SetMapIndex(reflect.ValueOf(m.name).Convert(target.Type().Key()), element)
	}
	target.Set(result)
}

func (dec *decoder) slice(path string, v hujson.Value, target reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		dec.report(path, v.StartOffset, "must be a list")
		return
	}
	result := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		dec.value(elementPath(path, i), element, result.Index(i))
	}
	target.Set(result)
}

// leaf stores a value through encoding/json.
func (dec *decoder) leaf(path string, v hujson.Value, target reflect.Value) {
	standard := v.Clone()
	standard.Standardize()
	err := json.Unmarshal(standard.Pack(), target.Addr().Interface())
	if err != nil {
		dec.report(path, v.StartOffset, "%s", describe(err, target))
	}
}

// member is one named value of an object.
type member struct {
	name   string
	path   string
	offset int
	value  hujson.Value
}

// members returns the members of an object and reports repeated names.
func (dec *decoder) members(path string, v hujson.Value) ([]member, bool) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		dec.report(path, v.StartOffset, "must be an object")
		return nil, false
	}
	seen := make(map[string]int)
	var members []member
	for _, raw := range object.Members {
		m := member{name: nameOf(raw), offset: raw.Name.StartOffset, value: raw.Value}
		m.path = join(path, m.name)
		if first, repeated := seen[m.name]; repeated {
			dec.report(m.path, m.offset, "repeated field; it stands on line %d already", first)
			continue
		}
		seen[m.name] = dec.document.lineAt(m.offset)
		members = append(members, m)
	}
	return members, true
}

func nameOf(m hujson.ObjectMember) string {
	literal, _ := m.Name.Value.(hujson.Literal)
	return literal.String()
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func elementPath(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

// describe turns an error of encoding/json into what the field allows.
func describe(err error, target reflect.Value) string {
	var mismatch *json.UnmarshalTypeError
	if !errors.As(err, &mismatch) || decodesItself(target) {
		return plain(err)
	}
	switch target.Kind() {
	case reflect.String:
		return "must be a string"
	case reflect.Bool:
		return "must be true or false"
	case reflect.Float32, reflect.Float64:
		return "must be a number"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return fmt.Sprintf("must be a whole number that fits %d bits", target.Type().Bits())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return fmt.Sprintf("must be a whole number, not negative, that fits %d bits", target.Type().Bits())
	}
	return plain(err)
}

// plain removes what encoding/json says of Go types from a message.
func plain(err error) string {
	text, _, _ := strings.Cut(err.Error(), ": json: ")
	return strings.TrimPrefix(text, "json: ")
}
