// Package testseed fixes the seed of property tests, so that each run of the
// tests gives one verdict. It is used by tests only.
package testseed

import (
	"flag"
	"strconv"
	"testing"
)

// Settings are flags of pgregory.net/rapid. The command line goes before them.
type Settings struct {
	// Seed is the seed; it must not be 0, which means a random one.
	Seed uint64
	// Checks and Steps replace the library's numbers; 0 keeps them.
	Checks, Steps int
}

// Main runs the tests of a package with the settings; call it from TestMain.
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
