// Package quota limits the requests of client accounts over all regions together.
//
// An account has a token bucket: its rate refills it, its burst is its capacity. One
// region owns the bucket, chosen by rendezvous hashing. The controller that dispatches
// the owner's region, the owner, takes tokens from it directly. A controller that
// dispatches another region, a holder, requests tokens from the owner with the periodic
// exchange and takes them from its stock. In addition each region has a floor, a small
// bucket of its own for the time until the owner answers.
//
// The bound: in any window, the requests that run are at most
//
//		(rate x window + burst) x (1 + excess) + slack.
//
//	  - A token counts toward the capacity from when it is minted until its request runs:
//	    in the bucket, with a holder, and while its request is queued. So the requests that
//	    run in a window with tokens of the bucket are at most the capacity and what is
//	    minted in the window.
//	  - The owner counts a token that it issued until the holder reports that it is used,
//	    or until Term after the owner's last reply. The holder counts the term from when it
//	    sent its request, and uses holderTerm of it, so it stops first. A report that is
//	    lost, late or repeated makes the owner count too many, never too few: reports have
//	    sequence numbers, and a reply that the holder didn't get is part of what the owner
//	    counts until the next report.
//	  - Only the holder of a region's lease owns buckets, and leases never overlap. A new
//	    owner starts with an empty bucket and mints at the rate. Until it has heard from the
//	    dispatchers of all other regions what they hold, or Term has passed, it stores only
//	    a small part of the capacity, since tokens of the former owner may still be used.
//	  - The floors and that small part are taken from the excess and the slack.
//
// Between two VMs a request still takes some milliseconds from its grant to the endpoint.
// The part of the excess that isn't used by floors covers that.
//
// The package does no I/O, starts no goroutine and reads no clock.
package quota
