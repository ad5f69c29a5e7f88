package explore

import (
	"fmt"
	"slices"

	"sassafrasreach/internal/core/register"
	"sassafrasreach/internal/port"
)

// oracle checks the results that members report: a version has one value, each
// chosen value builds on those chosen before it, a resend gets the same outcome,
// and a read isn't stale.
type oracle struct {
	// chosen is sorted by ballot. versions maps a version to its digest, outcomes
	// a change ID to its first outcome.
	chosen   []chosenValue
	versions map[uint64]string
	outcomes map[string]port.Outcome
}

type chosenValue struct {
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

// recordChosen checks a report that a value was chosen under a ballot.
func (o *oracle) recordChosen(b register.Ballot, v *register.Value) error {
	if v != nil {
		if known, found := o.versions[v.Version]; found && known != v.Digest {
			return fmt.Errorf("version %d has digests %q and %q", v.Version, known, v.Digest)
		}
		o.versions[v.Version] = v.Digest
	}
	at, found := slices.BinarySearchFunc(o.chosen, b, func(c chosenValue, b register.Ballot) int { return c.ballot.Compare(b) })
	if found && lastHash(o.chosen[at].value) != lastHash(v) {
		return fmt.Errorf("two values were chosen under ballot %v", b)
	}
	if found {
		return nil
	}
	if at > 0 && !extends(v, o.chosen[at-1].value) {
		return fmt.Errorf("value chosen under %v doesn't build on that of %v", b, o.chosen[at-1].ballot)
	}
	if at < len(o.chosen) && !extends(o.chosen[at].value, v) {
		return fmt.Errorf("value chosen under %v doesn't build on that of %v", o.chosen[at].ballot, b)
	}
	o.chosen = slices.Insert(o.chosen, at, chosenValue{ballot: b, value: v})
	return nil
}

// recordOutcome checks an outcome that was returned to an operator.
func (o *oracle) recordOutcome(out port.Outcome) error {
	if first, found := o.outcomes[out.ChangeID]; found && first != out {
		return fmt.Errorf("change %s had outcome %v, then %v", out.ChangeID, first, out)
	}
	o.outcomes[out.ChangeID] = out
	return nil
}

// checkRead checks that a read value is not older than floor, the newest value that
// was known to be chosen when the read began.
func (o *oracle) checkRead(floor, got *register.Value) error {
	if !extends(got, floor) {
		return fmt.Errorf("read returned an older value than one chosen before it began")
	}
	return nil
}

func lastHash(v *register.Value) string {
	if v == nil || len(v.Audit) == 0 {
		return ""
	}
	return v.Audit[len(v.Audit)-1].Hash
}

// extends says whether v builds on older: the last audit record of older is in v.
func extends(v, older *register.Value) bool {
	last := lastHash(older)
	if last == "" {
		return true
	}
	return v != nil && slices.ContainsFunc(v.Audit, func(r port.AuditRecord) bool { return r.Hash == last })
}
