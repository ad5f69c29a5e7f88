// Package register decides which changes of the operators' document are
// accepted. The document is in a replicated register; the package holds the
// state machines of the register's proposers and acceptors and of the start and
// repair of a member.
//
// Terms:
//   - a member is a process with a folder on disk that holds a replica;
//   - a quorum is a majority of the members: q of n;
//   - a ballot numbers an attempt to change or read the register;
//   - a value is chosen once a quorum accepted it under one ballot;
//   - a fence is the ballot of a member's repair; the newest is the member's
//     generation;
//   - the founders are the members that vote without a repair because all
//     folders were empty at one instant.
//
// The register holds one Value. A change is a read-modify-write under a ballot
// (single-decree Paxos repeated on one register, as in D. Rystsov, "CASPaxos:
// Replicated State Machines without logs", 2018): a proposer collects promises
// for its ballot from a quorum, applies the change to the value that the quorum
// reports under the highest ballot, and sends the result to be accepted by a
// quorum. There is no leader that could be isolated and no log to replay.
//
// A member that lost its disk has lost its promises and its value. It votes
// again only after a repair: n-q+1 other voting members promise a new ballot,
// the fence, on its behalf and report what they accepted. Every quorum that
// contains the repaired member contains one of these. They also store the fence
// as the member's generation, and a proposer discards answers of an older
// generation. The fence alone is not enough: a promise for a ballot above the
// fence, given before the loss, could still complete a quorum.
//
// The package has no I/O, no goroutine and no clock. The caller must make the
// acceptor's state durable before it sends an answer that changed it.
package register
