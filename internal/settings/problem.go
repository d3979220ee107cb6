// Package settings reads process settings and fleet configurations from JSON
// with comments, and validates them. Every problem is reported with file, line,
// column and path; a file with any problem is rejected as a whole.
package settings

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in the content of a file.
type Problem struct {
	File string
	// Line and Column count from 1. Columns count bytes.
	Line, Column int
	// Path identifies the value, for example "exceptions[2].reason". It is empty
	// for a problem with the whole file.
	Path string
	// Message says what was found and what was expected.
	Message string
}

// String returns the problem on one line.
func (p Problem) String() string {
	if p.Path == "" {
		return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", p.File, p.Line, p.Column, p.Path, p.Message)
}

// Problems is the error for a rejected file.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// err returns the problems sorted by position, or nil if there are none.
func (p Problems) err() error {
	if len(p) == 0 {
		return nil
	}
	slices.SortStableFunc(p, func(a, b Problem) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return p
}
