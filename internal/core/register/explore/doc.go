// Package explore runs seeded schedules over the register's pure state
// machines: messages are delivered, dropped, duplicated and reordered, members
// crash, freeze, restart and lose their disks. An oracle checks what members
// claim: one value per version, chosen values never vanish, resends are told
// the same outcome, reads aren't stale.
//
// Half of the schedules are guided (compare S. Burckhardt et al., "A Randomized
// Scheduler with Probabilistic Guarantees of Finding Bugs", 2010): channels
// have random priorities that change now and then, so that some stay silent
// for long, and one member loses its disk right after it answered a proposer.
package explore
