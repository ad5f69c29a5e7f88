package disk_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/disk"
	"sassafrasreach/internal/core/quorum"
)

// storedVoter is the state in testdata/voter. Every field is set.
var storedVoter = quorum.State{
	ID: "disk-7",
	Epoch: quorum.Epoch{Number: 3, Voters: []quorum.Voter{
		{ID: "founder@192.0.2.1:7100", Address: "192.0.2.1:7100"}, {ID: "disk-7", Address: "192.0.2.2:7100"},
	}},
	Promised: quorum.Ballot{Round: 12, Proposer: "controller-2#5"},
	Accepted: quorum.Accepted{
		Ballot: quorum.Ballot{Round: 11, Proposer: "controller-1#4"},
		Value: &quorum.Value{
			Sequence: 29, State: []byte{0x1f, 0x8b, 0x00, 0xff},
			Next: []quorum.Voter{{ID: "disk-9", Address: "192.0.2.3:7100"}},
		},
	},
}

// TestStoredVoterKeepsItsNames guards against a renamed Go field that changes a
// stored name: a record that an earlier release wrote must decode to the same
// fields, and encode to the same bytes again.
func TestStoredVoterKeepsItsNames(t *testing.T) {
	is := is.New(t)
	stored, err := os.ReadFile("testdata/voter")
	is.NoErr(err)
	dir := t.TempDir()
	record := filepath.Join(dir, "voter")
	is.NoErr(os.WriteFile(record, stored, 0o600))
	store, err := disk.OpenVoterStore(disk.OS{}, dir, func(err error) { t.Error(err) })
	is.NoErr(err)
	state, found, err := store.Load()
	is.NoErr(err)
	is.True(found)
	is.Equal(state, storedVoter)
	is.NoErr(os.Remove(record))
	is.NoErr(store.Save(state))
	again, err := os.ReadFile(record)
	is.NoErr(err)
	is.Equal(string(again), string(stored))
}
