package backend_test

import (
	"flag"
	"io"
	"log"
	"os"
	"testing"
)

// TestMain fixes the seed, so that each run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	// net/http logs each answer that nobody asked for.
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}
