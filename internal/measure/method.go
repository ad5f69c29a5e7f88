package measure

import (
	"bytes"
	"fmt"
	"strings"
)

// WriteMethod writes the method and the assumptions of the comparisons.
func WriteMethod(out *bytes.Buffer) {
	lines := []string{
		"All comparisons are simulated: each policy gets the same requests with the same work.",
		"Sizes and delays are the current ones. The rest is assumed:",
		"",
		fmt.Sprintf("- Requests arrive at random times, at %.0f%% of the capacity of each place.", 100*loadFactor),
		fmt.Sprintf("- The work of a request is log-normal (sigma %.1f) around the mean of its service;", workSpread),
		fmt.Sprintf("  it takes %d times as long on a cold cache, and the difference falls to about a third", coldFactor),
		fmt.Sprintf("  with each %d requests of one place of origin on an endpoint.", warmAfter),
		"- An endpoint runs as many requests as it has slots, queues as many again and sheds the rest;",
		"  it cancels a request at its deadline.",
		fmt.Sprintf("- Endpoints report every second, with a delay of %d ms. A dial to a failed VM fails after %d ms.",
			reportDelay.Milliseconds(), dialTimeout.Milliseconds()),
		fmt.Sprintf("- The reserve is %d%% of slots at Hanbit and %d%% at Calibra, which values headroom more;",
			Hanbit().reserve, Calibra().reserve),
		fmt.Sprintf("  a rule's cap is %.0f%% of the capacity of the place of origin", 100*nearCapPart),
		fmt.Sprintf("  within a region and %.0f%% between regions; a shift ramps up for %.0f s. Caps are counted at",
			100*farCapPart, shiftRamp.Seconds()),
		"  one point here; their division into shares is measured separately.",
		"- The baselines choose an endpoint of the nearest places that have any, at random or by the least",
		fmt.Sprintf("  reported load, and try up to %d endpoints. They use no caps, reserves or queues.", baselineTries),
		"- Latency is that of answered requests as their callers see it. In time means answered before",
		"  the deadline of the attempt. Headroom is the fraction of a region's live slots without a running",
		"  or waiting request, as the mean of a second; it is negative when more wait than are free.",
		fmt.Sprintf("- Faults begin at %.0f s, failed places restart at %.0f s, a retry storm is %d times the capacity",
			faultAt.Seconds(), restoreAt.Seconds(), stormFactor),
		fmt.Sprintf("  until %.0f s, from callers that retry up to %d times.", stormEnd.Seconds(), maxRetries),
		fmt.Sprintf("- False load reports: in the first place of each region, one endpoint of each group is %d times", misreportSlowdown),
		"  slower and always reports a load of 0, and another always reports a load of 1.",
		"- Drain time ends when the place starts less than 1% of what it started before.",
		"",
	}
	fmt.Fprintln(out, strings.Join(lines, "\n"))
}
