package document_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/core/strictyaml"
)

// read returns the text of an example.
func read(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile(examples + "/" + file)
	is.New(t).NoErr(err)
	return string(text)
}

// TestFaults changes one part of an example and expects exactly the listed faults:
// each is the path and, after a space, a part of the message. It guards against
// faults that are missed, reported at another field or reported in addition.
func TestFaults(t *testing.T) {
	hash := document.Digest([]byte("demo-token"))
	const shareA = "rules[0].shares[0]"
	cases := []struct {
		name     string
		old, new string
		want     []string
	}{
		{"region's name", "- name: norte\n", "- name: Norte\n", []string{"regions[0].name isn't a name", "places[0].region no region", "places[1].region no region"}},
		{"reserve", "reserve_percent: 10", "reserve_percent: 101", []string{"regions[0].reserve_percent 101 isn't between 0 and 100"}},
		{"unknown region", "region: norte\n    clients: [127.0.20.0/24]", "region: sul\n    clients: [127.0.20.0/24]", []string{"places[0].region no region is named"}},
		{"place with the name of a region", "- name: norte-b\n", "- name: norte\n", []string{
			"places[1].name also the name of a region", "services[0].places[1] no place", "services[1].places[1] no place",
			"rules[0].to no place or region", "rules[1].from no place or region"}},
		{"place twice", "- name: norte-b\n", "- name: norte-a\n", []string{
			"places[1].name is a duplicate of places[0].name", "services[0].places[1] no place", "services[1].places[1] no place",
			"rules[0].to no place or region", "rules[1].from no place or region"}},
		{"entry twice", "name: norte-b-2", "name: norte-a-1", []string{"places[1].entries[1].name is a duplicate of places[0].entries[0].name"}},
		{"address twice", `"127.0.11.2:18080"`, `"127.0.10.1:19080"`, []string{"places[1].entries[1].caller is a duplicate of places[0].entries[0].peer"}},
		{"host name", `"127.0.11.2:18080"`, `"localhost:18080"`, []string{"places[1].entries[1].caller isn't IP:port"}},
		{"no port", `"127.0.11.2:18080"`, `"127.0.11.2"`, []string{"places[1].entries[1].caller isn't IP:port"}},
		{"port 0", `"127.0.11.2:18080"`, `"127.0.11.2:0"`, []string{"places[1].entries[1].caller has port 0"}},
		{"any address", `"127.0.11.2:18080"`, `"0.0.0.0:18080"`, []string{"places[1].entries[1].caller isn't the address of one VM"}},
		{"no entries", "    entries:\n      - {name: norte-b-1, caller: \"127.0.11.1:18080\", peer: \"127.0.11.1:19080\"}\n      - {name: norte-b-2, caller: \"127.0.11.2:18080\", peer: \"127.0.11.2:19080\"}\n", "    entries: []\n",
			[]string{`places[1].entries service "belt-control" has this place`}},
		{"malformed block", "[127.0.21.0/24]", "[127.0.21.0]", []string{"places[1].clients[0] isn't a client block"}},
		{"block with host bits", "[127.0.21.0/24]", "[127.0.21.7/24]", []string{"places[1].clients[0] 127.0.21.0/24 is the block"}},
		{"equal blocks", "[127.0.21.0/24]", "[127.0.20.0/24]", []string{"places[1].clients[0] overlaps 127.0.20.0/24"}},
		{"larger block", "[127.0.21.0/24]", "[127.0.0.0/16]", []string{"places[0].clients[0] overlaps 127.0.0.0/16 of place \"norte-b\""}},
		{"smaller block below an own one", "[127.0.21.0/24]", "[127.0.20.8/30, 127.0.20.0/29, 127.0.20.8/29]", []string{
			"places[1].clients[1] overlaps", "places[1].clients[2] overlaps", "places[1].clients[0] overlaps"}},
		{"own block twice", "[127.0.21.0/24]", "[127.0.21.0/24, 127.0.21.0/24]", []string{"places[1].clients[1] is a duplicate of"}},
		{"own blocks nested", "[127.0.21.0/24]", "[127.0.21.0/24, 127.0.21.0/25]", nil},
		{"blocks of two families", "[127.0.21.0/24]", "[\"::/0\", 127.0.21.0/24]", nil},
		{"method", "[GET, HEAD]", "[GET, LIST]", []string{"services[0].idempotent_methods[1] isn't one of"}},
		{"method twice", "[GET, HEAD]", "[GET, GET]", []string{"services[0].idempotent_methods[1] is a duplicate of"}},
		{"unknown place", "places: [norte-a, norte-b]", "places: [norte-a, norte-c]", []string{"services[0].places[1] no place is named"}},
		{"no place", "places: [norte-a, norte-b]", "places: []", []string{"services[0].places at least one"}},
		{"place listed twice", "places: [norte-a, norte-b]", "places: [norte-a, norte-a]", []string{"services[0].places[1] is a duplicate of"}},
		{"service twice", "name: lot-ledger", "name: belt-control", []string{"services[1].name is a duplicate of"}},
		{"deadline", "deadline: 2s", "deadline: 0s", []string{"services[0].deadline 0s isn't between 1ms and 10m0s"}},
		{"no workers", "workers: 4", "workers: 0", []string{"services[0].workers 0 isn't between 1 and 100000"}},
		{"no slots", "    slots: 3\n", "", []string{"services[0].slots 0 isn't between"}},
		{"few connections", "connections: 650", "connections: 2", []string{"services[0].connections 2 connections can't fill 3 slots"}},
		{"written zero isn't the default", "deadline: 2s", "deadline: 2s\n    max_body_bytes: 0", []string{"services[0].max_body_bytes 0 isn't between"}},
		{"large body", "deadline: 2s", "deadline: 2s\n    max_body_bytes: 67108865", []string{"services[0].max_body_bytes 67108865 isn't between"}},
		{"large answer", "deadline: 2s", "deadline: 2s\n    max_answer_bytes: 1073741825", []string{"services[0].max_answer_bytes"}},
		{"sizes", "deadline: 2s", "deadline: 2s\n    request_bytes: 0\n    answer_bytes: -1", []string{"services[0].request_bytes", "services[0].answer_bytes"}},
		{"rule's service", "{name: a-to-b,", "{name: a-to-b, service: juice,", []string{"rules[0].service no service is named"}},
		{"rule's end", "from: norte-a, to: norte-b", "from: norte-a, to: sul", []string{"rules[0].to no place or region"}},
		{"rule to itself", "from: norte-a, to: norte-b", "from: norte-a, to: norte-a", []string{`rules[0].to "norte-a" is also from; a rule must connect two different`}},
		{"rule twice", "from: norte-b, to: norte-a", "from: norte-a, to: norte-b", []string{"rules[1] is a duplicate of rules[0]"}},
		{"rule's name twice", "name: b-to-a", "name: a-to-b", []string{"rules[1].name is a duplicate of"}},
		{"cap", "requests_per_s: 200", "requests_per_s: 0", []string{"rules[0].requests_per_s 0 isn't between"}},
		{"ramp", "ramp: 1s", "ramp: 2h", []string{"rules[0].ramp 2h0m0s isn't between 0s and 1h0m0s"}},
		{"no ramp", "ramp: 1s", "ramp: 0s", nil},
		{"shares", "ramp: 1s", "ramp: 1s, shares: [{entry: norte-b-1, percent: 40}, {entry: norte-b-2, percent: 59}]", []string{"rules[0].shares add up to 99"}},
		{"good shares", "ramp: 1s", "ramp: 1s, shares: [{entry: norte-b-1, percent: 40}, {entry: norte-b-2, percent: 60}]", nil},
		{"share of an entry of another place", "ramp: 1s", "ramp: 1s, shares: [{entry: norte-a-1, percent: 100}]", []string{shareA + `.entry "norte-a-1" isn't an entry of "norte-b"`}},
		{"share of an unknown entry", "ramp: 1s", "ramp: 1s, shares: [{entry: norte-c-1, percent: 100}]", []string{shareA + ".entry no entry"}},
		{"share twice", "ramp: 1s", "ramp: 1s, shares: [{entry: norte-b-1, percent: 50}, {entry: norte-b-1, percent: 50}]", []string{"rules[0].shares[1].entry is a duplicate of"}},
		{"negative share", "ramp: 1s", "ramp: 1s, shares: [{entry: norte-b-1, percent: -1}, {entry: norte-b-2, percent: 101}]", []string{"rules[0].shares[0].percent", "rules[0].shares[1].percent"}},
		{"drain", "operators:", "drains: [{place: norte-a, reason: r}]\noperators:", nil},
		{"drain of no place", "operators:", "drains: [{place: sul, reason: r}]\noperators:", []string{"drains[0].place no place"}},
		{"drain of no service", "operators:", "drains: [{place: norte-a, service: juice, reason: r}]\noperators:", []string{"drains[0].service no service"}},
		{"drain of a service that isn't in the place", "places: [norte-a, norte-b]\n    workers: 4\n    slots: 3\n    connections: 650\n\nrules:", "places: [norte-a]\n    workers: 4\n    slots: 3\n    connections: 650\n\ndrains: [{place: norte-b, service: lot-ledger, reason: r}]\nrules:",
			[]string{`drains[0].service service "lot-ledger" isn't in place`}},
		{"drain without a reason", "operators:", "drains: [{place: norte-a}]\noperators:", []string{"drains[0].reason a reason of 1 to 200 bytes is needed, got 0 bytes"}},
		{"drain twice", "operators:", "drains: [{place: norte-a, reason: r}, {place: norte-a, reason: s}]\noperators:", []string{"drains[1] is a duplicate of"}},
		{"drain of all places", "operators:", "drains: [{place: norte-a, reason: r}, {place: norte-b, service: lot-ledger, reason: r}]\noperators:",
			[]string{`drains[1].place the drains leave service "lot-ledger" without`}},
		{"drains of other services", "operators:", "drains: [{place: norte-a, service: belt-control, reason: r}, {place: norte-b, service: lot-ledger, reason: r}]\noperators:", nil},
		{"token hash", hash, "demo-token", []string{"operators[0].token_sha256"}},
		{"token hash in capitals", hash, strings.ToUpper(hash), []string{"operators[0].token_sha256"}},
		{"hash of the empty token", hash, document.Digest(nil), []string{"operators[0].token_sha256"}},
		{"token twice", "operators:", "operators:\n  - {name: other, token_sha256: " + hash + "}", []string{"operators[1].token_sha256 is a duplicate of"}},
		{"all at once", "  - name: norte\n    reserve_percent: 10", "  - {name: norte, reserve_percent: 200}\nlinks: [{from: norte, to: sul, mbit_per_s: 0, fill_percent: 0}]", []string{
			"regions[0].reserve_percent", "links[0].to no region", "links[0].mbit_per_s 0 isn't", "links[0].fill_percent 0 isn't"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := read(t, "demo.yaml")
			altered := strings.Replace(text, c.old, c.new, 1)
			if altered == text {
				t.Fatal("the text to replace isn't in the example")
			}
			expectFaults(t, altered, c.want)
		})
	}
}

