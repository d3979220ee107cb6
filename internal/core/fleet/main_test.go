package fleet

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid unless one is given, so that each run draws
// the same cases, and keeps rapid from writing files for failed cases.
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
