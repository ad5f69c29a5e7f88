package measure

import (
	"bytes"
	"fmt"
	"strings"
)

// WriteMethod writes how the figures came about.
func WriteMethod(out *bytes.Buffer) {
	lines := []string{
		"All comparisons are simulated: each policy sees the same requests with the same work.",
		"Sizes and delays are those of today. The rest is assumed:",
		"",
		fmt.Sprintf("- Callers come at random, at %.0f%% of the capacity of each place.", 100*loadFactor),
		fmt.Sprintf("- The work of a request is log-normal (sigma %.1f) around the mean of its service;", workSpread),
		fmt.Sprintf("  it takes %d times as long on a cold cache, and an endpoint's cache warms by a third of", coldFactor),
		fmt.Sprintf("  the difference with each %d requests of one place of origin.", warmAfter),
		"- An endpoint runs as many requests as it has slots, lets as many wait, and sheds the rest;",
		"  it cancels a request at its deadline.",
		fmt.Sprintf("- Endpoints report each second, %d ms late. A dial to a lost VM fails after %d ms.",
			reportDelay.Milliseconds(), dialTimeout.Milliseconds()),
		fmt.Sprintf("- The reserve is %d%% of slots at Hanbit and %d%% at Calibra, which weighs headroom more;",
			Hanbit().reserve, Calibra().reserve),
		fmt.Sprintf("  a rule's cap is %.0f%% of the capacity of the place of origin", 100*nearCapPart),
		fmt.Sprintf("  inside a region and %.0f%% between regions; a shift ramps for %.0f s. Caps are counted at one",
			100*farCapPart, shiftRamp.Seconds()),
		"  point here; the split into shares is measured elsewhere.",
		"- The baselines pick an endpoint of the nearest place that has any, at random or by the least",
		fmt.Sprintf("  reported load, and try up to %d endpoints. They know no caps, reserves or queues.", baselineTries),
		"- Latency is that of answered requests as their callers see it. In time means answered before",
		"  the deadline of its try. Headroom is the part of a region's live slots that neither runs nor",
		"  has a request waiting for it, as the mean of a second; below 0, more waits than is free.",
		fmt.Sprintf("- Faults begin at %.0f s, what was lost comes back at %.0f s, a storm is %d times the capacity",
			faultAt.Seconds(), backAt.Seconds(), stormFactor),
		fmt.Sprintf("  until %.0f s with callers that send up to %d times again.", stormEnd.Seconds(), maxResends),
		fmt.Sprintf("- Lying reports: in the first place of each region one endpoint of each group is %d times slower", liarSlowness),
		"  and says 0 for ever, and another says 1 for ever.",
		"- Drain time ends when the place starts less than 1% of what it started before.",
		"",
	}
	fmt.Fprintln(out, strings.Join(lines, "\n"))
}
