package document_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/document"
)

// filled returns a document with an element in each list and no field that is zero.
func filled() *document.Document {
	return &document.Document{
		Regions: []document.Region{{Name: "north", ReservePercent: 20}},
		Places: []document.Place{{
			Name: "n1", Region: "north", Clients: []string{"192.0.2.0/25", "192.0.2.128/25"},
			Entries: []document.Entry{{Name: "e1", Caller: "192.0.2.1:80", Peer: "192.0.2.1:7100"}},
		}},
		Links: []document.Link{{From: "north", To: "south", MbitPerS: 1000, FillPercent: 60}},
		Services: []document.Service{{
			Name: "belt-control", IdempotentMethods: []string{"GET", "PUT"}, Deadline: document.Duration(800 * time.Millisecond),
			MaxBodyBytes: 1024, MaxAnswerBytes: 2048, Places: []string{"n1", "s1"}, Workers: 4, Slots: 8,
			Connections: 16, RequestBytes: 512, AnswerBytes: 256,
		}},
		Rules: []document.Rule{{
			Name: "spill", Service: "belt-control", From: "n1", To: "south", RequestsPerS: 50,
			Ramp: document.Duration(2 * time.Second), Shares: []document.Share{{Entry: "e2", Percent: 100}},
		}},
		Drains:    []document.Drain{{Place: "n1", Service: "belt-control", Reason: "power work"}},
		Operators: []document.Operator{{Name: "ana", TokenSHA256: "00ff"}},
	}
}

// TestDiffUsesOuterNames guards the names and the JSON that operators see for each
// list: renaming a Go field must not change them.
func TestDiffUsesOuterNames(t *testing.T) {
	is := is.New(t)
	want := []document.Difference{
		{Path: "regions[north]", After: `{"name":"north","reserve_percent":20}`},
		{Path: "places[n1]", After: `{"name":"n1","region":"north","clients":["192.0.2.0/25","192.0.2.128/25"],"entries":[{"name":"e1","caller":"192.0.2.1:80","peer":"192.0.2.1:7100"}]}`},
		{Path: "links[north to south]", After: `{"from":"north","to":"south","mbit_per_s":1000,"fill_percent":60}`},
		{Path: "services[belt-control]", After: `{"name":"belt-control","idempotent_methods":["GET","PUT"],"deadline":"800ms","max_body_bytes":1024,"max_answer_bytes":2048,"places":["n1","s1"],"workers":4,"slots":8,"connections":16,"request_bytes":512,"answer_bytes":256}`},
		{Path: "rules[spill]", After: `{"name":"spill","service":"belt-control","from":"n1","to":"south","requests_per_s":50,"ramp":"2s","shares":[{"entry":"e2","percent":100}]}`},
		{Path: "drains[n1 belt-control]", After: `{"place":"n1","service":"belt-control","reason":"power work"}`},
		{Path: "operators[ana]", After: `{"name":"ana","token_sha256":"00ff"}`},
	}
	is.Equal(document.Diff(nil, filled()), want)
	for i := range want {
		want[i].Before, want[i].After = want[i].After, ""
	}
	is.Equal(document.Diff(filled(), nil), want)

	inner := []document.Difference{
		{Path: "places[n1].entries[e1]", After: `{"name":"e1","caller":"192.0.2.1:80","peer":"192.0.2.1:7100"}`},
		{Path: "rules[spill].shares[e2]", After: `{"entry":"e2","percent":100}`},
	}
	old := filled()
	old.Places[0].Entries, old.Rules[0].Shares = nil, nil
	is.Equal(document.Diff(old, filled()), inner)
}

// TestDiffNamesEachField guards against a difference that Diff misses: it changes
// every field of every element except those that identify it.
func TestDiffNamesEachField(t *testing.T) {
	is := is.New(t)
	old := filled()
	old.Regions[0].ReservePercent++
	old.Places[0].Region, old.Places[0].Clients = "x", nil
	e := &old.Places[0].Entries[0]
	e.Caller, e.Peer = "x", "x"
	old.Links[0].MbitPerS++
	old.Links[0].FillPercent++
	s := &old.Services[0]
	*s = document.Service{Name: s.Name}
	r := &old.Rules[0]
	*r = document.Rule{Name: r.Name, Shares: []document.Share{{Entry: "e2", Percent: 1}}}
	old.Drains[0].Reason = "x"
	old.Operators[0].TokenSHA256 = "x"
	var paths []string
	for _, d := range document.Diff(old, filled()) {
		paths = append(paths, d.Path)
	}
	is.Equal(strings.Join(paths, "\n"), strings.Join([]string{
		"regions[north].reserve_percent",
		"places[n1].region",
		"places[n1].clients",
		"places[n1].entries[e1].caller",
		"places[n1].entries[e1].peer",
		"links[north to south].mbit_per_s",
		"links[north to south].fill_percent",
		"services[belt-control].idempotent_methods",
		"services[belt-control].deadline",
		"services[belt-control].max_body_bytes",
		"services[belt-control].max_answer_bytes",
		"services[belt-control].places",
		"services[belt-control].workers",
		"services[belt-control].slots",
		"services[belt-control].connections",
		"services[belt-control].request_bytes",
		"services[belt-control].answer_bytes",
		"rules[spill].service",
		"rules[spill].from",
		"rules[spill].to",
		"rules[spill].requests_per_s",
		"rules[spill].ramp",
		"rules[spill].shares[e2].percent",
		"drains[n1 belt-control].reason",
		"operators[ana].token_sha256",
	}, "\n"))
}
