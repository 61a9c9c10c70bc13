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

// decoder stores the values of a document into Go values and collects the problems.
type decoder struct {
	document *Document
	problems []Problem
}

// Decode stores the document into the value that into points to. The error is an *Error, unless
// into is not a pointer or is nil; fields without a problem are stored nevertheless.
func (d *Document) Decode(into any) error {
	target := reflect.ValueOf(into)
	if target.Kind() != reflect.Pointer || target.IsNil() {
		return errors.New("jsonc: the target must be a pointer that is not nil")
	}
	dec := decoder{document: d}
	dec.value("", d.root, target.Elem())
	if len(dec.problems) == 0 {
		return nil
	}
	SortByLine(dec.problems)
	return &Error{Problems: dec.problems}
}

// report adds a problem with the value at a path and a byte offset.
func (dec *decoder) report(path string, offset int, format string, args ...any) {
	problem := Problem{Line: dec.document.lineAt(offset), Path: path, Message: fmt.Sprintf(format, args...)}
	dec.problems = append(dec.problems, problem)
}

// value stores v into target by the method for the type of target.
func (dec *decoder) value(path string, v hujson.Value, target reflect.Value) {
	if isNull(v) && target.Kind() != reflect.Pointer && target.Kind() != reflect.Interface {
		dec.report(path, v.StartOffset, "must not be null")
		return
	}
	if hasOwnDecoding(target) {
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

// isNull reports whether v is the literal null.
func isNull(v hujson.Value) bool {
	literal, ok := v.Value.(hujson.Literal)
	return ok && literal.Kind() == 'n'
}

// hasOwnDecoding reports whether encoding/json decodes the type of target from one value: the type
// has an unmarshal method or is a byte slice.
func hasOwnDecoding(target reflect.Value) bool {
	switch target.Addr().Interface().(type) {
	case json.Unmarshaler, encoding.TextUnmarshaler:
		return true
	}
	return target.Kind() == reflect.Slice && target.Type().Elem().Kind() == reflect.Uint8
}

// pointer stores v into a new value that target then points to; null sets target to nil.
func (dec *decoder) pointer(path string, v hujson.Value, target reflect.Value) {
	if isNull(v) {
		target.SetZero()
		return
	}
	element := reflect.New(target.Type().Elem())
	dec.value(path, v, element.Elem())
	target.Set(element)
}

// structure stores the members of an object into the fields of a struct.
func (dec *decoder) structure(path string, v hujson.Value, target reflect.Value) {
	members, ok := dec.members(path, v)
	if !ok {
		return
	}
	fields := fieldsOf(target.Type())
	for _, m := range members {
		index, known := fields.index(m.name)
		if !known {
			dec.report(m.path, m.offset, "unknown field; allowed: %s", fields.names())
			continue
		}
		dec.value(m.path, m.value, target.Field(index))
	}
}

// mapping stores an object into a new map with string keys.
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

// slice stores a list into a new slice.
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

// leaf stores a value without fields of its own; encoding/json decodes it.
func (dec *decoder) leaf(path string, v hujson.Value, target reflect.Value) {
	standard := v.Clone()
	standard.Standardize()
	err := json.Unmarshal(standard.Pack(), target.Addr().Interface())
	if err != nil {
		dec.report(path, v.StartOffset, "%s", requirement(err, target))
	}
}

// member is a name and its value in an object.
type member struct {
	name   string
	path   string
	offset int // of the name, in bytes
	value  hujson.Value
}

// members returns the members of an object. It reports a repeated name and leaves that member out.
// If v is not an object, it reports that and returns false.
func (dec *decoder) members(path string, v hujson.Value) ([]member, bool) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		dec.report(path, v.StartOffset, "must be an object")
		return nil, false
	}
	firstLines := make(map[string]int)
	var members []member
	for _, raw := range object.Members {
		m := member{name: memberName(raw), offset: raw.Name.StartOffset, value: raw.Value}
		m.path = joinPath(path, m.name)
		if first, repeated := firstLines[m.name]; repeated {
			dec.report(m.path, m.offset, "repeated field; it is first set on line %d", first)
			continue
		}
		firstLines[m.name] = dec.document.lineAt(m.offset)
		members = append(members, m)
	}
	return members, true
}

// memberName returns the unescaped name of a member.
func memberName(m hujson.ObjectMember) string {
	literal, _ := m.Name.Value.(hujson.Literal)
	return literal.String()
}

// joinPath returns the path of the field with a name in the object at a path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// elementPath returns the path of the element with index i in the list at a path.
func elementPath(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

// requirement returns the message for an error of encoding/json: what the type of target requires.
func requirement(err error, target reflect.Value) string {
	var mismatch *json.UnmarshalTypeError
	if !errors.As(err, &mismatch) || hasOwnDecoding(target) {
		return withoutGoTypes(err)
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
	return withoutGoTypes(err)
}

// withoutGoTypes returns the text of an error of encoding/json without its references to Go types.
func withoutGoTypes(err error) string {
	text, _, _ := strings.Cut(err.Error(), ": json: ")
	return strings.TrimPrefix(text, "json: ")
}
