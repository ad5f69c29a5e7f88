package control_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/disk"
	"sassafrasreach/internal/core/audit"
	"sassafrasreach/internal/core/register"
	"sassafrasreach/internal/port"
)

// inBubble runs a test of a cluster in a synctest bubble, with a fake clock, and
// stops its members afterwards.
func inBubble(t *testing.T, members int, test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := startAll(t, members)
		defer c.end()
		test(t, c)
	})
}

// checkVersion checks that every member reads the given version through a quorum,
// and that the audit trail verifies and has the given number of records.
func (c *cluster) checkVersion(version uint64, records int) {
	c.t.Helper()
	is := is.New(c.t)
	for i := range c.members {
		var current port.Config
		c.eventually("read through a quorum", func() bool {
			var err error
			current, err = c.node(i).Current(context.Background())
			return err == nil
		})
		is.Equal(current.Version, version)
		trail, err := c.node(i).Audit(context.Background())
		is.NoErr(err)
		is.Equal(len(trail), records)
		is.NoErr(audit.Verify(trail))
	}
}

// step is a point in the exchange of messages: the request of a kind or its answer.
type step struct {
	kind   kind
	answer bool
}

func (s step) String() string { return fmt.Sprintf("%s, answer %v", s.kind, s.answer) }

// steps returns the request and the answer of each kind, in this order.
func steps(kinds ...kind) []step {
	var out []step
	for _, k := range kinds {
		out = append(out, step{k, false}, step{k, true})
	}
	return out
}

// at runs f once, before the first message of a step between two members is
// delivered. A negative number stands for any member.
func (c *cluster) at(s step, from, to int, f func()) {
	var once sync.Once
	c.onEvent(func(e event) {
		if e.kind == s.kind && e.answer == s.answer && (from < 0 || e.from == from) && (to < 0 || e.to == to) {
			once.Do(f)
		}
	})
}

// TestDiskLostAtEachMessage guards against an accepted change that is lost with a
// disk. A member loses its disk at each message of the change; after its repair
// every member loses its disk in turn.
func TestDiskLostAtEachMessage(t *testing.T) {
	for _, s := range steps(prepare, accept, learn, query) {
		t.Run(s.String(), func(t *testing.T) {
			inBubble(t, 3, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.submit(change("a", 0), 0)
				c.at(s, 0, 1, func() { c.loseDisk(1) })
				out := c.submit(change("b", 1), 0, 2)
				is.Equal(out.State, port.ChangeAccepted)
				is.Equal(out.Version, uint64(2))
				time.Sleep(time.Second)
				for _, next := range []int{1, 2, 0} {
					c.eventually("repair", func() bool { return c.votes(0) && c.votes(1) && c.votes(2) })
					c.loseDisk(next)
				}
				c.checkVersion(2, 2)
				is.Equal(c.submit(change("b", 1), 1), out) // a resend after all disks were lost in turn
				c.checkVersion(2, 2)
			})
		})
	}
}

// TestDiskLostAgainDuringRepair guards against a repair that counts for a disk lost
// after the repair began: the member loses its disk again at each message of it.
func TestDiskLostAgainDuringRepair(t *testing.T) {
	for _, s := range steps(probe, fence) {
		t.Run(s.String(), func(t *testing.T) {
			inBubble(t, 3, func(t *testing.T, c *cluster) {
				out := c.submit(change("a", 0), 0)
				c.at(s, 2, 1, func() { c.loseDisk(2) })
				c.loseDisk(2)
				time.Sleep(time.Second)
				c.eventually("repair", func() bool { return c.votes(2) })
				c.loseDisk(1)
				c.eventually("repair", func() bool { return c.votes(1) })
				is.New(t).Equal(c.submit(change("a", 0), 2), out)
				c.checkVersion(1, 1)
			})
		})
	}
}

// TestAllCrashAtEachMessage guards against a change that a crash of all members
// loses or applies twice: they crash at each message of the change, and again
// right after it was accepted, or learned.
func TestAllCrashAtEachMessage(t *testing.T) {
	for _, s := range steps(prepare, accept, learn) {
		t.Run(s.String(), func(t *testing.T) {
			pause := time.Duration(0)
			if s.kind == learn {
				pause = time.Second
			}
			crashInChange(t, pause, func(c *cluster) { c.at(s, 0, 1, c.crash) })
		})
	}
}

