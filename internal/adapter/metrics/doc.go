// Package metrics records what a daemon measures of itself in a registry of
// rcrowley/go-metrics and serves it as JSON.
package metrics
