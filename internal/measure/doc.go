// Package measure compares the steering policy with two simpler ones in
// simulated time, and measures what look-ups and refusals cost.
//
// The simulation is small on purpose: endpoints are servers with slots and
// caches that start cold, reports arrive late, and callers come at random with
// a fixed seed, so that every policy sees the same requests with the same
// work. The policy under test is the real code of packages steering and
// admission; budgets of rules are counted at one point, by a plain window.
package measure
