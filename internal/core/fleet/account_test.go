package fleet_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/fleet"
)

func accounts() []fleet.Account {
	priority := 3
	return []fleet.Account{
		{Name: "a", KeyDigests: [][]byte{fleet.KeyDigest("k1"), fleet.KeyDigest("k2")}, Priority: &priority, Regions: []string{"north"}},
		{Name: "b", KeyDigests: [][]byte{fleet.KeyDigest("k3")}, RatePerSecond: 4, Burst: 2},
		{Name: "c", RatePerSecond: 2},
	}
}

// TestAccountLookup guards against a key that is taken for another account's, and against a
// wrong weight.
func TestAccountLookup(t *testing.T) {
	is := is.New(t)
	config := &fleet.Config{Authenticate: true, Accounts: accounts()}
	table := fleet.NewKeyedTable(config, []byte("secret"))
	for key, name := range map[string]string{"k1": "a", "k2": "a", "k3": "b"} {
		is.Equal(table.AccountOfKey(key).Name, name)
	}
	for _, key := range []string{"", "k", "k11", string(fleet.KeyDigest("k1"))} {
		is.True(table.AccountOfKey(key) == nil)
	}
	is.True(fleet.NewTable(config).AccountOfKey("k1") == nil)
	is.Equal(table.Account("c").RatePerSecond, 2.0)
	is.True(table.Account("d") == nil)
	is.Equal(table.Weight(table.Account("b")), 4.0)
	is.Equal(table.Weight(table.Account("a")), 3.0)
	is.Equal(table.Weight(nil), 3.0)
	is.Equal(fleet.NewTable(&fleet.Config{}).Weight(nil), 1.0)
}

// TestAccountFaults guards against accounts that a former or a faulty controller passes on
// and that can't be told apart or counted with.
func TestAccountFaults(t *testing.T) {
	cases := map[string]struct {
		change func(all []fleet.Account)
		want   string
	}{
		"none":           {func([]fleet.Account) {}, ""},
		"short digest":   {func(all []fleet.Account) { all[0].KeyDigests[1] = []byte("k") }, "Accounts[0].KeyDigests[1]: the digest has 1 bytes, 32 are due"},
		"same key":       {func(all []fleet.Account) { all[1].KeyDigests[0] = fleet.KeyDigest("k2") }, "Accounts[1].KeyDigests[0]: account 0 of the list has the same key"},
		"same name":      {func(all []fleet.Account) { all[2].Name = "a" }, "Accounts[2].Name: account 0 of the list has the same name"},
		"rate NaN":       {func(all []fleet.Account) { all[1].RatePerSecond = math.NaN() }, "Accounts[1].RatePerSecond: NaN isn't a finite number of at least 0"},
		"burst infinite": {func(all []fleet.Account) { all[1].Burst = math.Inf(1) }, "Accounts[1].Burst: +Inf isn't a finite number of at least 0"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			config := &fleet.Config{Accounts: accounts()}
			c.change(config.Accounts)
			fault := config.ValidateAccounts()
			if c.want == "" {
				is.True(fault == nil)
				is.NoErr(config.Validate())
				return
			}
			is.Equal(fault.Error(), c.want)
			is.True(config.Validate() != nil)
		})
	}
}

// TestAccountsStored guards against accounts that are lost when a state is stored or sent.
func TestAccountsStored(t *testing.T) {
	is := is.New(t)
	state := &fleet.State{Config: fleet.Config{Version: 1, Authenticate: true, Accounts: accounts(), Routes: []fleet.Route{{Public: true}}}}
	encoded, err := state.InForce().Encode()
	is.NoErr(err)
	got, err := fleet.Decode(encoded)
	is.NoErr(err)
	is.Equal(got.Config, state.Config)
}
