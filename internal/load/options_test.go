package load_test

import (
	"reflect"
	"testing"

	"github.com/alecthomas/kong"

	"waxwingcart/internal/load"
)

// The command line's defaults are those of DefaultOptions.
func TestDefaultsOfTheCommandLine(t *testing.T) {
	var got load.Options
	parser, err := kong.New(&got)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := parser.Parse([]string{"--entry", "127.0.0.1:1", "--customer", "a=k", "--share", "a=2"}); err != nil {
		t.Fatal(err)
	}
	want := load.DefaultOptions("127.0.0.1:1")
	want.Customers = map[string]string{"a": "k"}
	want.Shares = map[string]float64{"a": 2}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
}
