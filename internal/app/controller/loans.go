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

// reportedLoans are the loans that a region's dispatcher last reported.
type reportedLoans struct {
	loans []dispatch.Loan
	at    time.Time
}

type loadKey struct{ region, service string }

// reportedLoad is the last reported need of a region's requests for a service.
type reportedLoad struct {
	dispatch.Load
	at time.Time
	// hinted means that it is of the controller's last run.
	hinted bool
}

// updateLoans updates the loans of the regions that this controller dispatches
// by the loads of all regions, and returns these regions' loads, their loans and
// the borrowed endpoints that they return. Must hold mu.
func (c *Controller) updateLoans(now time.Time) (loads []dispatch.Load, loans []dispatch.Loan, returns []dispatch.Return) {
	for _, name := range sortedKeys(c.regions) {
		if r := c.regions[name]; r.pool != nil {
			loads = append(loads, r.pool.Loads(now, c.countGateways(now, name))...)
		}
	}
	c.recordLoads(now, loads)
	var known []dispatch.Load
	for key, l := range c.loads {
		if now.Sub(l.at) > dispatch.LoanTerm {
			delete(c.loads, key)
			continue
		}
		known = append(known, l.Load)
	}
	for _, name := range sortedKeys(c.regions) {
		if r := c.regions[name]; r.pool != nil {
			own := r.pool.Lend(now, known)
			c.logLoans(name, own)
			c.recordLoans(now, name, own)
			loans = append(loans, own...)
			returns = append(returns, r.pool.Returns(now)...)
		}
	}
	c.recordReturns(now, returns)
	return loads, loans, returns
}

// recordReturns ends the loans of the endpoints that were returned to regions
// that this controller dispatches. Must hold mu.
func (c *Controller) recordReturns(now time.Time, returns []dispatch.Return) {
	for _, returned := range returns {
		if r := c.regions[returned.Lender]; r != nil && r.pool != nil {
			r.pool.TakeBack(now, returned)
		}
	}
}

// logLoans logs each change in the number of endpoints that a region lends to
// another one, or has recalled from it. Must hold mu.
func (c *Controller) logLoans(lender string, loans []dispatch.Loan) {
	type counts struct{ lent, recalled int }
	before, after := make(map[string]counts), make(map[string]counts)
	for _, l := range c.loans[lender].loans {
		before[l.Borrower] = counts{len(l.Endpoints), len(l.Recalled)}
	}
	for _, l := range loans {
		after[l.Borrower] = counts{len(l.Endpoints), len(l.Recalled)}
	}
	for borrower := range c.regions {
		if before[borrower] != after[borrower] {
			event.Log(context.Background(), c.ports.Logger, event.LoansChanged, slog.String("lender", lender),
				slog.String("borrower", borrower), slog.Int("endpoints", after[borrower].lent), slog.Int("recalled", after[borrower].recalled),
				slog.Int("before", before[borrower].lent),
				slog.String("lender_load", c.describeLoad(lender)), slog.String("borrower_load", c.describeLoad(borrower)))
		}
	}
}

// describeLoad returns the slots that a region's requests need and those that
// it has, by service. Must hold mu.
func (c *Controller) describeLoad(region string) string {
	var out []string
	for key, l := range c.loads {
		if key.region == region {
			out = append(out, fmt.Sprintf("%s %.0f/%d", key.service, l.Need, l.Slots))
		}
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// countGateways counts the live gateways of a region. Must hold mu.
func (c *Controller) countGateways(now time.Time, region string) int {
	n := 0
	for _, g := range c.gateways {
		if g.Region == region && live(now, g.LastSeen) {
			n++
		}
	}
	return n
}

// recordLoads records the reported loads of regions. Must hold mu.
func (c *Controller) recordLoads(now time.Time, loads []dispatch.Load) {
	for _, l := range loads {
		c.loads[loadKey{l.Region, l.Service}] = reportedLoad{Load: l, at: now}
	}
}

// recordLoans records the loans reported by a region's dispatcher and updates
// the pools that borrow or no longer borrow from it. Must hold mu.
func (c *Controller) recordLoans(now time.Time, lender string, loans []dispatch.Loan) {
	c.loans[lender] = reportedLoans{loans, now}
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

// recordLoadsAndLoans records the loads and loans that another controller
// reported of the regions that it dispatches, unless a third one holds the lease of
// the region. known is false if its loans are not known. Must hold mu.
func (c *Controller) recordLoadsAndLoans(now time.Time, m port.ExchangeRequest, loans []dispatch.Loan, known bool) {
	heldByThird := func(region string) bool {
		r := c.regions[region]
		return r != nil && now.Before(r.until) && r.holder != m.From.Address
	}
	c.recordReturns(now, m.Returns)
	lenders := make(map[string][]dispatch.Loan)
	for _, l := range m.Loads {
		if !heldByThird(l.Region) {
			c.recordLoads(now, []dispatch.Load{l})
			lenders[l.Region] = nil
		}
	}
	if !known {
		return // the sender sends its loans with its next exchange
	}
	for _, l := range loans {
		if !heldByThird(l.Lender) {
			lenders[l.Lender] = append(lenders[l.Lender], l)
		}
	}
	for lender, loans := range lenders {
		c.recordLoans(now, lender, loans)
	}
}

// reportedState returns the loads and loans of all regions that were reported
// within the term of a loan, for a controller that has started. Must hold mu.
func (c *Controller) reportedState(now time.Time) (loads []dispatch.Load, loans []dispatch.Loan) {
	for _, l := range c.loads {
		if now.Sub(l.at) <= dispatch.LoanTerm {
			loads = append(loads, l.Load)
		}
	}
	for _, reported := range c.loans {
		if now.Sub(reported.at) <= dispatch.LoanTerm {
			loans = append(loans, reported.loans...)
		}
	}
	return loads, loans
}

// learnReportedState records loads and loans that another controller knows of,
// where this one knows none. Must hold mu.
func (c *Controller) learnReportedState(now time.Time, loads []dispatch.Load, loans []dispatch.Loan) {
	for _, l := range loads {
		if before, known := c.loads[loadKey{l.Region, l.Service}]; !known || before.hinted {
			c.recordLoads(now, []dispatch.Load{l})
		}
	}
	unknown := make(map[string][]dispatch.Loan)
	for _, l := range loans {
		if _, known := c.loans[l.Lender]; !known {
			unknown[l.Lender] = append(unknown[l.Lender], l)
		}
	}
	for lender, loans := range unknown {
		c.recordLoans(now, lender, loans)
	}
}

// roundTrip returns the shortest round trip to a controller of a region; 0
// if none is known. Must hold mu.
func (c *Controller) roundTrip(region string) time.Duration {
	least := time.Duration(0)
	for _, p := range c.peers {
		if p.Region == region && p.roundTrip > 0 && (least == 0 || p.roundTrip < least) {
			least = p.roundTrip
		}
	}
	return least
}
