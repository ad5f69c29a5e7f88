package membership_test

import (
	"fmt"
	"time"

	"sassafrasreach/internal/core/membership"
)

const period = 500 * time.Millisecond

// network delivers heartbeats between tables in simulated time.
type network struct {
	now    time.Time
	tables map[string]*membership.Table
	order  []string
	peers  []membership.Peer
	cfg    membership.Config
	// frozen tables neither tick nor reply; cut says whether a message is lost.
	frozen map[string]bool
	cut    func(from, to string) bool
	// afterStep is called after each step, onHeartbeat with every heartbeat
	// sent.
	afterStep   func()
	onHeartbeat func(membership.Heartbeat)
}

func newNetwork(cfg membership.Config, places map[string][]string, perPlace int) *network {
	n := &network{
		now:    time.Unix(1_800_000_000, 0),
		tables: make(map[string]*membership.Table),
		cfg:    cfg,
		frozen: make(map[string]bool),
		cut:    func(string, string) bool { return false },
	}
	for region, list := range places {
		for _, place := range list {
			for k := range perPlace {
				name := fmt.Sprintf("%s-e%02d", place, k)
				n.peers = append(n.peers, membership.Peer{Name: name, Place: place, Region: region, Address: name})
			}
		}
	}
	for _, p := range membership.NewDirectory(n.peers, 1).Names() {
		n.order = append(n.order, p)
		n.start(p, 1)
	}
	return n
}

func (n *network) start(name string, incarnation uint64) {
	for _, p := range n.peers {
		if p.Name != name {
			continue
		}
		t := membership.NewTable(membership.Member{Name: name, Place: p.Place, Incarnation: incarnation}, n.cfg)
		t.SetPeers(n.now, n.peers)
		n.tables[name] = t
	}
}

func (n *network) up(name string) bool { return n.tables[name] != nil && !n.frozen[name] }

// run advances time; entry k ticks k-th in each period.
func (n *network) run(d time.Duration) {
	step := period / time.Duration(len(n.order))
	for range int(d / period) {
		begin := n.now
		for k, name := range n.order {
			n.now = begin.Add(time.Duration(k) * step)
			if n.up(name) {
				n.tick(name)
			}
			if n.afterStep != nil {
				n.afterStep()
			}
		}
		n.now = begin.Add(period)
	}
}

func (n *network) tick(name string) {
	var own []membership.GroupRow
	if n.tables[name].OwnsSelf(n.now, service, homePlace) {
		own = []membership.GroupRow{{Service: service, Place: homePlace, Endpoints: 4}}
	}
	n.tables[name].SetGroups(n.now, own)
	for _, target := range n.tables[name].Tick(n.now) {
		if n.onHeartbeat != nil {
			n.onHeartbeat(target.Heartbeat)
		}
		to := target.Peer.Name
		if !n.up(to) || n.cut(name, to) {
			continue
		}
		reply := n.tables[to].Receive(n.now, target.Heartbeat)
		if !n.cut(to, name) {
			n.tables[name].Receive(n.now, reply)
		}
	}
}

// owners returns the entries that act as the owner of a group now.
func (n *network) owners(service, place string) []string {
	var owners []string
	for _, name := range n.order {
		if n.up(name) && n.tables[name].OwnsSelf(n.now, service, place) {
			owners = append(owners, name)
		}
	}
	return owners
}
