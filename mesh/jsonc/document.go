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

// Document is a parsed document with the line of each field.
type Document struct {
	data []byte
	root hujson.Value
	// lines maps the path of each value to its line.
	lines map[string]int
}

// Decode parses data and stores it into the value that into points to. Fields that the document
// omits keep their values. If data is invalid, the error is an *Error; unless it is a syntax error,
// the fields without a problem are stored nevertheless.
func Decode(data []byte, into any) error {
	document, err := Parse(data)
	if err != nil {
		return err
	}
	return document.Decode(into)
}

// DecodeFile is Decode for the content of a file. If the error is an *Error, it contains the name
// of the file.
func DecodeFile(name string, data []byte, into any) error {
	return WithFile(name, Decode(data, into))
}

// WithFile returns an *Error with the file's name if err wraps an *Error, else err itself.
func WithFile(name string, err error) error {
	var problems *Error
	if !errors.As(err, &problems) {
		return err
	}
	return &Error{File: name, Problems: problems.Problems}
}

// syntaxPosition matches the position at the start of hujson's syntax errors.
var syntaxPosition = regexp.MustCompile(`^hujson: line (\d+), column (\d+): `)

// Parse parses data. The error, for invalid syntax, is an *Error.
func Parse(data []byte) (*Document, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, &Error{Problems: []Problem{syntaxProblem(err.Error())}}
	}
	d := &Document{data: data, root: root, lines: make(map[string]int)}
	d.index("", root)
	return d, nil
}

// syntaxProblem converts the text of a syntax error of hujson. Without a position in the text the
// line is 1.
func syntaxProblem(text string) Problem {
	match := syntaxPosition.FindStringSubmatch(text)
	if match == nil {
		return Problem{Line: 1, Message: text}
	}
	line, _ := strconv.Atoi(match[1])
	return Problem{Line: line, Message: fmt.Sprintf("column %s: %s", match[2], text[len(match[0]):])}
}

// index records the lines of the value at a path and of all values within it.
func (d *Document) index(path string, v hujson.Value) {
	d.lines[path] = d.lineAt(v.StartOffset)
	switch composite := v.Value.(type) {
	case *hujson.Object:
		for _, m := range composite.Members {
			d.index(joinPath(path, memberName(m)), m.Value)
		}
	case *hujson.Array:
		for i, element := range composite.Elements {
			d.index(elementPath(path, i), element)
		}
	}
}

// HasField reports whether the document contains the field at a path.
func (d *Document) HasField(path string) bool {
	_, ok := d.lines[path]
	return ok && path != ""
}

// Line returns the line of the value at a path. For a field that the document does not contain, it
// is the line of the innermost value that encloses it.
func (d *Document) Line(path string) int {
	for {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = ParentPath(path)
	}
}

// ParentPath returns a path without its last element: the field name or list index.
func ParentPath(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}

// lineAt returns the line at a byte offset, counted from 1.
func (d *Document) lineAt(offset int) int {
	return 1 + bytes.Count(d.data[:offset], []byte{'\n'})
}

// Problem returns a Problem for the field at a path, with its line.
func (d *Document) Problem(path, message string) Problem {
	return Problem{Line: d.Line(path), Path: path, Message: message}
}

// SortByLine sorts problems by line; problems on the same line keep their order.
func SortByLine(problems []Problem) {
	slices.SortStableFunc(problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
}
