package quota_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/quota"
)

// pair is an owner and a holder of an account's tokens, with neither excess nor slack.
type pair struct {
	owner, holder             *quota.Book
	ownerRegion, holderRegion string
	now                       time.Time
}

// newPair returns a pair whose bucket of 100 tokens is full.
func newPair(is *is.I) *pair {
	p := &pair{now: simulationStart}
	for _, name := range regions {
		p.owner = p.book(name)
		if p.take(p.owner, name, 1); p.taken(p.owner) == 0 { // not yet: it is empty
			p.wait(2 * quota.Term)
		}
		if p.take(p.owner, name, 1) == 1 { // only the owner gets tokens without asking
			p.ownerRegion = name
		}
	}
	p.owner = p.book(p.ownerRegion)
	p.holderRegion = regions[0]
	if p.holderRegion == p.ownerRegion {
		p.holderRegion = regions[1]
	}
	p.holder = p.book(p.holderRegion)
	p.wait(time.Minute)
	is.Equal(p.take(p.owner, p.ownerRegion, 1000), 100)
	p.wait(time.Minute)
	return p
}

func (p *pair) book(region string) *quota.Book {
	b := quota.NewBook(regions, quota.Bounds{Window: 5 * time.Second})
	b.SetLimits(p.now, []quota.Limit{{Account: "a", Rate: 50, Burst: 100}})
	b.SetLease(p.now, region, p.now.Add(time.Hour))
	return b
}

func (p *pair) wait(d time.Duration) { p.now = p.now.Add(d) }

func (p *pair) taken(b *quota.Book) int64 {
	_, all := b.Usage(p.now, 0)
	return all.Taken
}

// take takes and spends up to n tokens, and returns how many it got.
func (p *pair) take(b *quota.Book, region string, n int) int {
	got := 0
	for range n {
		if t, _, ok := b.Take(p.now, region, "a"); ok {
			b.Spend(t)
			got++
		}
	}
	return got
}

// exchange gives the holder tokens for a demand of n requests.
func (p *pair) exchange(n int) (quota.Request, quota.Grants) {
	p.take(p.holder, p.holderRegion, n)
	r, returns, _ := p.holder.Request(p.now, "owner", []string{p.ownerRegion})
	g := p.owner.Grant(p.now, "holder", r, returns)
	p.holder.Receive(p.now, p.now, "owner", r, g)
	return r, g
}

// TestTokensExpire guards against tokens that two controllers count as theirs: while a holder
// is cut off, the owner doesn't mint its tokens again before the holder has stopped using
// them.
func TestTokensExpire(t *testing.T) {
	is := is.New(t)
	p := newPair(is)
	_, g := p.exchange(200)
	issued := g.Tokens[0]
	is.True(issued > 10)
	p.wait(quota.Term - 60*time.Millisecond)
	is.Equal(p.take(p.owner, p.ownerRegion, 1000), 100-issued)
	is.Equal(p.take(p.holder, p.holderRegion, 1), 1)
	p.wait(20 * time.Millisecond)
	is.Equal(p.take(p.holder, p.holderRegion, 1), 0)
	is.Equal(p.take(p.owner, p.ownerRegion, 1000), 1) // minted in the 20 ms
	p.wait(3 * time.Second)
	is.Equal(p.take(p.owner, p.ownerRegion, 1000), 100)
}

// TestQueuedTokensCount guards against a bucket that is refilled although the requests with
// its tokens are queued, and will run.
func TestQueuedTokensCount(t *testing.T) {
	is := is.New(t)
	p := newPair(is)
	var queued []quota.Token
	for range 30 {
		token, _, ok := p.owner.Take(p.now, p.ownerRegion, "a")
		is.True(ok)
		queued = append(queued, token)
	}
	p.wait(time.Minute)
	is.Equal(p.take(p.owner, p.ownerRegion, 1000), 70)
	for _, token := range queued[:20] {
		p.owner.GiveBack(p.now, token)
	}
	is.Equal(p.take(p.owner, p.ownerRegion, 1000), 20) // refused requests return their tokens
}

