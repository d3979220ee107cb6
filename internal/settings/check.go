package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"

	"github.com/tailscale/hujson"

	"waxwingcart/internal/core/fleet"
)

// Kind is what a file holds.
type Kind string

// The kinds of file.
const (
	KindProcess Kind = "process settings"
	KindFleet   Kind = "fleet configuration"
)

// Check finds out what a file holds and checks it. The error says why the file
// can't be read; faults in its content are the problems.
func Check(path string) (Kind, Problems, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", nil, fmt.Errorf("check: %w", err)
	}
	kind, problems := CheckData(path, data)
	return kind, problems, nil
}

// CheckData checks content as Check does. The kind is empty if it can't be
// told.
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

// kind tells the two kinds apart by the fields at the top: the kind that knows
// more of them.
func (d *document) kind() Kind {
	object, ok := d.root.Value.(*hujson.Object)
	if !ok {
		return ""
	}
	process := knownFields(object, reflect.TypeFor[Process]())
	fleet := knownFields(object, reflect.TypeFor[fleet.Config]())
	switch {
	case process > fleet:
		return KindProcess
	case fleet > process:
		return KindFleet
	}
	return ""
}

func knownFields(object *hujson.Object, t reflect.Type) int {
	fields := fieldsOf(t)
	n := 0
	for _, member := range object.Members {
		if _, ok := fields.index[memberName(member)]; ok {
			n++
		}
	}
	return n
}