// TestAllCrashAtEachWrite guards against an answer that is sent before its state is
// durable. All members crash before each file operation that a change makes until
// it is answered: three members create, write and rename a file for the promise
// and for the value, and one member does so for the commit.
func TestAllCrashAtEachWrite(t *testing.T) {
	for step := range int64(3*3 + 3*3 + 3) {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			crashInChange(t, 0, func(c *cluster) {
				c.mu.Lock()
				defer c.mu.Unlock()
				var written atomic.Int64
				c.write = func() {
					if written.Add(1) == step+1 {
						c.crash()
					}
				}
			})
		})
	}
}

// crashInChange crashes all members during a change, at the point that arm sets up,
// and again after the change and a pause.
func crashInChange(t *testing.T, pause time.Duration, arm func(*cluster)) {
	inBubble(t, 3, func(t *testing.T, c *cluster) {
		is := is.New(t)
		first := c.submit(change("a", 0), 0)
		c.crash()
		is.Equal(c.submit(change("a", 0), 1), first)
		arm(c)
		out := c.submit(change("b", 1), 0, 2)
		time.Sleep(pause)
		c.crash()
		is.Equal(out.Version, uint64(2))
		is.Equal(c.submit(change("b", 1), 1), out)
		c.checkVersion(2, 2)
		is.Equal(len(c.all), 4*3) // the first start and three restarts
		for i := range c.peers {
			report, err := c.node(i).Query(register.Query{})
			is.NoErr(err)
			is.True(report.Voting && report.Generation.IsZero()) // a crash alone needs no repair
		}
	})
}

// TestTwoOfFiveDisksLostAtOnce checks that a group of five repairs two members that
// lost their disks at the same time.
func TestTwoOfFiveDisksLostAtOnce(t *testing.T) {
	inBubble(t, 5, func(_ *testing.T, c *cluster) {
		c.submit(change("a", 0), 0)
		for _, pair := range [][2]int{{0, 1}, {2, 3}, {4, 0}} {
			c.loseDisk(pair[0])
			c.loseDisk(pair[1])
			c.eventually("repair", func() bool { return c.votes(pair[0]) && c.votes(pair[1]) })
		}
		c.checkVersion(1, 1)
	})
}

// TestMemberWithoutQuorumForItsRepairDoesNotVote loses two of three disks. The
// value of the third member may be stale, so no change may be decided and no read
// may succeed.
func TestMemberWithoutQuorumForItsRepairDoesNotVote(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.submit(change("a", 0), 0)
		c.loseDisk(0)
		c.loseDisk(1)
		time.Sleep(time.Minute)
		is.True(!c.votes(0) && !c.votes(1))
		_, err := c.node(0).Submit(context.Background(), change("b", 0))
		is.True(errors.Is(err, port.ErrNoQuorum))
		_, err = c.node(2).Current(context.Background())
		is.True(errors.Is(err, port.ErrNoQuorum))
	})
}

// TestOldImageOfTheDisk restores a disk image from before a repair, which lacks
// later promises. The other members know of the repair, and the member must be
// repaired again before its vote counts.
func TestOldImageOfTheDisk(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.submit(change("a", 0), 0)
		time.Sleep(time.Second)
		image := copyDir(t, c.kill(2))
		c.start(2, t.TempDir())
		c.eventually("repair", func() bool { return c.votes(2) })
		before, _ := c.node(2).Query(register.Query{})
		c.submit(change("b", 1), 0)
		c.kill(2)
		c.start(2, image)
		served := uint64(0)
		c.eventually("second repair", func() bool {
			f, err := c.node(2).Fetch(0, nil)
			is.NoErr(err)
			is.True(served <= f.Config.Version) // the served version never decreases
			served = f.Config.Version
			now, err := c.node(2).Query(register.Query{})
			return err == nil && now.Voting && before.Generation.Less(now.Generation)
		})
		is.Equal(c.submit(change("a", 0), 2).Version, uint64(1))
		c.checkVersion(2, 2)
	})
}

