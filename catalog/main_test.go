package catalog

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random tests, unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}
