package admission_test

import (
	"testing"

	"sassafrasreach/internal/testseed"
)

// TestMain fixes the seed of property tests; flags may change it.
func TestMain(m *testing.M) {
	testseed.Main(m, testseed.Settings{Seed: 1})
}
