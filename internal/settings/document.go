package settings

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"unicode"

	"github.com/tailscale/hujson"
)

// document is a parsed file. It knows the place of each value by path.
type document struct {
	file string
	data []byte
	root hujson.Value
	// offsets gives the byte offset of values by path.
	offsets  map[string]int
	problems Problems
}

// parse reads JSON with comments. On a syntax error the document has a problem
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

// hujsonPlace matches the place in the parser's errors.
var hujsonPlace = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (?s:(.*))$`)

func syntaxProblem(file string, err error) Problem {
	problem := Problem{File: file, Line: 1, Column: 1, Message: "got " + oneLine(err.Error()) + ", expected JSON with comments"}
	match := hujsonPlace.FindStringSubmatch(err.Error())
	if match == nil {
		return problem
	}
	problem.Line, _ = strconv.Atoi(match[1])
	problem.Column, _ = strconv.Atoi(match[2])
	problem.Message = "got " + oneLine(match[3]) + ", expected JSON with comments"
	return problem
}

func oneLine(s string) string {
	return strings.Join(strings.Fields(s), " ")
}

// report adds a problem with the value at a byte offset.
func (d *document) report(offset int, path, message string) {
	line, column := d.place(offset)
	d.problems = append(d.problems, Problem{
		File:    d.file,
		Line:    line,
		Column:  column,
		Path:    printable(path),
		Message: printable(message),
	})
}

// printable replaces what would break a problem's line.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return unicode.ReplacementChar
	}, s)
}

// reportPath adds a problem with the value at a path, or with the nearest
// value around it. It adds none for a value that could not be decoded.
func (d *document) reportPath(path, message string) {
	for _, problem := range d.problems {
		if within(printable(path), problem.Path) {
			return
		}
	}
	d.report(d.offset(path), path, message)
}

// within reports whether path is parent or lies in it.
func within(path, parent string) bool {
	rest, ok := strings.CutPrefix(path, parent)
	if !ok || parent == "" {
		return false
	}
	return rest == "" || rest[0] == '.' || rest[0] == '['
}

func (d *document) offset(path string) int {
	for path != "" {
		if offset, ok := d.offsets[path]; ok {
			return offset
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return d.root.StartOffset
}

func (d *document) place(offset int) (line, column int) {
	before := d.data[:min(offset, len(d.data))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}
