package document_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/document"
)

// Sizes of the largest document that the package is designed for.
const (
	sizeRegions  = 26
	sizePlaces   = 75
	sizeEntries  = 4700
	sizeServices = 2600
	sizeBlocks   = 7500
)

// fullSize returns a valid document of the design size. Each service is in three
// places and has a rule from its first place to its second.
func fullSize() *document.Document {
	d := &document.Document{Operators: []document.Operator{{Name: "trial", TokenSHA256: document.Digest([]byte("demo-token"))}}}
	for i := range sizeRegions {
		d.Regions = append(d.Regions, document.Region{Name: fmt.Sprintf("region-%d", i), ReservePercent: 10})
		for j := range sizeRegions {
			if i != j {
				d.Links = append(d.Links, document.Link{From: fmt.Sprintf("region-%d", i), To: fmt.Sprintf("region-%d", j), MbitPerS: 4000, FillPercent: 80})
			}
		}
	}
	for i := range sizePlaces {
		d.Places = append(d.Places, document.Place{Name: fmt.Sprintf("place-%d", i), Region: fmt.Sprintf("region-%d", i%sizeRegions)})
	}
	for i := range sizeEntries {
		p := &d.Places[i%sizePlaces]
		ip := fmt.Sprintf("127.1.%d.%d", i/250, i%250+1)
		p.Entries = append(p.Entries, document.Entry{Name: fmt.Sprintf("entry-%d", i), Caller: ip + ":18080", Peer: ip + ":19080"})
	}
	for i := range sizeBlocks {
		p := &d.Places[i%sizePlaces]
		p.Clients = append(p.Clients, fmt.Sprintf("10.%d.%d.0/24", i/256, i%256))
	}
	for i := range sizeServices {
		s := document.NewService()
		s.Name, s.Workers, s.Slots, s.Connections = fmt.Sprintf("service-%d", i), 20, 3, 650
		for k := range 3 {
			s.Places = append(s.Places, d.Places[(i+k)%sizePlaces].Name)
		}
		d.Services = append(d.Services, s)
		d.Rules = append(d.Rules, document.Rule{Name: "rule-" + s.Name, Service: s.Name, From: s.Places[0], To: s.Places[1], RequestsPerS: 100})
	}
	return d
}

// TestFullSize checks that a document of the design size is valid and takes less
// than half of MaxTextBytes.
func TestFullSize(t *testing.T) {
	is := is.New(t)
	text, err := document.Marshal(fullSize())
	is.NoErr(err)
	is.True(len(text) < document.MaxTextBytes/2)
	doc, err := document.ParseValid(text)
	is.NoErr(err)
	is.Equal(doc.EntryCount(), sizeEntries)
	is.Equal(document.Diff(fullSize(), doc), nil)
}

// BenchmarkFullSize measures the operations on a document of the design size.
func BenchmarkFullSize(b *testing.B) {
	doc := fullSize()
	text, err := document.Marshal(doc)
	if err != nil {
		b.Fatal(err)
	}
	run := func(name string, work func()) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				work()
			}
			b.ReportMetric(float64(len(text)), "text-bytes")
		})
	}
	run("Parse", func() { _, _ = document.Parse(text) })
	run("Validate", func() { doc.Validate() })
	run("Marshal", func() { _, _ = document.Marshal(doc) })
	run("Diff", func() { document.Diff(doc, doc) })
	run("Digest", func() { document.Digest(text) })
}
