package membership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/membership"
)

var hanbit = map[string][]string{
	"sudogwon": {"guro-a", "pangyo-b"},
	"yeongnam": {"haeundae-a", "dalseo-b"},
	"honam":    {"sangmu-a", "jeonju-b"},
}

// TestSingleOwnerAndFailover guards against a group with two owners, a takeover
// before the lease of a killed owner has ended, and a takeover that never
// comes.
func TestSingleOwnerAndFailover(t *testing.T) {
	is := is.New(t)
	n := newNetwork(membership.Config{}, hanbit, 3)
	n.run(5 * time.Second)
	first := n.owners("roster-desk", "guro-a")
	is.Equal(len(first), 1)
	n.tables[first[0]] = nil
	n.run(time.Second)
	is.Equal(len(n.owners("roster-desk", "guro-a")), 0) // the lease has not ended yet
	n.run(3 * time.Second)
	is.Equal(len(n.owners("roster-desk", "guro-a")), 1)
}
