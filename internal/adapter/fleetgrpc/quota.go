package fleetgrpc

import (
	"math"

	fleetv1 "sassafrasreach/api/fleet/v1"
	"sassafrasreach/internal/core/quota"
)

// count converts a number of tokens or an index; a negative one becomes 0.
func count(n int) uint32 { return uint32(min(max(n, 0), math.MaxInt32)) }

func fromCount(n uint32) int { return int(min(n, math.MaxInt32)) }

// at returns an element of a list, or 0 behind its end.
func at(list []uint32, i int) int {
	if i >= len(list) {
		return 0
	}
	return fromCount(list[i])
}

func quotaToProto(r *quota.Request) *fleetv1.QuotaRequests {
	if r == nil {
		return nil
	}
	m := &fleetv1.QuotaRequests{Sequence: r.Sequence, Digest: r.Digest, Regions: r.Regions, Owners: r.Owners}
	for _, item := range r.Items {
		m.Accounts, m.Held, m.Wanted = append(m.Accounts, count(item.Account)), append(m.Held, count(item.Held)), append(m.Wanted, count(item.Wanted))
	}
	return m
}

func quotaFromProto(m *fleetv1.QuotaRequests) *quota.Request {
	if m == nil {
		return nil
	}
	r := &quota.Request{Sequence: m.GetSequence(), Digest: m.GetDigest(), Regions: m.GetRegions(), Owners: m.GetOwners()}
	for i, account := range m.GetAccounts() {
		r.Items = append(r.Items, quota.Item{Account: fromCount(account), Held: at(m.GetHeld(), i), Wanted: at(m.GetWanted(), i)})
	}
	return r
}

func quotaReturnsToProto(all []quota.Return) *fleetv1.QuotaReturns {
	if len(all) == 0 {
		return nil
	}
	m := &fleetv1.QuotaReturns{}
	for _, r := range all {
		m.Accounts, m.Tokens = append(m.Accounts, count(r.Account)), append(m.Tokens, count(r.Tokens))
	}
	return m
}

func quotaReturnsFromProto(m *fleetv1.QuotaReturns) []quota.Return {
	var out []quota.Return
	for i, account := range m.GetAccounts() {
		out = append(out, quota.Return{Account: fromCount(account), Tokens: at(m.GetTokens(), i)})
	}
	return out
}

func quotaGrantsToProto(g *quota.Grants) *fleetv1.QuotaGrants {
	if g == nil {
		return nil
	}
	return &fleetv1.QuotaGrants{Sequence: g.Sequence, Tokens: convertAll(g.Tokens, count)}
}

func quotaGrantsFromProto(m *fleetv1.QuotaGrants) *quota.Grants {
	if m == nil {
		return nil
	}
	return &quota.Grants{Sequence: m.GetSequence(), Tokens: convertAll(m.GetTokens(), fromCount)}
}
