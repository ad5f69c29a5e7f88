package pipeline_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sassafrasreach/internal/core/pipeline"
	"sassafrasreach/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, testseed.Settings{Seed: 931, Checks: 300}) }

// request is a request of a simulated client.
type request struct {
	pipeline.Progress
	number int
	// sent and ends are times from the start; ends is 0 until it was started.
	sent, ends time.Duration
	run        time.Duration
	// started means that it was run, refused that it is answered without.
	started, refused bool
}

func (r *request) begun() bool { return r.started || r.refused }

// TestQueue does random steps. It guards against responses out of order, a request that
// isn't concurrent running beside others or behind a closing response, a started request
// that is neither answered nor canceled, and reading ahead beyond the bounds or in a
// planned stop.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		var q pipeline.Queue[*request]
		var running []*request
		first := &request{Progress: pipeline.Progress{Concurrent: rapid.Bool().Draw(rt, "first")}}
		q.AddRunning(first)
		running = append(running, first)
		unanswered := []*request{first}
		serial, written, stopping, closed := 0, 0, false, false
		var writing *request
		start := func() {
			for _, r := range q.Start(stopping) {
				is.True(!closed)
				for _, other := range running {
					is.True(r.Concurrent && other.Concurrent)
				}
				is.True(r.Concurrent || r.number == written)
				is.True(!stopping || r.number == written)
				running, r.started = append(running, r), true
			}
		}
		steps := map[string]func(*rapid.T){
			"read": func(rt *rapid.T) {
				if !q.MayRead(stopping) {
					return
				}
				is.True(q.Len() < pipeline.MaxUnanswered)
				is.True(!stopping || q.Len() == 0)
				serial++
				kind := rapid.IntRange(0, 5).Draw(rt, "kind")
				r := &request{number: serial, refused: kind == 5, Progress: pipeline.Progress{Concurrent: kind > 0, HeadBytes: 1 << kind}}
				if kind == 5 {
					is.True(q.AddAnswered(r))
				} else {
					is.True(q.Add(r))
				}
				unanswered = append(unanswered, r)
				start()
			},
			"answer": func(rt *rapid.T) {
				if len(running) == 0 {
					return
				}
				i := rapid.IntRange(0, len(running)-1).Draw(rt, "which")
				is.Equal(q.Answer(running[i], rapid.SampledFrom([]int64{0, 1000, pipeline.MaxWaitingBytes}).Draw(rt, "bytes")), !q.Ended())
				running = slices.Delete(running, i, i+1)
			},
			"begin": func(rt *rapid.T) {
				r, ok := q.BeginWrite()
				if !ok {
					is.True(writing != nil || len(unanswered) == 0 || !unanswered[0].Answered())
					return
				}
				is.True(writing == nil && r.number == written)
				writing = r
				asked := rapid.IntRange(0, 4).Draw(rt, "closes") == 3
				last, canceled := q.BeginResponse(stopping, asked)
				closed = closed || last
				is.Equal(last, asked || stopping && (len(unanswered) == 1 || !unanswered[1].begun()))
				is.True(!last || len(canceled) == q.Len()-1)
			},
			"end write": func(*rapid.T) {
				if writing == nil {
					return
				}
				writing = nil
				if closed {
					canceled, ok := q.End()
					is.True(ok && len(canceled) == len(unanswered)-1)
				}
				if q.EndWrite() {
					unanswered = unanswered[1:]
					written++
					start()
				}
			},
			"stop": func(rt *rapid.T) { stopping = stopping || rapid.IntRange(0, 29).Draw(rt, "stop") == 17 },
		}
		for range 200 {
			if q.Ended() {
				break
			}
			steps[rapid.SampledFrom([]string{"read", "read", "answer", "begin", "end write", "stop"}).Draw(rt, "step")](rt)
		}
	})
}

// TestLoad compares reading ahead with serving one request after the other. Its load: 50
// connections, each with 40 safe requests that a client sends 0 to 400 ms apart, every
// twentieth once-only, of which four in five run 0.2 s and one in five 0.7 to 1.7 s. A
// client gives up what isn't read within a second.
func TestLoad(t *testing.T) {
	is := is.New(t)
	ahead, late := 0, 0
	for seed := range uint64(50) {
		ahead += unread(seed, true)
		late += unread(seed, false)
	}
	t.Logf("of 2000 requests, %d aren't read within a second with reading ahead, %d without", ahead, late)
	is.True(ahead < 20)
	is.True(late > 1000)
}

// unread runs the load of one connection and returns the number of requests that weren't
// read within a second.
func unread(seed uint64, readAhead bool) (late int) {
	random := rand.New(rand.NewPCG(seed, 1))
	var requests []*request
	sent := time.Duration(0)
	for i := range 40 {
		r := &request{number: i, sent: sent, run: 200 * time.Millisecond, Progress: pipeline.Progress{Concurrent: i%20 != 19}}
		if random.IntN(5) == 0 {
			r.run = 700*time.Millisecond + time.Duration(random.IntN(1000))*time.Millisecond
		}
		requests, sent = append(requests, r), sent+time.Duration(random.IntN(400))*time.Millisecond
	}
	var q pipeline.Queue[*request]
	unread := requests
	for now := time.Duration(0); len(unread) > 0 || q.Len() > 0; now += time.Millisecond {
		for len(unread) > 0 && unread[0].sent <= now && q.MayRead(!readAhead) {
			r := unread[0]
			if unread = unread[1:]; now-r.sent > time.Second {
				late++
			}
			if !q.Add(r) {
				panic(fmt.Sprint("request ", r.number, " was refused"))
			}
		}
		for _, r := range q.Start(false) {
			r.ends = now + r.run
		}
		for _, r := range requests {
			if r.ends > 0 && r.ends == now {
				q.Answer(r, 0)
			}
		}
		for {
			if _, ok := q.BeginWrite(); !ok {
				break
			}
			q.EndWrite()
		}
	}
	return late
}
