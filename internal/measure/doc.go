// Package measure compares the steering policy with two simpler policies in
// simulated time, and measures the cost of look-ups and admission decisions.
//
// The simulation is deliberately small. Endpoints are servers with slots and
// with caches that start cold, load reports arrive with a delay, and requests
// arrive at random times from a fixed seed, so that every policy gets the same
// requests with the same work. The policy under test is the real code of
// packages steering and admission; the budgets of rules are counted at one point
// by a sliding window.
package measure