// TestIsolatedMember guards against a false outcome from an isolated member. The
// member is cut off at each step of its change, the others accept further changes,
// and the member is connected again.
func TestIsolatedMember(t *testing.T) {
	for _, s := range append(steps(prepare, accept, learn), step{query, false}) {
		t.Run(s.String(), func(t *testing.T) {
			inBubble(t, 3, func(t *testing.T, c *cluster) {
				is := is.New(t)
				c.submit(change("a", 0), 0)
				c.at(s, 0, -1, func() { c.set(c.cut, 0, true) })
				out, err := c.node(0).Submit(context.Background(), change("b", 1))
				c.set(c.cut, 0, true)
				time.Sleep(2 * time.Second)
				accepted := err == nil && out.State == port.ChangeAccepted
				is.True(accepted || errors.Is(err, port.ErrNoQuorum) || out.State == port.ChangeUnknown) // never refused
				if s.kind == prepare || s.kind == accept && !s.answer {
					is.True(!accepted) // no quorum can have accepted it
				}
				_, err = c.node(0).Current(context.Background())
				is.True(errors.Is(err, port.ErrNoQuorum))
				fetched, err := c.node(0).Fetch(0, nil)
				is.NoErr(err)
				is.True(!fetched.Quorum)
				is.Equal(fetched.Config.Version, map[bool]uint64{true: 2, false: 1}[accepted]) // serves the newest version it learned
				late, err := c.node(0).Submit(context.Background(), change("late", 1))
				is.True(errors.Is(err, port.ErrNoQuorum) || late.State == port.ChangeUnknown)

				first := c.submit(change("b", 1), 1)
				is.Equal(first.State, port.ChangeAccepted)
				is.Equal(first.Version, uint64(2))
				for v := range uint64(3) {
					is.Equal(c.submit(change(fmt.Sprint("c", v), v+2), 2).State, port.ChangeAccepted)
				}
				c.onEvent(func(event) {})
				c.set(c.cut, 0, false)
				c.eventually("catch up", func() bool {
					f, err := c.node(0).Fetch(0, nil)
					return err == nil && f.Quorum && f.Config.Version == 5
				})
				is.Equal(c.submit(change("b", 1), 0), first)
				is.Equal(c.submit(change("late", 1), 0).State, port.ChangeConflict)
				c.checkVersion(5, 6)
			})
		})
	}
}

// TestFrozenMember guards against late messages of a paused proposer that undo
// later changes. The proposer is frozen at each step, the others accept further
// changes, and the proposer is thawed.
func TestFrozenMember(t *testing.T) {
	for _, s := range steps(prepare, accept, learn) {
		for _, to := range []int{1, 2} {
			t.Run(fmt.Sprintf("%v, member %d", s, to), func(t *testing.T) {
				inBubble(t, 3, func(t *testing.T, c *cluster) {
					is := is.New(t)
					c.submit(change("a", 0), 0)
					c.at(s, 0, to, func() { c.set(c.frozen, 0, true) })
					done := make(chan port.Outcome, 1)
					go func() {
						out, _ := c.node(0).Submit(context.Background(), change("b", 1))
						done <- out
					}()
					time.Sleep(100 * time.Millisecond)
					c.set(c.frozen, 0, true)
					won := c.submit(change("x", 1), 1)
					is.True(won.Version == 2) // its own change, or that of the frozen member if it was already accepted
					version := uint64(2)
					for range 3 {
						is.Equal(c.submit(change(fmt.Sprint("y", version), version), 2).State, port.ChangeAccepted)
						version++
					}
					time.Sleep(30 * time.Second)
					c.set(c.frozen, 0, false)
					out := <-done
					time.Sleep(2 * time.Second)
					final := c.submit(change("b", 1), 1)
					is.True(final.State != won.State) // exactly one of the two won version 2
					if out.State != port.ChangeUnknown && out.State != "" {
						is.Equal(out, final)
					}
					c.checkVersion(version, 6)
				})
			})
		}
	}
}

// TestRaceOfTwoOperators submits two changes of the same base version at once: one
// must be accepted, and the other must conflict with it.
func TestRaceOfTwoOperators(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, c *cluster) {
		is := is.New(t)
		for v := range uint64(20) {
			outs := make([]port.Outcome, 2)
			var both sync.WaitGroup
			for i, through := range []int{0, 2} {
				both.Go(func() { outs[i] = c.submit(change(fmt.Sprint(v, "-", i), v), through) })
			}
			both.Wait()
			winner, loser := outs[0], outs[1]
			if loser.State == port.ChangeAccepted {
				winner, loser = loser, winner
			}
			is.Equal(winner.State, port.ChangeAccepted)
			is.Equal(loser.State, port.ChangeConflict)
			is.Equal(loser.Version, winner.Version)
			is.Equal(loser.Digest, winner.Digest)
			is.Equal(loser.Operator, winner.Operator)
		}
		c.checkVersion(20, 40)
	})
}

// TestRaceOverSlowLinks guards against proposers that reject each other's ballots
// until a timeout. Three operators submit at once through members that are 55 ms
// apart, and each must get an outcome without a resend.
func TestRaceOverSlowLinks(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.mu.Lock()
		c.latency = 55 * time.Millisecond
		c.mu.Unlock()
		worst := time.Duration(0)
		for v := range uint64(20) {
			outs := make([]port.Outcome, 3)
			began := time.Now()
			var all sync.WaitGroup
			for i := range outs {
				all.Go(func() { outs[i], _ = c.node(i).Submit(context.Background(), change(fmt.Sprint(v, "-", i), v)) })
			}
			all.Wait()
			worst = max(worst, time.Since(began))
			count := make(map[port.ChangeState]int)
			for _, out := range outs {
				count[out.State]++
			}
			is.Equal(count, map[port.ChangeState]int{port.ChangeAccepted: 1, port.ChangeConflict: 2})
		}
		t.Logf("slowest race: %v", worst)
	})
}

