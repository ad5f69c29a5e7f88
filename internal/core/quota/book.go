package quota

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"sassafrasreach/internal/core/rendezvous"
)

// Book is the state of all quotas at one controller, as an owner and as a holder. It is not
// safe for concurrent use.
type Book struct {
	bounds  Bounds
	regions []string
	leases  []lease
	// accounts are those with a quota, by name, and ordered by name.
	accounts map[string]*account
	ordered  []*account
	digest   uint32
	// sequence is that of the last request sent; received, of the last request received,
	// by holder.
	sequence uint64
	received map[string]receipt
	// urgent is the set of owners that are to be asked at once.
	urgent uint32
}

// lease is the right of this controller to dispatch one region, and what is known of the
// region's owner.
type lease struct {
	// since and until are the times between which no other controller holds the lease.
	since, until time.Time
	// heard is the set of regions whose dispatchers have reported what they hold.
	heard uint32
	// introduced is the owner that this controller last reported to.
	introduced string
	// asked is when the owner was last asked.
	asked time.Time
	// former is until when the owner counts as a controller of a former release, which knows
	// of no quotas.
	former time.Time
}

// receipt is the sequence of the last request of a holder and when it came.
type receipt struct {
	sequence uint64
	at       time.Time
}

// account is the state of one account's quota.
type account struct {
	limit Limit
	// index is the position in the list of accounts, and owner the index of the region
	// that owns the bucket.
	index, owner int
	// capacity is the size of the bucket, and strangerCapacity that while the owner doesn't
	// know what holders have.
	capacity, strangerCapacity float64
	// floorSize is the number of requests that a floor allows in a window. floors has one
	// for each region and a last one for regions that are dispatched without a majority.
	floorSize float64
	floors    []floor
	since     time.Time
	demand    demand
	// debt is the number of refused requests that were told to come back and haven't been
	// due yet, as of debtAt.
	debt   float64
	debtAt time.Time
	bucket bucket
	stock  stock
	// local is the bucket that is used while the owner is of a former release.
	local  floor
	counts Counts
}

// Counts are the numbers of requests of an account since the start of the controller.
type Counts struct {
	// Taken counts those that got a token, Floor those of them that got it from a floor,
	// and Refused those that got none.
	Taken, Floor, Refused int64
}

// NewBook returns the book of a controller that holds no lease. regions are the names of
// all regions, at most 32.
func NewBook(regions []string, bounds Bounds) *Book {
	sorted := slices.Sorted(slices.Values(regions))
	return &Book{
		bounds: bounds, regions: sorted, leases: make([]lease, len(sorted)),
		accounts: make(map[string]*account), received: make(map[string]receipt),
	}
}

// SetLimits replaces the quotas. An account that is kept keeps its tokens, as far as the
// new limit allows them; a new one starts with an empty bucket.
func (b *Book) SetLimits(now time.Time, limits []Limit) {
	before := b.accounts
	b.accounts, b.ordered = make(map[string]*account, len(limits)), nil
	for _, l := range limits {
		if !(l.Rate > 0) || b.accounts[l.Account] != nil {
			continue
		}
		a := before[l.Account]
		if a == nil {
			a = &account{since: now, floors: make([]floor, len(b.regions)+1), owner: b.ownerOf(l.Account)}
		}
		b.setLimit(now, a, l)
		b.accounts[l.Account] = a
		b.ordered = append(b.ordered, a)
	}
	slices.SortFunc(b.ordered, func(x, y *account) int { return cmp.Compare(x.limit.Account, y.limit.Account) })
	names := fnv.New32a()
	for i, a := range b.ordered {
		a.index = i
		_, _ = names.Write([]byte(a.limit.Account)) // a hash.Hash returns no error
		_, _ = names.Write([]byte{0})
	}
	b.digest = names.Sum32()
}

// setLimit changes the limit of an account. Its bucket is refilled first at the old rate.
func (b *Book) setLimit(now time.Time, a *account, l Limit) {
	if a.limit.Rate > 0 && b.owns(now, a.owner) {
		b.refill(now, a)
	}
	a.limit = l
	excess := b.bounds.excess(l)
	a.strangerCapacity = strangerShare * excess
	a.capacity = max(l.Burst, 1, min(l.Rate*capacityTime.Seconds(), l.Burst+capacityShare*excess))
	a.floorSize = floorShare * excess / float64(max(len(b.regions), 1))
	a.bucket.level = min(a.bucket.level, a.capacity)
	a.stock.held = min(a.stock.held, int(a.capacity))
}

// ownerOf returns the index of the region that owns an account's bucket.
func (b *Book) ownerOf(name string) int {
	best, highest := 0, uint64(0)
	for i, region := range b.regions {
		if weight := rendezvous.Weight(region, name); i == 0 || weight > highest {
			best, highest = i, weight
		}
	}
	return best
}

// SetLease sets until when this controller holds the lease of a region; a time that has
// passed means that it doesn't.
func (b *Book) SetLease(now time.Time, region string, until time.Time) {
	i, known := slices.BinarySearch(b.regions, region)
	if !known {
		return
	}
	l := &b.leases[i]
	if !now.Before(l.until) && now.Before(until) {
		l.since, l.heard = now, 0
	}
	l.until = until
}

// owns reports whether this controller holds the lease of a region.
func (b *Book) owns(now time.Time, region int) bool { return now.Before(b.leases[region].until) }

// owned returns the set of regions whose lease this controller holds.
func (b *Book) owned(now time.Time) uint32 {
	set := uint32(0)
	for i := range b.leases {
		if b.owns(now, i) {
			set |= 1 << i
		}
	}
	return set
}

