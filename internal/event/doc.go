// Package event defines the events that the daemons log. Each has a number, a name,
// a level and a meaning. Every log record of a daemon is one of the events in the
// catalogue, so that an operator can look up its number in docs/EVENTS.md and an
// alert can match on it.
package event
