package budget

import (
	"maps"
	"slices"
	"time"

	"sassafrasreach/internal/core/document"
)

// ruleBucket names the bucket of a rule, linkBucket that of a link.
func ruleBucket(rule string) string { return "rule:" + rule }

func linkBucket(id LinkID) string { return "link:" + id.From + ">" + id.To }

// weight is an entry's part of a cap, as a fraction.
type weight struct{ part, whole int64 }

// below says whether a weight is less than another.
func (w weight) below(other weight) bool {
	return w.part*max(1, other.whole) < other.part*max(1, w.whole)
}

// of returns the part of a number of units, rounded down.
func (w weight) of(units int64) int64 { return units * w.part / max(1, w.whole) }

// split is how a document divides one cap.
type split struct {
	version uint64
	units   int64
	// weights sum to at most 1, shares to at most units.
	weights map[string]weight
	shares  map[string]int64
	ramp    time.Duration
}

// has says whether an entry is one of the destination's.
func (s split) has(entry string) bool {
	_, ok := s.weights[entry]
	return ok
}

// same says whether two splits divide the same cap in the same way.
func (s split) same(other split) bool {
	return s.units == other.units && maps.Equal(s.weights, other.weights)
}

// splitsOf derives the split of every cap in a document: of a rule over the
// entries of its destination, of a link over those of both regions, because
// entries of the one admit the requests and those of the other send the answers
// that it carries.
func splitsOf(version uint64, doc *document.Document) map[string]split {
	splits := make(map[string]split, len(doc.Rules)+len(doc.Links))
	for i := range doc.Rules {
		rule := &doc.Rules[i]
		units := int64(rule.RequestsPerS)
		entries := entriesOf(doc, rule.To)
		s := evenly(units, entries)
		if len(rule.Shares) > 0 {
			s = byPercent(units, entries, rule.Shares)
		}
		s.version = version
		s.ramp = rule.Ramp.Std()
		splits[ruleBucket(rule.Name)] = s
	}
	for _, link := range doc.Links {
		units := int64(link.MbitPerS) * bitsPerMegabit / bitsPerByte * int64(link.FillPercent) / percent
		s := evenly(units, entriesOf(doc, link.From, link.To))
		s.version = version
		splits[linkBucket(LinkID{From: link.From, To: link.To})] = s
	}
	return splits
}

// entriesOf returns the sorted names of the entries of places or regions.
func entriesOf(doc *document.Document, names ...string) []string {
	var entries []string
	for _, place := range doc.Places {
		if !slices.Contains(names, place.Name) && !slices.Contains(names, place.Region) {
			continue
		}
		for _, entry := range place.Entries {
			entries = append(entries, entry.Name)
		}
	}
	slices.Sort(entries)
	return slices.Compact(entries)
}

// evenly divides units over entries. What is left over when the share is
// rounded down is spread, so that the shares sum to the cap.
func evenly(units int64, entries []string) split {
	n := int64(len(entries))
	s := newSplit(units, n)
	for i, entry := range entries {
		k := int64(i)
		s.weights[entry] = weight{1, n}
		s.shares[entry] = units*(k+1)/n - units*k/n
	}
	return s
}

// byPercent divides units by the shares of a rule, rounded down. Shares of
// entries that aren't in the destination are left out, and what sums to over
// 100 is cut.
func byPercent(units int64, entries []string, list []document.Share) split {
	s := newSplit(units, int64(len(entries)))
	for _, entry := range entries {
		s.weights[entry] = weight{0, percent}
	}
	left := int64(percent)
	for _, share := range list {
		part := min(left, int64(max(0, share.Percent)))
		left -= part
		if w, ok := s.weights[share.Entry]; ok {
			w.part += part
			s.weights[share.Entry] = w
		}
	}
	for entry, w := range s.weights {
		s.shares[entry] = w.of(units)
	}
	return s
}

func newSplit(units, entries int64) split {
	return split{
		units:   units,
		weights: make(map[string]weight, entries),
		shares:  make(map[string]int64, entries),
	}
}
