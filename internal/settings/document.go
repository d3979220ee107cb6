package settings

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"unicode"

	"github.com/tailscale/hujson"
)

// document is a parsed file with the problems found in it.
type document struct {
	file string
	data []byte
	root hujson.Value
	// offsets maps the path of each decoded value to its byte offset.
	offsets  map[string]int
	problems Problems
}

// parse parses JSON with comments. On a syntax error the document has a problem
// and no root.
func parse(file string, data []byte) *document {
	d := &document{
		file:    file,
		data:    data,
		offsets: make(map[string]int),
	}
	root, err := hujson.Parse(data)
	if err != nil {
		d.problems = append(d.problems, syntaxProblem(file, err))
		return d
	}
	d.root = root
	return d
}

// hujsonPosition extracts the position from the parser's errors.
var hujsonPosition = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (?s:(.*))$`)

func syntaxProblem(file string, err error) Problem {
	problem := Problem{File: file, Line: 1, Column: 1, Message: "got " + oneLine(err.Error()) + ", expected JSON with comments"}
	match := hujsonPosition.FindStringSubmatch(err.Error())
	if match == nil {
		return problem
	}
	problem.Line, _ = strconv.Atoi(match[1])
	problem.Column, _ = strconv.Atoi(match[2])
	problem.Message = "got " + oneLine(match[3]) + ", expected JSON with comments"
	return problem
}

// oneLine replaces line breaks and repeated spaces by single spaces.
func oneLine(s string) string {
	return strings.Join(strings.Fields(s), " ")
}

// report adds a problem at a byte offset.
func (d *document) report(offset int, path, message string) {
	line, column := d.position(offset)
	d.problems = append(d.problems, Problem{
		File:    d.file,
		Line:    line,
		Column:  column,
		Path:    printable(path),
		Message: printable(message),
	})
}

// printable replaces unprintable characters, so that a problem stays on one line.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return unicode.ReplacementChar
	}, s)
}

// reportPath adds a problem at the position of the value at a path, or of its
// nearest enclosing value. It adds none if the value or an enclosing one has a
// problem already, as when it could not be decoded.
func (d *document) reportPath(path, message string) {
	for _, problem := range d.problems {
		if within(printable(path), problem.Path) {
			return
		}
	}
	d.report(d.offset(path), path, message)
}

// within reports whether path equals parent or is nested in it.
func within(path, parent string) bool {
	rest, ok := strings.CutPrefix(path, parent)
	if !ok || parent == "" {
		return false
	}
	return rest == "" || rest[0] == '.' || rest[0] == '['
}

// offset returns the byte offset of the value at a path, or of its nearest
// enclosing value.
func (d *document) offset(path string) int {
	for path != "" {
		if offset, ok := d.offsets[path]; ok {
			return offset
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return d.root.StartOffset
}

// position returns the line and column of a byte offset, both counted from 1.
func (d *document) position(offset int) (line, column int) {
	before := d.data[:min(offset, len(d.data))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}
