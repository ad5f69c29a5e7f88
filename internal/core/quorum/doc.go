// Package quorum decides for a replicated register whose voters change.
//
// The register's life is a chain of epochs. Each epoch has a fixed set of
// voters and is one single-decree Paxos register that is read and rewritten
// under ballots. A value that names the next voters seals its epoch: once it
// is chosen, nothing else can be chosen in that epoch, and it becomes the
// first value of the next one. A change of voters needs no other protocol.
//
// A voter is a disk, not a machine. A disk that was lost comes back with
// another ID, is a stranger to every epoch that named the old one, and takes
// part again only after a change of voters. So no vote that was given can be
// forgotten and given again differently.
//
// Invariants:
//   - a majority of an epoch's voters accepts a value before it is chosen, and
//     any later ballot of the epoch starts from a value that a majority reports;
//   - a voter enters an epoch only with its first value, which was chosen in
//     the epoch before;
//   - a voter never answers for an epoch older than the one it has entered.
//
// The package has no I/O, goroutine or clock. The caller makes the voter's
// state durable before it sends an answer that changed it.
package quorum
