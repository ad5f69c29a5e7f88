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

// newPair returns a pair whose bucket of 100 tokens, at 50 per second, is full.
func newPair() *pair {
	p := &pair{now: simulationStart}
	usage, _ := p.book(regions[0]).Usage(p.now, 1)
	p.ownerRegion, p.holderRegion = usage[0].Owner, regions[0]
	if p.holderRegion == p.ownerRegion {
		p.holderRegion = regions[1]
	}
	p.owner, p.holder = p.book(p.ownerRegion), p.book(p.holderRegion)
	p.now = p.now.Add(time.Minute)
	return p
}

func (p *pair) book(region string) *quota.Book {
	b := quota.NewBook(regions, quota.Bounds{Window: 5 * time.Second})
	b.SetLimits(p.now, []quota.Limit{{Account: "a", Rate: 50, Burst: 100}})
	b.SetLease(p.now, region, p.now.Add(time.Hour))
	return b
}

// own and hold take and spend up to n tokens, and return how many they got.
func (p *pair) own(n int) int  { return p.take(p.owner, p.ownerRegion, n) }
func (p *pair) hold(n int) int { return p.take(p.holder, p.holderRegion, n) }

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

// exchange gives the holder tokens for a demand of n requests, and returns how many.
func (p *pair) exchange(n int) (quota.Request, int) {
	p.hold(n)
	r, returns, _ := p.holder.Request(p.now, "owner", []string{p.ownerRegion})
	g := p.owner.Grant(p.now, "holder", r, returns)
	p.holder.Receive(p.now, p.now, "owner", r, g)
	issued := 0
	for _, n := range g.Tokens {
		issued += n
	}
	return r, issued
}

// TestTokensExpire guards against tokens that two controllers count as theirs: while a holder
// is cut off, the owner doesn't mint its tokens again before the holder stops using them.
func TestTokensExpire(t *testing.T) {
	is := is.New(t)
	p := newPair()
	_, issued := p.exchange(200)
	is.True(issued > 10)
	p.now = p.now.Add(quota.Term - 60*time.Millisecond)
	is.Equal(p.own(1000), 100-issued)
	is.Equal(p.hold(1), 1)
	p.now = p.now.Add(20 * time.Millisecond)
	is.Equal(p.hold(1), 0)
	is.Equal(p.own(1000), 1) // minted in the 20 ms
	p.now = p.now.Add(3 * time.Second)
	is.Equal(p.own(1000), 100)
}

// TestQueuedTokensCount guards against a bucket that is refilled although the requests with
// its tokens are queued, and will run, and against tokens that aren't returned.
func TestQueuedTokensCount(t *testing.T) {
	is := is.New(t)
	p := newPair()
	var queued []quota.Token
	for range 30 {
		token, _, ok := p.owner.Take(p.now, p.ownerRegion, "a")
		is.True(ok)
		queued = append(queued, token)
	}
	p.now = p.now.Add(time.Minute)
	is.Equal(p.own(1000), 70)
	for _, token := range queued[:20] {
		p.owner.GiveBack(p.now, token)
	}
	is.Equal(p.own(1000), 20)
}

// TestRepeatedRequestIgnored guards against tokens that are issued twice, or counted no
// more, because a request arrives twice or after a later one.
func TestRepeatedRequestIgnored(t *testing.T) {
	is := is.New(t)
	p := newPair()
	early, used := p.exchange(20)
	p.exchange(200) // uses all of these
	is.Equal(p.owner.Grant(p.now, "holder", early, nil), quota.Grants{})
	is.Equal(p.own(1000)+p.hold(1000)+used, 100)
}