// expectFaults checks that a text has exactly the faults in want, written as in
// TestFaults.
func expectFaults(t *testing.T, text string, want []string) {
	t.Helper()
	is := is.New(t)
	doc, err := document.Parse([]byte(text))
	is.NoErr(err)
	faults := doc.Validate()
	if len(faults) != len(want) {
		t.Fatalf("got %d faults, want %d: %v", len(faults), len(want), faults)
	}
	for i, f := range faults {
		path, part, _ := strings.Cut(want[i], " ")
		is.Equal(f.Path, path)
		is.True(strings.Contains(f.Message, part)) // f.Message
	}
}

// TestLinkFaults changes the example with three regions and links between them. It
// guards against rules whose caps need more than a link has.
func TestLinkFaults(t *testing.T) {
	const cap150 = "from: sudogwon, to: yeongnam, requests_per_s: 150"
	cases := []struct {
		name     string
		old, new string
		want     []string
	}{
		{"answers above the link", cap150, "from: sudogwon, to: yeongnam, requests_per_s: 3663",
			[]string{"rules[6].requests_per_s 3663 requests/s of 8192 bytes need 240.1 Mbit/s, but steering may use 240.0 Mbit/s of the link from \"yeongnam\" to \"sudogwon\""}},
		{"answers just under the link", cap150, "from: sudogwon, to: yeongnam, requests_per_s: 3662", nil},
		{"requests above the link", "request_bytes: 1024", "request_bytes: 10000000", []string{
			"rules[6].requests_per_s", "rules[7].requests_per_s", "rules[8].requests_per_s", "rules[9].requests_per_s", "rules[10].requests_per_s", "rules[11].requests_per_s"}},
		{"largest service counts for a rule of every service", "service: roster-desk, " + cap150, "from: sudogwon, to: yeongnam, requests_per_s: 2000",
			[]string{"rules[6].requests_per_s 2000 requests/s of 16384 bytes need 262.1"}},
		{"largest answer counts for a rule of every service", "answer_bytes: 4096\n\nrules:", "answer_bytes: 262144\n\nrules:\n  - {name: all, from: honam, to: yeongnam, requests_per_s: 120}",
			[]string{"rules[0].requests_per_s 120 requests/s of 262144 bytes need 251.7"}},
		{"no link", "  - {from: sudogwon, to: yeongnam, mbit_per_s: 300, fill_percent: 80}\n", "", []string{
			"rules[6].to no link", "rules[8].to no link", "rules[18].to no link", "rules[20].to no link"}},
		{"link twice", "{from: sudogwon, to: honam, mbit", "{from: sudogwon, to: yeongnam, mbit", []string{
			"links[1] is a duplicate of", "rules[7].to no link", "rules[10].to no link", "rules[19].to no link", "rules[22].to no link"}},
		{"link to itself", "  - {from: sudogwon, to: yeongnam, mbit", "  - {from: honam, to: honam, mbit_per_s: 1}\n  - {from: sudogwon, to: yeongnam, mbit",
			[]string{`links[0].to "honam" is also from; a link must connect two different regions`}},
		{"omitted fill has its default", "mbit_per_s: 300, fill_percent: 80", "mbit_per_s: 300", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := read(t, "hanbit.yaml")
			altered := strings.Replace(text, c.old, c.new, 1)
			if altered == text {
				t.Fatal("the text to replace isn't in the example")
			}
			expectFaults(t, altered, c.want)
		})
	}
}