// Set returns the set of the regions with the names, as in a Request.
func (b *Book) Set(names []string) uint32 {
	set := uint32(0)
	for _, name := range names {
		if i, known := slices.BinarySearch(b.regions, name); known {
			set |= 1 << i
		}
	}
	return set
}

// source says where a token was taken from.
type source uint8

const (
	fromBucket source = iota + 1
	fromStock
	fromFloor
	fromLocal
)

// Token is the right to run one request of an account. Its holder calls Spend once the
// request is granted a slot, or GiveBack if it is refused. The zero Token, of an account
// without a quota, needs neither.
type Token struct {
	account *account
	source  source
	// floor is the index of the floor, and since identifies the bucket by the time at
	// which its owner got it.
	floor int
	since time.Time
}

// Take takes a token for a request that a region dispatches. Without one it returns the
// time after which the client may try again, and false.
func (b *Book) Take(now time.Time, region, name string) (Token, time.Duration, bool) {
	a := b.accounts[name]
	if a == nil {
		return Token{}, 0, true
	}
	a.demand.observe(now)
	at, known := slices.BinarySearch(b.regions, region)
	firm := known && b.owns(now, at)
	if !firm {
		at = len(b.regions)
	}
	a.counts.Taken++
	if token, taken := b.takeIssued(now, a, firm); taken {
		return token, 0, true
	}
	f := &a.floors[at]
	f.refill(now, a.floorSize, b.bounds.Window)
	if f.level >= 1 {
		f.level--
		a.counts.Floor++
		return Token{account: a, source: fromFloor, floor: at}, 0, true
	}
	a.counts.Taken--
	a.counts.Refused++
	return Token{}, b.retryAfter(now, a), false
}

// takeIssued takes a token of the bucket, or one that the owner issued. firm says whether this
// controller holds the lease of the region that dispatches the request.
func (b *Book) takeIssued(now time.Time, a *account, firm bool) (Token, bool) {
	switch {
	case b.owns(now, a.owner):
		taken := b.takeOwned(now, a)
		return Token{account: a, source: fromBucket, since: a.bucket.since}, taken
	case !firm:
		return Token{}, false
	case now.Before(b.leases[a.owner].former):
		return Token{account: a, source: fromLocal}, a.takeLocal(now)
	default:
		taken := a.stock.take(now)
		b.noteLow(now, a)
		return Token{account: a, source: fromStock}, taken
	}
}

// retryAfter returns when a refused request can get a token. The tokens before are those
// of the requests that were refused shortly before. While the owner has been asked and may
// have tokens, that is after its reply.
func (b *Book) retryAfter(now time.Time, a *account) time.Duration {
	income := a.stock.income
	switch {
	case now.Before(b.leases[a.owner].former):
		income = a.limit.Rate
	case !b.owns(now, a.owner) && !a.stock.exhausted(now):
		return replyTime
	case b.owns(now, a.owner):
		income = a.limit.Rate * a.ownShare(now)
	}
	income = max(income, incomeShare*a.limit.Rate)
	a.debt = max(0, a.debt-income*now.Sub(a.debtAt).Seconds())
	a.debt = min(a.debt+1, income*b.bounds.Window.Seconds())
	a.debtAt = now
	return max(minRetryAfter, time.Duration(a.debt/income*float64(time.Second)))
}

// Spend records that the token's request was granted a slot.
func (b *Book) Spend(t Token) {
	switch {
	case t.source == fromBucket && t.since.Equal(t.account.bucket.since):
		t.account.bucket.pending--
	case t.source == fromStock:
		t.account.stock.pending--
	}
}

// GiveBack returns the token of a request that was refused for another reason.
func (b *Book) GiveBack(now time.Time, t Token) {
	a := t.account
	if a == nil {
		return
	}
	a.counts.Taken--
	b.Spend(t)
	switch {
	case t.source == fromFloor:
		a.counts.Floor--
		a.floors[t.floor].level++
		a.floors[t.floor].refill(now, a.floorSize, b.bounds.Window)
	case t.source == fromBucket && t.since.Equal(a.bucket.since):
		a.bucket.level = min(a.bucket.level+1, a.capacity)
	case t.source == fromStock && now.Before(a.stock.expires):
		a.stock.held++
	case t.source == fromLocal:
		a.local.level++
	}
}

// Usage describes the quota of one account at this controller.
type Usage struct {
	Account string
	Counts
	// Owner is the region that owns the bucket, and Owned says whether this controller
	// dispatches it; Level is the number of tokens in the bucket, or else in stock.
	Owner string
	Owned bool
	Level int
}

// Usage returns the n accounts with the most refusals, and the sum of the counts of all.
func (b *Book) Usage(now time.Time, n int) (most []Usage, all Counts) {
	for _, a := range b.ordered {
		all.Taken, all.Floor, all.Refused = all.Taken+a.counts.Taken, all.Floor+a.counts.Floor, all.Refused+a.counts.Refused
		u := Usage{
			Account: a.limit.Account, Counts: a.counts, Owner: b.regions[a.owner], Owned: b.owns(now, a.owner), Level: a.stock.available(now),
		}
		if u.Owned {
			u.Level = int(math.Floor(a.bucket.level))
		}
		most = append(most, u)
	}
	slices.SortStableFunc(most, func(x, y Usage) int {
		return cmp.Or(cmp.Compare(y.Refused, x.Refused), cmp.Compare(y.Taken, x.Taken))
	})
	return most[:min(n, len(most))], all
}
