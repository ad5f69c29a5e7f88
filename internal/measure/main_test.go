package measure

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests. Flags on the command line override
// it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed":       "1",
		"rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