// TestNewOwner guards against a new owner that fills its bucket while holders have the tokens
// of the former one, and against one that goes on with its bucket after another may have had it.
func TestNewOwner(t *testing.T) {
	is := is.New(t)
	p := newPair()
	_, issued := p.exchange(200)
	p.owner = p.book(p.ownerRegion)
	p.now = p.now.Add(time.Second)
	is.Equal(p.own(1000), 0) // nobody has reported; there is no excess to use
	p.exchange(0)
	p.now = p.now.Add(quota.Term - 100*time.Millisecond)
	is.Equal(p.own(1000), 100-issued)
	p.now = p.now.Add(time.Minute)
	is.Equal(p.own(1), 1)
	p.owner.SetLease(p.now, p.ownerRegion, p.now)
	p.owner.SetLease(p.now, p.ownerRegion, p.now.Add(time.Hour))
	is.Equal(p.own(1000), 0)
}

// TestRefusedAccount guards against an account that goes on at its former quota after it was
// lowered, and against a RetryAfter after which a request is refused again although only those
// come back that were told to.
func TestRefusedAccount(t *testing.T) {
	is := is.New(t)
	p := newPair()
	is.Equal(p.own(100), 100)
	var due []time.Time
	for range 100 {
		_, after, ok := p.owner.Take(p.now, p.ownerRegion, "a")
		is.True(!ok)
		due = append(due, p.now.Add(after))
	}
	for _, at := range due {
		p.now = at
		is.Equal(p.own(1), 1)
	}
	p.now = p.now.Add(time.Minute)
	p.owner.SetLimits(p.now, []quota.Limit{{Account: "a", Rate: 2, Burst: 3}})
	p.now = p.now.Add(5 * time.Second)
	is.Equal(p.own(1000), 3)
}

// TestFormerOwner guards against an account that is refused below its quota since its owner is
// of a former release, which issues no tokens, and against one that then has no quota.
func TestFormerOwner(t *testing.T) {
	is := is.New(t)
	p := newPair()
	got := 0
	for range 100 {
		r, _, _ := p.holder.Request(p.now, "owner", []string{p.ownerRegion})
		p.holder.ReceiveNothing(p.now, r)
		got += p.hold(100)
		p.now = p.now.Add(100 * time.Millisecond)
	}
	is.True(got > 450 && got <= 500)
	p.exchange(0) // the owner was upgraded
	is.True(p.hold(1000) <= 40)
}

// TestGate guards against a gateway that asks for each request of an account far beyond its
// quota, that holds one back which is just beyond it, or that runs more without a dispatcher
// than it was granted in a second.
func TestGate(t *testing.T) {
	is := is.New(t)
	now, g := simulationStart, quota.NewGate()
	g.SetLimits([]quota.Limit{{Account: "a", Rate: 50}, {Account: "small", Rate: 2}})
	g.Refused(now, "small", time.Second)
	_, holds := g.Holds(now, "small")
	is.True(!holds)
	g.Refused(now, "a", 100*time.Millisecond)
	_, holds = g.Holds(now, "a")
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
	for range 4 {
		is.True(g.TakeAlone("a"))
	}
	is.True(!g.TakeAlone("a"))
	g.ReturnAlone("a")
	is.True(g.TakeAlone("a"))
	g.Answered(now.Add(100 * time.Millisecond))
	is.True(g.TakeAlone("a"))
	is.True(g.TakeAlone("of no quota"))
}

// TestFloor guards against a controller without a majority that uses more than one region's
// floor in a window, for all the regions that it dispatches, and against one that can use none.
func TestFloor(t *testing.T) {
	is := is.New(t)
	limit := quota.Limit{Account: "a", Rate: 50, Burst: 100}
	s := newSimulation(1, []quota.Limit{limit}, quota.DefaultBounds)
	b := s.nodes[0].book
	for range 600 {
		for _, region := range regions {
			if _, _, ok := b.Take(s.now, region, "a"); ok {
				s.runs["a"] = append(s.runs["a"], s.now)
			}
		}
		s.now = s.now.Add(100 * time.Millisecond)
	}
	excess := quota.DefaultBounds.Allowed(limit) - 50*5 - 100
	is.True(s.most("a") <= int(excess/2/3))
	is.True(len(s.runs["a"]) >= int(excess/2/3*60/5/4)) // a quarter is refilled over each window
}
