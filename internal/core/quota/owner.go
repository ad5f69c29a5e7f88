package quota

import (
	"math"
	"time"
)

// bucket is the state of an account's bucket at its owner.
type bucket struct {
	// since is when the owner got the bucket, and at when it was last refilled.
	since, at time.Time
	level     float64
	// pending is the number of tokens taken for requests that haven't been granted a slot.
	pending int
	// reserved is the part of the level that is kept for holders which got less than they
	// wanted.
	reserved float64
	holders  []holding
}

// holding is what one holder has of a bucket.
type holding struct {
	holder string
	// tokens are those that it may have, and target what it wants to have.
	tokens, target int
	// expires is when the tokens no longer count.
	expires time.Time
}

func (h *holding) unmet() float64 { return float64(max(0, h.target-h.tokens)) }

// refill mints the tokens of the time since the last call. A bucket whose owner got the
// lease anew is emptied first.
func (b *Book) refill(now time.Time, a *account) {
	k, l := &a.bucket, &b.leases[a.owner]
	if !k.since.Equal(l.since) {
		*k = bucket{since: l.since, at: l.since}
		if a.since.After(k.at) {
			k.at = a.since
		}
		a.stock.held = 0
	}
	kept := k.holders[:0]
	outstanding, unmet, targets := float64(k.pending), 0.0, 0.0
	for _, h := range k.holders {
		if now.Before(h.expires) {
			kept = append(kept, h)
			outstanding, unmet, targets = outstanding+float64(h.tokens), unmet+h.unmet(), targets+float64(h.target)
		}
	}
	k.holders = kept
	capacity := a.capacity
	if all := uint32(1)<<len(b.regions) - 1; (l.heard|b.owned(now))&all != all && now.Before(l.since.Add(Term)) {
		capacity = min(capacity, a.strangerCapacity)
	}
	minted := a.limit.Rate * max(0, now.Sub(k.at).Seconds())
	minted = max(0, min(minted, capacity-k.level-outstanding))
	if now.After(k.at) {
		k.at = now
	}
	k.level += minted
	if own := a.demand.stock(now); own+targets > 0 {
		k.reserved += minted * targets / (own + targets)
	}
	k.reserved = min(k.reserved, unmet, k.level)
}

// takeOwned takes a token from the bucket for a request of the owner.
func (b *Book) takeOwned(now time.Time, a *account) bool {
	b.refill(now, a)
	k := &a.bucket
	if k.level-k.reserved < 1 {
		return false
	}
	k.level--
	k.pending++
	a.repay(now, b, &k.level, a.demand.stock(now)+k.reserved)
	return true
}

// repay fills up the floors with the tokens in excess of a part to keep. So they are full
// again soon after they were used, and a request that used one counts as one that used a
// token of the bucket.
func (a *account) repay(now time.Time, b *Book, tokens *float64, keep float64) {
	burst := floorBurst * a.floorSize
	for i := range a.floors {
		f := &a.floors[i]
		if f.at.IsZero() || *tokens-keep < 1 {
			continue
		}
		f.refill(now, a.floorSize, b.bounds.Window)
		n := math.Floor(min(*tokens-keep, burst-f.level))
		f.level, *tokens = f.level+n, *tokens-n
	}
}

// floorDeficit returns the tokens that the floors in use lack.
func (a *account) floorDeficit() float64 {
	sum := 0.0
	for _, f := range a.floors {
		if !f.at.IsZero() {
			sum += floorBurst*a.floorSize - f.level
		}
	}
	return math.Floor(sum)
}

// ownShare returns the share of the tokens that the owner's requests get when the account
// is beyond its quota.
func (a *account) ownShare(now time.Time) float64 {
	own, targets := a.demand.stock(now), 0.0
	for _, h := range a.bucket.holders {
		targets += float64(h.target)
	}
	return own / max(own+targets, 1)
}

// Grant handles a holder's request. It rejects one that is older than another of the same
// holder, that refers to another list of accounts, or whose sender takes this controller
// for the owner of a region that it isn't.
func (b *Book) Grant(now time.Time, holder string, r Request, returns []Return) Grants {
	if r.Sequence <= b.received[holder].sequence {
		return Grants{}
	}
	b.received[holder] = receipt{r.Sequence, now}
	owned := b.owned(now)
	if r.Digest != b.digest || r.Owners&^owned != 0 || r.Owners == 0 {
		return Grants{}
	}
	for i := range b.leases {
		if r.Owners&(1<<i) != 0 {
			b.leases[i].heard |= r.Regions
		}
	}
	for _, back := range returns {
		if a := b.ownedAt(back.Account, r.Owners); a != nil {
			b.takeBack(now, a, holder, back.Tokens)
		}
	}
	out := Grants{Sequence: r.Sequence, Tokens: make([]int, len(r.Items))}
	last := 0
	for i, item := range r.Items {
		if a := b.ownedAt(item.Account, r.Owners); a != nil {
			out.Tokens[i] = b.grant(now, a, holder, item)
		}
		if out.Tokens[i] > 0 {
			last = i + 1
		}
	}
	out.Tokens = out.Tokens[:last]
	return out
}

// ownedAt returns the account with an index if one of the regions owns it, or nil.
func (b *Book) ownedAt(index int, regions uint32) *account {
	if index < 0 || index >= len(b.ordered) || regions&(1<<b.ordered[index].owner) == 0 {
		return nil
	}
	return b.ordered[index]
}

// takeBack puts tokens that a holder returned back into the bucket.
func (b *Book) takeBack(now time.Time, a *account, holder string, tokens int) {
	b.refill(now, a)
	for i := range a.bucket.holders {
		h := &a.bucket.holders[i]
		if h.holder != holder {
			continue
		}
		tokens = max(0, min(tokens, h.tokens))
		h.tokens = 0 // what it still has is in the request
		a.bucket.level = min(a.bucket.level+float64(tokens), a.capacity)
	}
}

// grant issues tokens of one account. While the bucket has enough for all, the holder gets
// what it wants; else a share in proportion to what each region wants to have.
func (b *Book) grant(now time.Time, a *account, holder string, item Item) int {
	b.refill(now, a)
	k := &a.bucket
	at := -1
	for i := range k.holders {
		if k.holders[i].holder == holder {
			at = i
		}
	}
	if at < 0 {
		k.holders = append(k.holders, holding{holder: holder})
		at = len(k.holders) - 1
	}
	held, wanted := max(0, item.Held), max(0, item.Wanted)
	k.holders[at] = holding{holder: holder, tokens: held, target: held + wanted, expires: now.Add(Term)}
	own := a.demand.stock(now)
	targets, others, unmet := own, own, 0.0
	for i := range k.holders {
		targets += float64(k.holders[i].target)
		unmet += k.holders[i].unmet()
		if i != at {
			others += k.holders[i].unmet()
		}
	}
	share := float64(wanted)
	if k.level-share < others {
		part := k.level * float64(k.holders[at].target) / max(targets, 1)
		share = math.Ceil(max(part, k.reserved*k.holders[at].unmet()/max(unmet, 1)))
	}
	n := int(min(share, float64(wanted), math.Floor(k.level)))
	n = max(n, 0)
	k.holders[at].tokens += n
	k.level -= float64(n)
	k.reserved = max(0, k.reserved-float64(n))
	return n
}
