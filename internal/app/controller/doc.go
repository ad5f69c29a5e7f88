// Package controller is a controller: a VM with a disk that votes on the state,
// takes orders of operators and announcements of endpoints, tells gateways what
// is in force, and dispatches the requests of a region while it holds the
// region's lease.
//
// Lock order: voter.mu, then Controller.mu. No lock is held during a call to
// another VM; voter.mu alone is held during a write to the disk.
package controller
