// Package testseed fixes the random seed of property tests, so that their results
// are reproducible. It is used by tests only.
package testseed

import (
	"flag"
	"strconv"
	"testing"
)

// Settings are values of flags of pgregory.net/rapid. Flags on the command line
// override them.
type Settings struct {
	// Seed is the random seed. It must not be 0, for which rapid chooses one.
	Seed uint64
	// Checks and Steps replace the defaults of rapid; 0 keeps a default.
	Checks, Steps int
}

// Main runs the tests of a package with the settings. Call it from TestMain. It
// also disables fail files and the shrinking of failed cases.
func Main(m *testing.M, s Settings) {
	set("rapid.nofailfile", "true")
	set("rapid.shrinktime", "0s")
	set("rapid.seed", strconv.FormatUint(s.Seed, 10))
	if s.Checks > 0 {
		set("rapid.checks", strconv.Itoa(s.Checks))
	}
	if s.Steps > 0 {
		set("rapid.steps", strconv.Itoa(s.Steps))
	}
	flag.Parse()
	m.Run()
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
