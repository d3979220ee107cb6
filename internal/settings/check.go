package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"

	"github.com/tailscale/hujson"

	"waxwingcart/internal/core/fleet"
)

// Kind is the kind of content in a file.
type Kind string

// The kinds of file.
const (
	KindProcess Kind = "process settings"
	KindFleet   Kind = "fleet configuration"
)

// Check determines the kind of a file and validates it. It returns an error if the
// file can't be read; errors in its content are returned as problems.
func Check(path string) (Kind, Problems, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", nil, fmt.Errorf("check: %w", err)
	}
	kind, problems := CheckData(path, data)
	return kind, problems, nil
}

// CheckData determines the kind of the data and validates it; name is the file name
// in problems. The kind is empty if it can't be determined.
func CheckData(name string, data []byte) (Kind, Problems) {
	d := parse(name, data)
	if d.root.Value == nil {
		return "", d.problems
	}
	kind := d.kind()
	var err error
	switch kind {
	case KindProcess:
		_, err = ParseProcess(name, data)
	case KindFleet:
		_, err = ParseFleet(name, data)
	default:
		d.report(d.root.StartOffset, "", "got neither, expected process settings (with roles, listen, ...) or a fleet configuration (with zones, services, ...)")
		err = d.problems
	}
	var problems Problems
	errors.As(err, &problems)
	return kind, problems
}

// kind returns the kind that defines more of the document's top-level fields. It is
// empty if the document is not an object or both kinds define equally many.
func (d *document) kind() Kind {
	object, ok := d.root.Value.(*hujson.Object)
	if !ok {
		return ""
	}
	process := countKnownFields(object, reflect.TypeFor[Process]())
	fleet := countKnownFields(object, reflect.TypeFor[fleet.Config]())
	switch {
	case process > fleet:
		return KindProcess
	case fleet > process:
		return KindFleet
	}
	return ""
}

// countKnownFields returns how many of the object's members are fields of t.
func countKnownFields(object *hujson.Object, t reflect.Type) int {
	fields := fieldsOf(t)
	n := 0
	for _, member := range object.Members {
		if _, ok := fields.index[memberName(member)]; ok {
			n++
		}
	}
	return n
}
