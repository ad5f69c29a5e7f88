package quota

import (
	"math"
	"slices"
	"time"
)

// stock is the tokens of an account that a holder got from the owner.
type stock struct {
	held int
	// pending is the number of tokens taken for requests that haven't been granted a slot.
	pending int
	expires time.Time
	// scarce is set if the owner's last reply gave less than was wanted.
	scarce bool
	// income is the estimated rate at which the owner issues tokens, and receivedAt the
	// time of its last reply.
	income     float64
	receivedAt time.Time
}

// available returns the tokens that can be taken.
func (s *stock) available(now time.Time) int {
	if !now.Before(s.expires) {
		s.held = 0
	}
	return s.held
}

func (s *stock) take(now time.Time) bool {
	if s.available(now) < 1 {
		return false
	}
	s.held--
	s.pending++
	return true
}

// exhausted reports whether the owner has lately given less than was wanted, so that it
// probably has no more.
func (s *stock) exhausted(now time.Time) bool {
	return s.scarce && now.Sub(s.receivedAt) < stockTime
}

// noteLow records that the owner is to be asked at once if the stock doesn't last for
// lowTime. An account that is beyond its quota waits for the next periodic request.
func (b *Book) noteLow(now time.Time, a *account) {
	rate, gap := a.demand.rate(now), askGap
	if a.stock.exhausted(now) {
		if rate >= a.limit.Rate {
			return
		}
		gap = scarceAskGap
	}
	if float64(a.stock.held) < max(1, rate*lowTime.Seconds()) && now.Sub(b.leases[a.owner].asked) >= gap {
		b.urgent |= 1 << a.owner
	}
}

// IsUrgent reports whether Urgent returns a region.
func (b *Book) IsUrgent() bool { return b.urgent != 0 }

// Urgent returns the regions whose owners are to be asked at once.
func (b *Book) Urgent() []string {
	var out []string
	for i, name := range b.regions {
		if b.urgent&(1<<i) != 0 {
			out = append(out, name)
		}
	}
	return out
}

// wants returns what is wanted of an account beyond the stock, and what is to be returned.
func (b *Book) wants(now time.Time, a *account) (wanted, surplus int) {
	target := a.demand.stock(now)
	held := a.stock.available(now)
	if target > 0 {
		target = min(target, max(1, stockShare*a.capacity)) + a.floorDeficit()
	}
	switch lack := int(math.Floor(target)) - held; {
	case lack > 0:
		return lack, 0
	case float64(held) > surplusFactor*target+1 || target == 0:
		return 0, -lack
	default:
		return 0, 0
	}
}

// HasNews reports whether a request to the owner of the regions, which is identified by
// owner, shouldn't wait: there is something to request, to renew or to return, or the owner
// doesn't know yet what this controller holds.
func (b *Book) HasNews(now time.Time, owner string, regions []string) bool {
	owners := b.Set(regions) &^ b.owned(now)
	if owners == 0 || b.owned(now) == 0 || len(b.ordered) == 0 {
		return false
	}
	for i := range b.leases {
		if owners&(1<<i) != 0 && b.leases[i].introduced != owner {
			return true
		}
	}
	return slices.ContainsFunc(b.ordered, func(a *account) bool {
		if owners&(1<<a.owner) == 0 {
			return false
		}
		wanted, surplus := b.wants(now, a)
		renew := a.stock.held > 0 && a.demand.rate(now) >= negligibleDemand && a.stock.expires.Sub(now) < Term/2
		return 2*wanted > a.stock.held || surplus > 0 || renew
	})
}

// Request returns the request to the owner of the regions, which is identified by owner,
// and the tokens that are returned with it, which can't be used any more. It returns false
// if there is nothing to send.
func (b *Book) Request(now time.Time, owner string, regions []string) (Request, []Return, bool) {
	own := b.owned(now)
	owners := b.Set(regions) &^ own
	if owners == 0 || own == 0 || len(b.ordered) == 0 {
		return Request{}, nil, false
	}
	b.urgent &^= owners
	b.sequence++
	out := Request{Sequence: b.sequence, Digest: b.digest, Regions: own, Owners: owners}
	introduced := true
	for i := range b.leases {
		if owners&(1<<i) != 0 {
			b.leases[i].asked = now
			introduced = introduced && b.leases[i].introduced == owner
		}
	}
	var returns []Return
	for _, a := range b.ordered {
		if owners&(1<<a.owner) == 0 {
			continue
		}
		wanted, surplus := b.wants(now, a)
		a.stock.held -= surplus
		if surplus > 0 {
			returns = append(returns, Return{Account: a.index, Tokens: surplus})
		}
		if held := a.stock.held + a.stock.pending; held > 0 || wanted > 0 {
			out.Items = append(out.Items, Item{Account: a.index, Held: held, Wanted: wanted})
		}
	}
	return out, returns, !introduced || len(out.Items)+len(returns) > 0
}

// Receive records the owner's reply to a request that was sent at sentAt. Its caller drops
// a reply of a controller that it no longer takes for the owner.
func (b *Book) Receive(now, sentAt time.Time, owner string, r Request, g Grants) {
	if g.Sequence != r.Sequence || r.Digest != b.digest {
		return
	}
	for i := range b.leases {
		if r.Owners&(1<<i) != 0 {
			b.leases[i].introduced, b.leases[i].former = owner, time.Time{}
		}
	}
	for i, item := range r.Items {
		a := b.ownedAt(item.Account, r.Owners&^b.owned(now))
		if a == nil {
			continue
		}
		n := 0
		if i < len(g.Tokens) {
			n = max(0, g.Tokens[i])
		}
		b.receive(now, sentAt, a, item, n)
	}
}

// ReceiveNothing records that the receiver of a request answered without a word about it. It
// is of a former release, whose dispatchers take no tokens. Until it is upgraded, accounts that
// it owns have their whole quota in each region: they would be refused below it otherwise.
func (b *Book) ReceiveNothing(now time.Time, r Request) {
	for i := range b.leases {
		if r.Owners&(1<<i) != 0 {
			b.leases[i].former = now.Add(Term)
		}
	}
}

// takeLocal takes a token from a bucket of this controller alone.
func (a *account) takeLocal(now time.Time) bool {
	if passed := now.Sub(a.local.at); passed > 0 && !a.local.at.IsZero() {
		a.local.level += a.limit.Rate * passed.Seconds()
	}
	a.local.at, a.local.level = now, min(a.local.level, a.capacity)
	if a.local.level < 1 {
		return false
	}
	a.local.level--
	return true
}

func (b *Book) receive(now, sentAt time.Time, a *account, item Item, n int) {
	s := &a.stock
	s.available(now)
	s.expires = sentAt.Add(holderTerm)
	if !now.Before(s.expires) {
		s.held = 0
		return
	}
	s.held += n
	s.scarce = n < item.Wanted
	if passed := now.Sub(s.receivedAt); passed > 0 && passed < Term {
		s.income += incomeSmoothing * (float64(n)/passed.Seconds() - s.income)
	}
	s.receivedAt = now
	left := float64(s.held)
	a.repay(now, b, &left, a.demand.stock(now)/2)
	s.held = int(left)
}

// receiptRetention is how long the sequence of a holder is remembered: longer than any
// request is under way.
const receiptRetention = time.Minute

// Expire forgets holders that sent no request for a long time.
func (b *Book) Expire(now time.Time) {
	for holder, r := range b.received {
		if now.Sub(r.at) > receiptRetention {
			delete(b.received, holder)
		}
	}
}
