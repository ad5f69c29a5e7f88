package endpointhttp_test

import (
	"testing"

	"sassafrasreach/internal/testseed"
)

// TestMain fixes the seed of the property tests; a command-line flag can change it.
func TestMain(m *testing.M) { testseed.Main(m, testseed.Settings{Seed: 20266}) }
