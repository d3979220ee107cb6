package quota

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests, unless the command line sets one, and
// keeps them from writing files on failure.
func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
