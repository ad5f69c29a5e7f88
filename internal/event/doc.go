// Package event numbers what the system logs. Every log record of a daemon is
// one of the events in the catalogue, so that an operator can look its number
// up in docs/EVENTS.md and an alert can match on it.
package event
