// Package quorum decides which value a replicated register holds while its set of
// voters changes.
//
// The register goes through a sequence of epochs. Each epoch has a fixed set of
// voters and is one single-decree Paxos register that is read and rewritten
// under ballots. A value that names the next voters seals its epoch: once it
// is chosen, no other value can be chosen in that epoch, and its content becomes
// the first value of the next one. A change of voters needs no other protocol.
//
// A voter is a disk, not a machine. A lost disk is replaced by one with another
// ID. The new disk isn't a voter of any epoch that named the old one, and votes
// only after a change of voters. So a vote can't be lost and then given
// differently.
//
// Invariants:
//   - a value is chosen only after a majority of an epoch's voters accepted it,
//     and every later ballot of the epoch starts from the newest value that a
//     majority reports;
//   - a voter enters an epoch after the first only with a value: the epoch's first
//     one, which was chosen in the epoch before, or a later one made from it;
//   - a voter gives no promise and accepts no value for an epoch older than the
//     one it has entered.
//
// The package has no I/O, goroutine or clock. The caller makes the voter's
// state durable before it sends an answer that changed it.
package quorum