// TestErrorsOfParseValid checks that invalid documents and unreadable texts have
// errors of different types, both with the path of the field.
func TestErrorsOfParseValid(t *testing.T) {
	is := is.New(t)
	_, err := document.ParseValid([]byte("regions: []\n"))
	is.True(errors.Is(err, document.ErrInvalid))
	var faults document.Faults
	is.True(errors.As(err, &faults))
	is.Equal(len(faults), 4) // regions, places, services, operators

	_, err = document.ParseValid([]byte("regions:\n- name: a\n  colour: red\n"))
	is.True(!errors.Is(err, document.ErrInvalid))
	var unread *strictyaml.Error
	is.True(errors.As(err, &unread))
	is.Equal(err.Error(), "line 3: regions[0].colour: unknown field")
	is.Equal(document.FaultsOf([]byte("links:\n- fill_percent: most\n"))[0].String(),
		`links[0].fill_percent: line 2: a whole number is wanted, got text "most"`)
	is.Equal(document.FaultsOf([]byte("services:\n- deadline: 5\n"))[0].String(),
		`services[0].deadline: line 2: a duration such as 800ms is wanted, got the number "5"`)
	many := strings.Repeat("- name: a\n", 2*document.MaxFaults)
	is.Equal(len(document.FaultsOf([]byte("regions:\n"+many))), document.MaxFaults)
	_, err = document.Parse(make([]byte, document.MaxTextBytes+1))
	is.True(err != nil)
}

