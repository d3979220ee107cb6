package state

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests, unless the command line sets one, and
// keeps them from writing files on failure.
func TestMain(m *testing.M) {
	flag.Parse()
	if !flagSet("rapid.seed") {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// flagSet reports whether the command line sets a flag.
func flagSet(name string) bool {
	set := false
	flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
	return set
}
