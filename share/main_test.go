package share

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random tests, unless one is given. The seed alone repeats a failure, so
// no file is left in the sources.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.nofailfile", "true")
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == "100" {
		_ = checks.Value.Set("40000")
	}
	os.Exit(m.Run())
}