func TestDiff(t *testing.T) {
	is := is.New(t)
	parse := func(text string) *document.Document {
		doc, err := document.Parse([]byte(text))
		is.NoErr(err)
		return doc
	}
	demo := read(t, "demo.yaml")
	replace := strings.NewReplacer(
		"deadline: 2s", "deadline: 1s",
		"  - {name: b-to-a, from: norte-b, to: norte-a, requests_per_s: 200, ramp: 1s}\n", "",
		"operators:", "drains: [{place: norte-a, reason: repair}]\noperators:",
		"[127.0.20.0/24]", "[127.0.20.0/24, 127.0.22.0/24]",
	)
	is.Equal(document.Diff(parse(demo), parse(replace.Replace(demo))), []document.Difference{
		{Path: "places[norte-a].clients", Before: "127.0.20.0/24", After: "127.0.20.0/24 127.0.22.0/24"},
		{Path: "services[belt-control].deadline", Before: "2s", After: "1s"},
		{Path: "services[lot-ledger].deadline", Before: "2s", After: "1s"},
		{Path: "rules[b-to-a]", Before: `{"name":"b-to-a","from":"norte-b","to":"norte-a","requests_per_s":200,"ramp":"1s"}`},
		{Path: "drains[norte-a]", After: `{"place":"norte-a","reason":"repair"}`},
	})
	is.Equal(len(document.Diff(nil, parse(demo))), 8) // each element of the top lists
}

// TestReplaceDrains guards against an edit of the drains that changes other fields
// or drops comments.
func TestReplaceDrains(t *testing.T) {
	is := is.New(t)
	text := []byte(read(t, "demo.yaml"))
	drains := []document.Drain{{Place: "norte-a", Reason: "repair"}}
	with, err := document.ReplaceDrains(text, drains)
	is.NoErr(err)
	doc, err := document.ParseValid(with)
	is.NoErr(err)
	is.Equal(doc.Drains, drains)
	is.True(strings.Contains(string(with), "# For trials only"))

	without, err := document.ReplaceDrains(with, nil)
	is.NoErr(err)
	before, err := document.Parse(text)
	is.NoErr(err)
	after, err := document.Parse(without)
	is.NoErr(err)
	is.Equal(document.Diff(before, after), nil)
	_, err = document.ReplaceDrains([]byte("- a\n"), nil)
	is.True(errors.Is(err, document.ErrInvalid))
}
