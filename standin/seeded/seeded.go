// Package seeded runs the tests of a package with a fixed seed for their random data.
package seeded

import (
	"flag"
	"os"
	"testing"
)

const (
	// seed is used unless the command line names one.
	seed = "1"
	// defaultChecks is the number of checks that rapid makes by itself.
	defaultChecks = "100"
)

// Main runs tests with the fixed seed and a number of checks, unless the command line names others. The seed alone
// repeats a failure, so no file is left in the sources.
func Main(m *testing.M, checks string) {
	flag.Parse()
	set("rapid.nofailfile", "false", "true")
	set("rapid.seed", "0", seed)
	set("rapid.checks", defaultChecks, checks)
	os.Exit(m.Run())
}

// set changes a flag that has its default.
func set(name, standard, value string) {
	if f := flag.Lookup(name); f != nil && f.Value.String() == standard {
		_ = f.Value.Set(value)
	}
}