// TestRepeatedRequestIgnored guards against tokens that are issued twice, or counted no
// more, because a request arrives twice or after a later one.
func TestRepeatedRequestIgnored(t *testing.T) {
	is := is.New(t)
	p := newPair(is)
	early, g := p.exchange(20)
	used := g.Tokens[0]
	p.exchange(200) // uses all of these
	is.Equal(p.owner.Grant(p.now, "holder", early, nil), quota.Grants{})
	held := 0
	for p.take(p.holder, p.holderRegion, 1) == 1 {
		held++
	}
	is.Equal(p.take(p.owner, p.ownerRegion, 1000)+held+used, 100)
}

// TestNewOwnerHearsHolders guards against a new owner that fills its bucket while holders
// have the tokens of the former owner.
func TestNewOwnerHearsHolders(t *testing.T) {
	is := is.New(t)
	p := newPair(is)
	_, g := p.exchange(200)
	issued := g.Tokens[0]
	p.owner = p.book(p.ownerRegion)
	p.wait(time.Second)
	is.Equal(p.take(p.owner, p.ownerRegion, 1000), 0) // nobody has reported; there is no excess to use
	p.exchange(0)
	p.wait(quota.Term - 100*time.Millisecond)
	is.Equal(p.take(p.owner, p.ownerRegion, 1000), 100-issued)
	p.wait(time.Minute)
	p.owner.SetLease(p.now, p.ownerRegion, p.now)
	p.owner.SetLease(p.now, p.ownerRegion, p.now.Add(time.Hour))
	is.Equal(p.take(p.owner, p.ownerRegion, 1000), 0) // another may have owned it in between
}

// TestLoweredQuota guards against an account that goes on at its former quota.
func TestLoweredQuota(t *testing.T) {
	is := is.New(t)
	p := newPair(is)
	p.owner.SetLimits(p.now, []quota.Limit{{Account: "a", Rate: 2, Burst: 3}})
	got := 0
	for range 50 {
		got += p.take(p.owner, p.ownerRegion, 10)
		p.wait(100 * time.Millisecond)
	}
	is.True(got <= 13 && got >= 12)
}

// TestRetryAfterIsTrue guards against a RetryAfter after which a request is refused again:
// clients that come back when they were told to, and no others, are served.
func TestRetryAfterIsTrue(t *testing.T) {
	is := is.New(t)
	p := newPair(is)
	p.take(p.owner, p.ownerRegion, 1000)
	p.wait(4 * time.Second) // the refused ones of before are due
	is.Equal(p.take(p.owner, p.ownerRegion, 100), 100)
	var due []time.Duration
	for range 100 {
		_, after, ok := p.owner.Take(p.now, p.ownerRegion, "a")
		is.True(!ok)
		due = append(due, after)
	}
	began := p.now
	for _, d := range due {
		p.now = began.Add(d)
		is.Equal(p.take(p.owner, p.ownerRegion, 1), 1)
	}
}

// TestGate guards against a gateway that asks for each request of an account far beyond its
// quota, that holds one back which is just beyond it, or that runs more without a dispatcher
// than it was granted in a second.
func TestGate(t *testing.T) {
	is := is.New(t)
	now, g := simulationStart, quota.NewGate()
	g.SetAccounts([]string{"a"})
	g.Refused(now, "a", 100*time.Millisecond)
	_, holds := g.Holds(now, "a")
	is.True(!holds)
	g.Refused(now, "a", time.Second)
	after, holds := g.Holds(now.Add(100*time.Millisecond), "a")
	is.True(holds && after == 900*time.Millisecond)
	_, holds = g.Holds(now.Add(500*time.Millisecond), "a")
	is.True(!holds)
	for range 20 {
		now = now.Add(250 * time.Millisecond)
		g.Answered(now)
		g.Granted(now, "a")
	}
	alone := 0
	for range 10 {
		if g.TakeAlone("a") {
			alone++
		}
	}
	is.Equal(alone, 4)
	g.ReturnAlone("a")
	is.True(g.TakeAlone("a"))
	is.True(!g.TakeAlone("a"))
	g.Answered(now.Add(100 * time.Millisecond))
	is.True(g.TakeAlone("a"))
	is.True(g.TakeAlone("of no quota"))
}
