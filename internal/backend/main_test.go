package backend_test

import (
	"flag"
	"io"
	"log"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid unless one is given, so that each run draws the
// same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	// net/http logs each response that does not belong to a request; tests
	// send such responses on purpose.
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}
