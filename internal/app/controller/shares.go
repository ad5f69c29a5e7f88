package controller

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

// heardLoans is what a region's dispatcher last said that it lends.
type heardLoans struct {
	loans []dispatch.Loan
	at    time.Time
}

type loadKey struct{ region, service string }

// heardLoad is what a region's requests for a service were last said to need.
type heardLoad struct {
	dispatch.Load
	at time.Time
}

// shareOut works out what the regions that this controller dispatches need and
// lend. Must hold mu.
func (c *Controller) shareOut(now time.Time) (loads []dispatch.Load, loans []dispatch.Loan) {
	for _, name := range sortedKeys(c.regions) {
		if r := c.regions[name]; r.pool != nil {
			loads = append(loads, r.pool.Loads(now, c.gatewaysOf(now, name))...)
		}
	}
	c.hearLoads(now, loads)
	var known []dispatch.Load
	for key, l := range c.loads {
		if !live(now, l.at) {
			delete(c.loads, key)
			continue
		}
		known = append(known, l.Load)
	}
	for _, name := range sortedKeys(c.regions) {
		if r := c.regions[name]; r.pool != nil {
			own := r.pool.Lend(now, known)
			c.logLoans(name, own)
			c.hearLoans(now, name, own)
			loans = append(loans, own...)
		}
	}
	return loads, loans
}

// logLoans tells of loans of a region that differ in number from before. Must hold
// mu.
func (c *Controller) logLoans(lender string, loans []dispatch.Loan) {
	before, after := make(map[string]int), make(map[string]int)
	for _, l := range c.loans[lender].loans {
		before[l.Borrower] = len(l.Endpoints)
	}
	for _, l := range loans {
		after[l.Borrower] = len(l.Endpoints)
	}
	for borrower := range c.regions {
		if before[borrower] != after[borrower] {
			event.Log(context.Background(), c.ports.Logger, event.LoansChanged, slog.String("lender", lender),
				slog.String("borrower", borrower), slog.Int("endpoints", after[borrower]), slog.Int("before", before[borrower]),
				slog.String("lender_load", c.loadText(lender)), slog.String("borrower_load", c.loadText(borrower)))
		}
	}
}

// loadText tells what a region's requests need and have, by service. Must hold mu.
func (c *Controller) loadText(region string) string {
	var out []string
	for key, l := range c.loads {
		if key.region == region {
			out = append(out, fmt.Sprintf("%s %.0f/%d", key.service, l.Need, l.Slots))
		}
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// gatewaysOf counts the live gateways of a region. Must hold mu.
func (c *Controller) gatewaysOf(now time.Time, region string) int {
	n := 0
	for _, g := range c.gateways {
		if g.Region == region && live(now, g.Heard) {
			n++
		}
	}
	return n
}

// hearLoads takes what regions need. Must hold mu.
func (c *Controller) hearLoads(now time.Time, loads []dispatch.Load) {
	for _, l := range loads {
		c.loads[loadKey{l.Region, l.Service}] = heardLoad{l, now}
	}
}

// hearLoans takes a dispatcher's word of what its region lends. Must hold mu.
func (c *Controller) hearLoans(now time.Time, lender string, loans []dispatch.Loan) {
	c.loans[lender] = heardLoans{loans, now}
	for _, r := range c.regions {
		if r.pool == nil || r.name == lender {
			continue
		}
		mine := dispatch.Loan{Lender: lender, Borrower: r.name}
		for _, l := range loans {
			if l.Borrower == r.name {
				mine = l
			}
		}
		r.pool.Borrow(now, mine)
	}
}

// hearShares takes what another controller says of the regions that it
// dispatches. Must hold mu.
func (c *Controller) hearShares(now time.Time, n port.News) {
	c.hearLoads(now, n.Loads)
	lenders := make(map[string][]dispatch.Loan)
	for _, l := range n.Loads {
		lenders[l.Region] = nil
	}
	for _, l := range n.Loans {
		lenders[l.Lender] = append(lenders[l.Lender], l)
	}
	for lender, loans := range lenders {
		c.hearLoans(now, lender, loans)
	}
}

// way is the time that a message to a region and its answer take; 0 if none is
// known. Must hold mu.
func (c *Controller) way(region string) time.Duration {
	least := time.Duration(0)
	for _, p := range c.peers {
		if p.Region == region && p.way > 0 && (least == 0 || p.way < least) {
			least = p.way
		}
	}
	return least
}
