package replica_test

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "3")
		_ = flag.Set("rapid.checks", "8")
	}
	os.Exit(m.Run())
}
