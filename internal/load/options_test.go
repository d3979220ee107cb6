package load_test

import (
	"reflect"
	"testing"

	"github.com/alecthomas/kong"

	"waxwingcart/internal/load"
)

// The defaults in the struct tags must equal those of DefaultOptions.
func TestDefaultOptionsMatchCommandLine(t *testing.T) {
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
