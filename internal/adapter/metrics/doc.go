// Package metrics records the metrics of a process in a registry of
// rcrowley/go-metrics and serves them as JSON. It decides the names of the metrics,
// except those of the gauges that Handler receives.
package metrics
