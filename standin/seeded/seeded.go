// Package seeded runs the rapid property tests of a package with a fixed seed.
package seeded

import (
	"flag"
	"os"
	"testing"
)

const (
	// fixedSeed is used unless the command line sets -rapid.seed.
	fixedSeed = "1"
	// defaultChecks is rapid's own default for -rapid.checks.
	defaultChecks = "100"
)

// Main runs the tests with the fixed seed and the given number of checks per property, unless the
// command line sets others. Failure files are disabled, because the seed is enough to reproduce a
// failure.
func Main(m *testing.M, checks string) {
	flag.Parse()
	overrideDefault("rapid.nofailfile", "false", "true")
	overrideDefault("rapid.seed", "0", fixedSeed)
	overrideDefault("rapid.checks", defaultChecks, checks)
	os.Exit(m.Run())
}

// overrideDefault sets a flag to value if it still has its default value.
func overrideDefault(name, defaultValue, value string) {
	if f := flag.Lookup(name); f != nil && f.Value.String() == defaultValue {
		_ = f.Value.Set(value)
	}
}
