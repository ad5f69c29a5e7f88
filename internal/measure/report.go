package measure

import (
	"bytes"
	"fmt"
	"strings"
	"time"
)

// WriteComparison writes the results of an operation as Markdown: a table of all
// outcomes, a summary per scenario, and a table of the recovery of goodput.
func WriteComparison(out *bytes.Buffer, op Operation, rows []Row) {
	fmt.Fprintf(out, "## %s\n\n", op.Name)
	ranked := "latency"
	if op.ByHeadroom {
		ranked = "headroom"
	}
	fmt.Fprintf(out, "Ranked by %s. Headroom is the lowest value of any second, per region (%s).\n\n",
		ranked, strings.Join(op.regions, ", "))
	fmt.Fprintln(out, "| scenario | policy | p50 ms | p99 ms | 95% of all, ms | in time | in time, unaffected places | p99 ms, unaffected places | headroom % | largest cap use % | drain s |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|")
	for _, row := range rows {
		for _, o := range row.Outcomes {
			fmt.Fprintf(out, "| %s | %s | %s | %s | %s | %.1f%% | %.1f%% | %s | %s | %.0f | %s |\n",
				row.Scenario, o.Policy, millis(o.P50), millis(o.P99), orNever(o.AllP95), 100*o.InTime, 100*o.Unaffected,
				millis(o.UnaffectedP99), percents(o.Headroom), 100*o.CapUse, drainText(o))
		}
	}
	fmt.Fprintln(out, "\nThis policy compared with both baselines:")
	fmt.Fprintln(out)
	for _, row := range rows {
		fmt.Fprintf(out, "- %s: %s\n", row.Scenario, summaryOf(op, row))
	}
	fmt.Fprintln(out)
	writeRecovery(out, rows)
}

func writeRecovery(out *bytes.Buffer, rows []Row) {
	fmt.Fprintln(out, "| scenario | policy | goodput before | goodput at the end | time to 95% of the goodput before |")
	fmt.Fprintln(out, "|---|---|---|---|---|")
	for _, row := range rows {
		for _, o := range row.Outcomes {
			if o.Before == 0 {
				continue
			}
			after := "not reached"
			if o.Recovery >= 0 {
				after = fmt.Sprintf("%.0f s", o.Recovery.Seconds())
			}
			fmt.Fprintf(out, "| %s | %s | %.1f%% | %.1f%% | %s |\n",
				row.Scenario, o.Policy, 100*o.Before, 100*o.After, after)
		}
	}
	fmt.Fprintln(out)
}

// summaryOf says whether the last outcome is ahead of all others. Where it is not,
// it lists both values and the drawbacks of the other policy.
func summaryOf(op Operation, row Row) string {
	ours := row.Outcomes[len(row.Outcomes)-1]
	var behind []string
	for _, other := range row.Outcomes[:len(row.Outcomes)-1] {
		behind = append(behind, shortfalls(op, ours, other)...)
	}
	if len(behind) == 0 {
		return "ahead."
	}
	return "ahead except for: " + strings.Join(behind, "; ") + "."
}

func shortfalls(op Operation, ours, other Outcome) []string {
	var behind []string
	if ours.InTime < other.InTime {
		behind = append(behind, fmt.Sprintf("in time %.2f%% against %.2f%% of %s%s",
			100*ours.InTime, 100*other.InTime, other.Policy, overCap(other)))
	}
	if op.ByHeadroom {
		if lowest(ours) < lowest(other) {
			behind = append(behind, fmt.Sprintf("lowest headroom %.0f%% against %.0f%% of %s, which answered %.1f%% in time",
				100*lowest(ours), 100*lowest(other), other.Policy, 100*other.InTime))
		}
	} else if ours.P99 > other.P99 || ours.P50 > other.P50 {
		behind = append(behind, fmt.Sprintf("p50 %s and p99 %s ms against %s and %s of %s, which answered %.1f%% in time",
			millis(ours.P50), millis(ours.P99), millis(other.P50), millis(other.P99), other.Policy, 100*other.InTime))
	}
	if slower(ours.Drain, other.Drain) {
		behind = append(behind, fmt.Sprintf("drain time (s) %s against %s of %s%s",
			drainText(ours), drainText(other), other.Policy, overCap(other)))
	}
	return behind
}

// slower reports whether the drain took longer than the other; a negative time
// means that it was not completed.
func slower(ours, other time.Duration) bool {
	return other >= 0 && (ours < 0 || ours > other)
}

func overCap(o Outcome) string {
	if o.CapUse <= 1 {
		return ""
	}
	return fmt.Sprintf(", which moved %.1f times a cap", o.CapUse)
}

// lowest returns the headroom of the region that has the least.
func lowest(o Outcome) float64 {
	least := 1.0
	for _, h := range o.Headroom {
		least = min(least, h)
	}
	return least
}

func millis(d time.Duration) string { return fmt.Sprintf("%.0f", d.Seconds()*1000) }

func orNever(d time.Duration) string {
	if d == 0 {
		return "never"
	}
	return millis(d)
}

func percents(parts []float64) string {
	texts := make([]string, len(parts))
	for i, part := range parts {
		texts[i] = fmt.Sprintf("%.0f", 100*part)
	}
	return strings.Join(texts, " / ")
}

func drainText(o Outcome) string {
	switch {
	case o.Drain < 0:
		return fmt.Sprintf("not reached, %.0f%% left", 100*o.Left)
	case o.Drain == 0:
		return ""
	default:
		return fmt.Sprintf("%.2f", o.Drain.Seconds())
	}
}

// WriteCosts writes the costs of look-ups and decisions as Markdown.
func WriteCosts(out *bytes.Buffer, lookups []LookupCost, d DecisionCost) {
	fmt.Fprintln(out, "## Cost of look-ups and decisions on one core")
	fmt.Fprintln(out)
	fmt.Fprintln(out, "| blocks | count | bytes per block | MB | build s | look-ups/s |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|")
	for _, l := range lookups {
		fmt.Fprintf(out, "| %s | %d | %.1f | %.1f | %.1f | %.0f |\n",
			l.Kind, l.Blocks, l.BytesPerBlock, l.Megabytes, l.Build.Seconds(), l.PerSecond)
	}
	fmt.Fprintln(out)
	fmt.Fprintf(out, "- Ranking six places: %d ns, so %.0f rankings/s.\n", d.Rank.Nanoseconds(), 1/d.Rank.Seconds())
	fmt.Fprintf(out, "- Admission of a request that is answered: %d ns; of one that is refused: %d ns.\n",
		d.Answer.Nanoseconds(), d.Refusal.Nanoseconds())
	fmt.Fprintln(out)
}
