package intake

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
		_ = flag.Set("rapid.checks", "200")
	}
	os.Exit(m.Run())
}
