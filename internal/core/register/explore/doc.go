// Package explore tests the state machines of package register with simulated
// schedules, each determined by a seed: messages are delivered, dropped,
// duplicated and reordered; members crash, freeze, restart and lose their disks.
//
// An oracle checks the results that members report: a version has only one value,
// every chosen value builds on those chosen before it, a resend gets the same
// outcome, and a read isn't stale.
//
// Half of the schedules are guided (compare S. Burckhardt et al., "A Randomized
// Scheduler with Probabilistic Guarantees of Finding Bugs", 2010): channels
// have random priorities that are redrawn now and then, so that some channels
// deliver nothing for long, and one member, the victim, may lose its disk right
// after it answered a proposer.
package explore
