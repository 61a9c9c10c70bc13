// Package jsonc decodes JSON with comments and trailing commas strictly: unknown and repeated
// fields, wrong types and trailing data are errors, and every problem is reported with its line and
// the path of its field.
package jsonc

import (
	"fmt"
	"strings"
)

// Problem is one error in a document.
type Problem struct {
	// Line counts from 1.
	Line int `json:"line"`
	// Path is the path of the field, such as "routes[2].prefix"; it is empty for the document
	// itself.
	Path string `json:"path,omitempty"`
	// Message states what the field requires, or what is wrong with it.
	Message string `json:"message"`
}

// String returns "line 3: entry.listen: message".
func (p Problem) String() string {
	return fmt.Sprintf("line %d: %s", p.Line, p.detail())
}

// detail returns the path, if there is one, and the message.
func (p Problem) detail() string {
	if p.Path == "" {
		return p.Message
	}
	return p.Path + ": " + p.Message
}

// Error contains every problem of a document.
type Error struct {
	// File is the name of the document's file; empty means that it is unknown.
	File string
	// Problems are ordered by line.
	Problems []Problem
}

// Error returns one line for each problem: "file:line: path: message", or the text of
// Problem.String if File is empty.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		if e.File == "" {
			lines = append(lines, p.String())
			continue
		}
		lines = append(lines, fmt.Sprintf("%s:%d: %s", e.File, p.Line, p.detail()))
	}
	return strings.Join(lines, "\n")
}
