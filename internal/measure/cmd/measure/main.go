// Command measure prints the tables of package measure.
package main

import (
	"fmt"

	"sassafrasreach/internal/measure"
)

func main() {
	for _, op := range []measure.Operation{measure.Hanbit(), measure.Calibra()} {
		fmt.Println(op.Name)
		for _, row := range measure.Compare(op, 1, 2) {
			for _, o := range row.Outcomes {
				fmt.Printf("%-18s %-20s p50 %-6.0f p99 %-6.0f in %.3f spared %.3f p99s %-4.0f head %.2f cap %.2f drain %v rec %.3f %.3f %v\n",
					row.Scenario, o.Policy, o.P50.Seconds()*1e3, o.P99.Seconds()*1e3, o.InTime, o.Spared, o.SparedP99.Seconds()*1e3, o.Headroom, o.CapUse, o.Drain, o.Before, o.After, o.Recovery)
			}
		}
	}
}
