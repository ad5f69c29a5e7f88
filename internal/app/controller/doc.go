// Package controller implements a controller: a VM with a disk that votes on the
// configuration state, accepts operators' orders and endpoints' announcements,
// sends gateways the state in force, and dispatches the requests of the regions
// whose leases it holds. Without a majority of the votes it also dispatches a
// region for which it is the preferred controller and knows of no other holder.
//
// A voter is a controller whose disk takes part in the quorum of the current
// epoch. The distinguished proposer, in the sense of Paxos, is the live voter with
// the lowest address: other controllers forward orders to it, so that proposers
// don't collide. It is only a preference: any controller may propose, and the
// ballots keep proposals at the same time safe. The dispatcher of a region grants
// the slots of the region's endpoints to gateways.
//
// Lock order: voter.mu, then Controller.mu. No lock is held during a call to
// another VM; voter.mu alone is held during a write to the disk. voter.savedMu
// may be taken under either; nothing is locked under it.
package controller
