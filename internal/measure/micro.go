package measure

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"strconv"
	"time"

	"sassafrasreach/internal/core/admission"
	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/core/steering"
)

// FullBlocks is the number of client blocks of a system of full size.
const FullBlocks = 3_200_000

const (
	// fullPlaces is the number of places of a system of full size.
	fullPlaces = 75
	// probes is the maximum number of addresses that a measurement looks up.
	probes = 1 << 20
	// megabyte is the number of bytes in a megabyte.
	megabyte = 1e6
)

// LookupCost is the cost of look-ups in a table of client blocks.
type LookupCost struct {
	// Kind describes the blocks and their distribution in the address space.
	Kind string
	// Blocks is the number of blocks.
	Blocks int
	// BytesPerBlock is the live heap of the table per block.
	BytesPerBlock float64
	// Megabytes is the live heap of the table.
	Megabytes float64
	// Build is the time to build the table from blocks given as text.
	Build time.Duration
	// PerSecond is the number of look-ups per second on one core.
	PerSecond float64
}

// Lookups measures look-ups in tables of count blocks, one table for each kind of
// block.
func Lookups(count int) []LookupCost {
	kinds := []struct {
		name string
		next func(r *rand.Rand, i int) netip.Prefix
	}{
		{"IPv4, adjacent /24", adjacentBlock},
		{"IPv4, /18 to /28 at random", randomBlock4},
		{"IPv6, /40 to /56 at random", randomBlock6},
	}
	var costs []LookupCost
	for _, kind := range kinds {
		cost := measureLookups(count, kind.next)
		cost.Kind = kind.name
		costs = append(costs, cost)
	}
	return costs
}

func measureLookups(count int, next func(*rand.Rand, int) netip.Prefix) LookupCost {
	r := rand.New(rand.NewPCG(1, 2))
	doc := &document.Document{Regions: []document.Region{{Name: "r"}}}
	for i := range fullPlaces {
		doc.Places = append(doc.Places, document.Place{Name: "place-" + strconv.Itoa(i), Region: "r"})
	}
	clients := make([]netip.Addr, 0, probes)
	for i := range count {
		block := next(r, i)
		place := &doc.Places[i%fullPlaces]
		place.Clients = append(place.Clients, block.String())
		if len(clients) < probes {
			clients = append(clients, block.Addr())
		}
	}
	r.Shuffle(len(clients), func(i, j int) { clients[i], clients[j] = clients[j], clients[i] })
	before := liveHeap()
	begun := time.Now()
	table, err := steering.NewTable(doc)
	if err != nil {
		panic(err) // the blocks are built here
	}
	build := time.Since(begun)
	size := float64(liveHeap() - before)
	runtime.KeepAlive(doc)
	return LookupCost{
		Blocks:        count,
		BytesPerBlock: size / float64(count),
		Megabytes:     size / megabyte,
		Build:         build,
		PerSecond:     lookupRate(table, clients),
	}
}

func lookupRate(table *steering.Table, clients []netip.Addr) float64 {
	begun := time.Now()
	for _, client := range clients {
		if _, ok := table.PlaceOf(client); !ok {
			panic(fmt.Sprintf("no place for %v", client))
		}
	}
	return float64(len(clients)) / time.Since(begun).Seconds()
}

func adjacentBlock(_ *rand.Rand, i int) netip.Prefix {
	addr := uint32(16<<24 + i<<8)
	return netip.PrefixFrom(addr4(addr), 24)
}

func randomBlock4(r *rand.Rand, _ int) netip.Prefix {
	return netip.PrefixFrom(addr4(r.Uint32()), 18+r.IntN(11)).Masked()
}

func randomBlock6(r *rand.Rand, _ int) netip.Prefix {
	a := [16]byte{0x20, 0x01, byte(r.IntN(16))}
	for i := 3; i < 7; i++ {
		a[i] = byte(r.IntN(256))
	}
	return netip.PrefixFrom(netip.AddrFrom16(a), 40+8*r.IntN(3)).Masked()
}

func addr4(a uint32) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(a >> 24), byte(a >> 16), byte(a >> 8), byte(a)})
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// DecisionCost is the processor time of decisions.
type DecisionCost struct {
	// Rank is the time to rank the places of a service.
	Rank time.Duration
	// Answer is the time that admission takes for a request that is granted and
	// completes.
	Answer time.Duration
	// Refusal is the time that admission takes for a request that is refused.
	Refusal time.Duration
}

// Decisions measures decisions at the larger of the current sizes: six places,
// and groups of four endpoints with seven slots each.
func Decisions() DecisionCost {
	return DecisionCost{Rank: rankCost(), Answer: answerCost(), Refusal: refusalCost()}
}

const rounds = 200_000

func rankCost() time.Duration {
	op := Hanbit()
	w := newWorld(op, 1, newSteered)
	w.run(time.Second)
	s := w.policy.(*steered)
	begun := time.Now()
	for range rounds {
		s.table.Rank("roster-desk", "guro-a", view{s, 0})
	}
	return time.Since(begun) / rounds
}

func fullGroup(now time.Time) *admission.Group {
	g := admission.NewGroup(admission.Config{ReservePercent: Hanbit().reserve})
	for i := range 4 {
		g.Announce(now, admission.Announcement{
			ID: strconv.Itoa(i), Incarnation: 1, Sequence: 1, Slots: 7, State: admission.Ready,
		})
	}
	g.Tick(now)
	g.Tick(now.Add(tickPeriod))
	return g
}

func answerCost() time.Duration {
	now := epoch
	g := fullGroup(now)
	begun := time.Now()
	for i := range uint64(rounds) {
		g.Offer(now, admission.Ticket{ID: i, Local: true, Deadline: now.Add(time.Second)})
		g.Done(now, i, admission.Result{Latency: 60 * time.Millisecond})
	}
	return time.Since(begun) / rounds
}

// refusalCost fills the group and its queue before it measures.
func refusalCost() time.Duration {
	now := epoch
	g := fullGroup(now)
	for i := range uint64(100) {
		g.Offer(now, admission.Ticket{ID: i, Local: true, Deadline: now.Add(time.Second)})
		g.Done(now, i, admission.Result{Latency: 60 * time.Millisecond})
	}
	id := uint64(1000)
	for {
		id++
		d := g.Offer(now, admission.Ticket{ID: id, Local: true, Deadline: now.Add(time.Second)})
		if d.Kind == admission.Refused {
			break
		}
	}
	begun := time.Now()
	for i := range uint64(rounds) {
		g.Offer(now, admission.Ticket{ID: id + i, Local: true, Deadline: now.Add(time.Second)})
	}
	return time.Since(begun) / rounds
}
