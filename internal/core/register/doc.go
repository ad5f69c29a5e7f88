// Package register decides for the replicated register that holds the
// operators' document: the state machines of its proposer, its acceptor and
// the start and repair of a member.
//
// The register holds one Value. A change is a read-modify-write under a ballot
// (single-decree Paxos repeated on one register, as in D. Rystsov, "CASPaxos:
// Replicated State Machines without logs", 2018): a proposer makes a quorum
// promise its ballot, applies the change to the highest accepted value that
// the quorum reports, and makes a quorum accept the result. There is no leader
// that could be isolated and no log to replay.
//
// A member that lost its disk has forgotten its promises and its value. It
// votes again only after a repair: n-q+1 other voting members promise a new
// ballot, the fence, on its behalf and report what they accepted. Every quorum
// that contains the repaired member contains one of these. They also remember
// the fence as the member's generation, and a proposer discards answers of an
// older generation. The fence alone wouldn't do: a promise for a ballot above
// the fence, given before the loss, could still complete a quorum.
//
// The package has no I/O, no goroutine and no clock. The caller must make the
// acceptor's state durable before it sends an answer that changed it.
package register