// TestInvalidChangeIsAuditedAndResentAlike checks that an invalid change is recorded
// once, and that a resend through another member gets the same outcome.
func TestInvalidChangeIsAuditedAndResentAlike(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, c *cluster) {
		is := is.New(t)
		faulty := port.Change{ID: "f", Operator: "ana", Document: []byte("invalid")}
		out := c.submit(faulty, 0)
		is.Equal(out.State, port.ChangeInvalid)
		is.Equal(c.submit(faulty, 2), out)
		c.checkVersion(0, 1)
	})
}

// TestRestartAfter500Changes restarts a member that missed 500 changes. It must
// catch up with at most one value from each of the two others, and after a restart
// of all members a resend must get its first outcome.
func TestRestartAfter500Changes(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, c *cluster) {
		is := is.New(t)
		var last port.Outcome
		dir := c.kill(2)
		for v := range uint64(500) {
			last = c.submit(change(fmt.Sprint("c", v), v), 0)
		}
		var mu sync.Mutex
		messages, values := 0, 0
		c.onEvent(func(e event) {
			mu.Lock()
			defer mu.Unlock()
			if e.from == 2 {
				messages++
			}
			if e.value && (e.from == 2 && e.answer || e.to == 2 && !e.answer) {
				values++
			}
		})
		c.start(2, dir)
		began := time.Now()
		c.eventually("catch up", func() bool {
			f, err := c.node(2).Fetch(0, nil)
			return err == nil && f.Config.Version == 500
		})
		mu.Lock()
		is.True(values <= 2)
		t.Logf("caught up after %v with %d messages, %d values", time.Since(began), messages, values)
		mu.Unlock()
		c.crash()
		is.Equal(c.submit(change("c499", 499), 2), last)
		c.checkVersion(500, 500)
	})
}

// TestFirstStartWaitsForAllMembers guards against a group that is founded without
// some of its members: no member may vote before all were probed as empty. Members
// that restart meanwhile must still become founders.
func TestFirstStartWaitsForAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		defer c.end()
		dirs := []string{t.TempDir(), t.TempDir()}
		c.start(0, dirs[0])
		c.start(1, dirs[1])
		time.Sleep(10 * time.Second)
		is.True(!c.votes(0) && !c.votes(1))
		c.onEvent(func(e event) {
			if e.kind == probe && e.answer && e.from != 2 {
				time.Sleep(3 * time.Second) // only member 2 receives the replies of all empty members in time
			}
		})
		c.start(2, t.TempDir())
		time.Sleep(time.Second)
		is.True(!c.votes(0) && !c.votes(1) && c.votes(2))
		c.onEvent(func(event) {})
		c.start(0, c.kill(0)) // a restart keeps the nonce that member 2 has seen
		c.start(1, c.kill(1))
		time.Sleep(time.Second)
		is.True(c.votes(0) && c.votes(1) && c.votes(2))
	})
}

// failingFS fails every sync of a folder once armed.
type failingFS struct {
	unsyncedFS
	armed *atomic.Bool
}

func (f failingFS) SyncFolder(string) error {
	if f.armed.Load() {
		return errors.New("device error")
	}
	return nil
}

// TestFailedDiskStopsTheMember guards against answers from a member whose state
// could not be saved: its Run must return the disk's error, and so must later
// messages of the register and fetches.
func TestFailedDiskStopsTheMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		defer c.end()
		armed := new(atomic.Bool)
		c.files[1] = failingFS{armed: armed}
		for i := range 3 {
			c.start(i, t.TempDir())
		}
		c.submit(change("a", 0), 0)
		time.Sleep(time.Second)
		armed.Store(true)
		is.Equal(c.submit(change("b", 1), 0).State, port.ChangeAccepted) // the others decide
		r := c.members[1]
		err := <-r.done
		r.done <- err
		is.True(errors.Is(err, disk.ErrFailed))
		_, err = r.node.Accept(register.Accept{Ballot: register.Ballot{Round: 1 << 40}})
		is.True(errors.Is(err, disk.ErrFailed))
		_, err = r.node.Query(register.Query{})
		is.True(errors.Is(err, disk.ErrFailed))
		_, err = r.node.Fetch(0, nil)
		is.True(errors.Is(err, disk.ErrFailed))
	})
}
