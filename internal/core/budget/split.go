package budget

import (
	"maps"
	"slices"
	"time"

	"sassafrasreach/internal/core/document"
)

// ruleBucket returns the name of a rule's bucket, linkBucket that of a link's.
func ruleBucket(rule string) string { return "rule:" + rule }

func linkBucket(id LinkID) string { return "link:" + id.From + ">" + id.To }

// weight is an entry's part of a cap, as a fraction.
type weight struct{ numerator, denominator int64 }

// lessThan reports whether a weight is less than another.
func (w weight) lessThan(other weight) bool {
	return w.numerator*max(1, other.denominator) < other.numerator*max(1, w.denominator)
}

// of returns this fraction of a number of units, rounded down.
func (w weight) of(units int64) int64 { return units * w.numerator / max(1, w.denominator) }

// split is how a document divides one cap over entries.
type split struct {
	version uint64
	units   int64
	// weights sum to at most 1, shares to at most units.
	weights map[string]weight
	shares  map[string]int64
	ramp    time.Duration
}

// includes reports whether an entry takes part in the split.
func (s split) includes(entry string) bool {
	_, ok := s.weights[entry]
	return ok
}

// equal reports whether two splits divide the same cap in the same way.
func (s split) equal(other split) bool {
	return s.units == other.units && maps.Equal(s.weights, other.weights)
}

// splitsOf derives the split of every cap in a document. A rule's cap is split
// over the entries of its destination. A link's is split over the entries of
// both regions, because entries of one region admit the requests that it
// carries and entries of the other send the answers.
func splitsOf(version uint64, doc *document.Document) map[string]split {
	splits := make(map[string]split, len(doc.Rules)+len(doc.Links))
	for i := range doc.Rules {
		rule := &doc.Rules[i]
		units := int64(rule.RequestsPerS)
		entries := entriesOf(doc, rule.To)
		s := splitEvenly(units, entries)
		if len(rule.Shares) > 0 {
			s = splitByPercent(units, entries, rule.Shares)
		}
		s.version = version
		s.ramp = rule.Ramp.Std()
		splits[ruleBucket(rule.Name)] = s
	}
	for _, link := range doc.Links {
		units := int64(link.MbitPerS) * bitsPerMegabit / bitsPerByte * int64(link.FillPercent) / percent
		s := splitEvenly(units, entriesOf(doc, link.From, link.To))
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

// splitEvenly divides units evenly over entries. The remainder is spread over
// them, so that the shares sum to the cap.
func splitEvenly(units int64, entries []string) split {
	n := int64(len(entries))
	s := newSplit(units, n)
	for i, entry := range entries {
		k := int64(i)
		s.weights[entry] = weight{1, n}
		s.shares[entry] = units*(k+1)/n - units*k/n
	}
	return s
}

// splitByPercent divides units by the shares of a rule, rounded down. Shares of
// entries that aren't in the destination aren't given to others, and
// percentages beyond a sum of 100 are cut off.
func splitByPercent(units int64, entries []string, list []document.Share) split {
	s := newSplit(units, int64(len(entries)))
	for _, entry := range entries {
		s.weights[entry] = weight{0, percent}
	}
	left := int64(percent)
	for _, share := range list {
		part := min(left, int64(max(0, share.Percent)))
		left -= part
		if w, ok := s.weights[share.Entry]; ok {
			w.numerator += part
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
