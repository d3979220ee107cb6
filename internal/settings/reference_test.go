package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"waxwingcart/internal/core/fleet"
)

// readReference returns the rows of the configuration reference by field.
func readReference(t *testing.T) map[string]string {
	t.Helper()
	data, err := os.ReadFile("../../docs/operators/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := make(map[string]string)
	for _, line := range strings.Split(string(data), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 6 {
			continue
		}
		for _, field := range strings.Split(cells[1], ",") {
			rows[strings.Trim(field, " `")] = line
		}
	}
	return rows
}

// collectFields adds the paths of a type's fields, in the notation of the
// reference, with the default of each.
func collectFields(path string, value reflect.Value, found map[string]reflect.Value) {
	switch value.Kind() {
	case reflect.Pointer:
		collectFields(path, reflect.New(value.Type().Elem()).Elem(), found)
	case reflect.Slice:
		found[path] = value
		if value.Type().Elem().Kind() == reflect.Struct {
			collectFields(path+"[]", reflect.New(value.Type().Elem()).Elem(), found)
		}
	case reflect.Struct:
		if value.Type() == reflect.TypeFor[fleet.Policy]() && path != "" || value.Type() == reflect.TypeFor[fleet.PolicyOverride]() {
			found[path] = value
			return
		}
		for i := range value.NumField() {
			name, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("json"), ",")
			collectFields(join(path, name), value.Field(i), found)
		}
	default:
		found[path] = value
	}
}

// TestReferenceListsEveryField checks that the reference has a row for every
// field, with its default, and no other rows.
func TestReferenceListsEveryField(t *testing.T) {
	rows := readReference(t)
	found := make(map[string]reflect.Value)
	collectFields("", reflect.ValueOf(DefaultProcess()), found)
	collectFields("", reflect.ValueOf(fleet.Config{}), found)
	collectFields("", reflect.ValueOf(fleet.DefaultPolicy()), found)
	for path, value := range found {
		row, ok := rows[path]
		if !ok {
			t.Errorf("the reference has no row for %s", path)
			continue
		}
		if value.IsZero() || value.Kind() == reflect.Struct {
			continue
		}
		if cell := strings.Trim(strings.Split(row, "|")[4], " `"); cell != fmt.Sprint(value) {
			t.Errorf("the reference gives the default of %s as %q, expected %v", path, cell, value)
		}
	}
	for path := range rows {
		if _, ok := found[path]; !ok && path != "field" && !strings.HasPrefix(path, "---") {
			t.Errorf("the reference has a row for %s, which is not a field", path)
		}
	}
}
