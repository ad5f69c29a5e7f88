// Package workers runs jobs on a fixed number of goroutines, so that the
// concurrency of a VM under load is bounded by the pool and not by its callers.
package workers
