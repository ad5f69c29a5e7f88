package explore

import (
	"fmt"
	"slices"

	"sassafrasreach/internal/core/register"
	"sassafrasreach/internal/port"
)

// oracle checks what members claim: one value per version, accepted versions
// never vanish, resends answer alike, reads aren't stale.
type oracle struct {
	// chosen is sorted by ballot.
	chosen   []choice
	versions map[uint64]string
	outcomes map[string]port.Outcome
}

type choice struct {
	ballot register.Ballot
	value  *register.Value
}

func newOracle() oracle {
	return oracle{versions: make(map[uint64]string), outcomes: make(map[string]port.Outcome)}
}

func (o *oracle) newest() *register.Value {
	if len(o.chosen) == 0 {
		return nil
	}
	return o.chosen[len(o.chosen)-1].value
}

// choose takes a claim that a value was chosen under a ballot.
func (o *oracle) choose(b register.Ballot, v *register.Value) error {
	if v != nil {
		if known, found := o.versions[v.Version]; found && known != v.Digest {
			return fmt.Errorf("version %d is %q and %q", v.Version, known, v.Digest)
		}
		o.versions[v.Version] = v.Digest
	}
	at, found := slices.BinarySearchFunc(o.chosen, b, func(c choice, b register.Ballot) int { return c.ballot.Compare(b) })
	if found && lastHash(o.chosen[at].value) != lastHash(v) {
		return fmt.Errorf("ballot %v chose two values", b)
	}
	if found {
		return nil
	}
	if at > 0 && !extends(v, o.chosen[at-1].value) {
		return fmt.Errorf("value of %v lacks that of %v", b, o.chosen[at-1].ballot)
	}
	if at < len(o.chosen) && !extends(o.chosen[at].value, v) {
		return fmt.Errorf("value of %v lacks that of %v", o.chosen[at].ballot, b)
	}
	o.chosen = slices.Insert(o.chosen, at, choice{ballot: b, value: v})
	return nil
}

// tell takes an outcome that an operator was told.
func (o *oracle) tell(out port.Outcome) error {
	if first, found := o.outcomes[out.ChangeID]; found && first != out {
		return fmt.Errorf("change %s was told %v, then %v", out.ChangeID, first, out)
	}
	o.outcomes[out.ChangeID] = out
	return nil
}

func (o *oracle) readAfter(floor, got *register.Value) error {
	if !extends(got, floor) {
		return fmt.Errorf("read is older than a value chosen before it began")
	}
	return nil
}

func lastHash(v *register.Value) string {
	if v == nil || len(v.Audit) == 0 {
		return ""
	}
	return v.Audit[len(v.Audit)-1].Hash
}

// extends says whether v holds all decisions of older.
func extends(v, older *register.Value) bool {
	last := lastHash(older)
	if last == "" {
		return true
	}
	return v != nil && slices.ContainsFunc(v.Audit, func(r port.AuditRecord) bool { return r.Hash == last })
}
