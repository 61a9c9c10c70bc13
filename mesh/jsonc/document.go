package jsonc

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"

	"github.com/tailscale/hujson"
)

// Document is a parsed document that knows the lines of its fields.
type Document struct {
	data []byte
	root hujson.Value
	// lines maps the path of each value to its line.
	lines map[string]int
}

// Decode parses data and stores it into the value that into points to. Fields
// that the document does not name keep what they hold. The error is an *Error;
// fields without a problem are stored even then.
func Decode(data []byte, into any) error {
	document, err := Parse(data)
	if err != nil {
		return err
	}
	return document.Decode(into)
}

// DecodeFile is Decode for the content of a file, which the error names.
func DecodeFile(name string, data []byte, into any) error {
	return WithFile(name, Decode(data, into))
}

// WithFile names the file in an *Error and returns other errors as they are.
func WithFile(name string, err error) error {
	var problems *Error
	if !errors.As(err, &problems) {
		return err
	}
	return &Error{File: name, Problems: problems.Problems}
}

// syntaxPosition is the form in which hujson reports a place.
var syntaxPosition = regexp.MustCompile(`^hujson: line (\d+), column (\d+): `)

// Parse checks the syntax of data. The error is an *Error.
func Parse(data []byte) (*Document, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, &Error{Problems: []Problem{syntaxProblem(err.Error())}}
	}
	d := &Document{data: data, root: root, lines: make(map[string]int)}
	d.index("", root)
	return d, nil
}

func syntaxProblem(text string) Problem {
	match := syntaxPosition.FindStringSubmatch(text)
	if match == nil {
		return Problem{Line: 1, Message: text}
	}
	line, _ := strconv.Atoi(match[1])
	return Problem{Line: line, Message: fmt.Sprintf("column %s: %s", match[2], text[len(match[0]):])}
}

// index records the lines of a value and of all values in it.
func (d *Document) index(path string, v hujson.Value) {
	d.lines[path] = d.lineAt(v.StartOffset)
	switch composite := v.Value.(type) {
	case *hujson.Object:
		for _, m := range composite.Members {
			d.index(join(path, nameOf(m)), m.Value)
		}
	case *hujson.Array:
		for i, element := range composite.Elements {
			d.index(elementPath(path, i), element)
		}
	}
}

// HasField reports whether the document names the field at a path.
func (d *Document) HasField(path string) bool {
	_, ok := d.lines[path]
	return ok && path != ""
}

// Line returns the line of a field. For a field that the document does not
// name, it is the line of the closest value around it.
func (d *Document) Line(path string) int {
	for {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = ParentPath(path)
	}
}

// ParentPath removes the last element of a path.
func ParentPath(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}

func (d *Document) lineAt(offset int) int {
	return 1 + bytes.Count(d.data[:offset], []byte{'\n'})
}

// Problem returns a problem with the field at a path.
func (d *Document) Problem(path, message string) Problem {
	return Problem{Line: d.Line(path), Path: path, Message: message}
}

// SortByLine orders problems by line, and keeps the order within a line.
func SortByLine(problems []Problem) {
	slices.SortStableFunc(problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
}
