package budget

import (
	"slices"
	"time"

	"sassafrasreach/internal/core/document"
)

// bucketName identifies a cap among all entries.
func ruleBucket(rule string) string { return "rule:" + rule }

func linkBucket(id LinkID) string { return "link:" + id.From + ">" + id.To }

// split is how a document divides one cap; the shares sum to the cap.
type split struct {
	version uint64
	shares  map[string]int64
	ramp    time.Duration
}

// splitsOf derives the split of every cap in a document.
func splitsOf(version uint64, doc *document.Document) map[string]split {
	splits := make(map[string]split, len(doc.Rules)+len(doc.Links))
	for i := range doc.Rules {
		rule := &doc.Rules[i]
		entries := entriesOf(doc, rule.To)
		shares := evenly(int64(rule.RequestsPerS), entries)
		if len(rule.Shares) > 0 {
			shares = byPercent(int64(rule.RequestsPerS), entries, rule.Shares)
		}
		splits[ruleBucket(rule.Name)] = split{version, shares, rule.Ramp.Std()}
	}
	for _, link := range doc.Links {
		bytes := int64(link.MbitPerS) * bitsPerMegabit / bitsPerByte * int64(link.FillPercent) / percent
		id := LinkID{From: link.From, To: link.To}
		splits[linkBucket(id)] = split{version, evenly(bytes, entriesOf(doc, link.To)), 0}
	}
	return splits
}

// entriesOf returns the sorted names of the entries of a place or a region.
func entriesOf(doc *document.Document, name string) []string {
	var entries []string
	for _, place := range doc.Places {
		if place.Name != name && place.Region != name {
			continue
		}
		for _, entry := range place.Entries {
			entries = append(entries, entry.Name)
		}
	}
	slices.Sort(entries)
	return slices.Compact(entries)
}

// evenly divides units over entries; the first get the remainder.
func evenly(units int64, entries []string) map[string]int64 {
	shares := make(map[string]int64, len(entries))
	n := int64(len(entries))
	for i, entry := range entries {
		k := int64(i)
		shares[entry] = units*(k+1)/n - units*k/n
	}
	return shares
}

// byPercent divides units by the shares of a rule. Shares of entries that
// aren't in the destination are left out, and what sums to over 100 is cut.
func byPercent(units int64, entries []string, list []document.Share) map[string]int64 {
	shares := make(map[string]int64, len(list))
	sum := int64(0)
	for _, share := range list {
		before := sum
		sum = min(percent, sum+int64(max(0, share.Percent)))
		if slices.Contains(entries, share.Entry) {
			shares[share.Entry] += units*sum/percent - units*before/percent
		}
	}
	return shares
}
