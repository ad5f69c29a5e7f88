package explore

// Steps is the number of random actions in a schedule.
const Steps = 200

// Fault is a defect planted in the members, to show that the explorer finds it.
type Fault int

const (
	// NoFault plants no defect.
	NoFault Fault = iota
	// VoteWithoutRepair lets a member vote without a repair after it lost its disk.
	VoteWithoutRepair
	// RepairWithoutFence repairs a member by copying value and promise from others,
	// without a fence.
	RepairWithoutFence
	// NoGeneration repairs with a fence, but answers carry neither generations
	// nor fences. Old images of disks are not restored.
	NoGeneration
	// OldImageVotes is NoGeneration, except that old images are restored.
	OldImageVotes
)

// profiles are the action weights of unguided schedules, selected by seed.
var profiles = []weights{
	{deliver: 1000, duplicate: 20, drop: 10, change: 40, resend: 15, retry: 30, read: 15, join: 40, crash: 3, lose: 6, freeze: 10, restoreImage: 6},
	{deliver: 1000, duplicate: 50, drop: 60, change: 40, resend: 15, retry: 60, read: 15, join: 60, crash: 10, lose: 12, freeze: 20, restoreImage: 10},
	{deliver: 1000, duplicate: 5, drop: 20, change: 60, resend: 5, retry: 60, join: 60, lose: 6},
}

// guided holds the action weights of guided schedules.
var guided = weights{deliver: 1000, duplicate: 5, drop: 5, change: 50, resend: 5, retry: 40, read: 5, join: 20}

// Schedule runs the schedule of a seed. It returns an error if the oracle detects
// a violation.
func Schedule(f Fault, seed uint64) error {
	members := 3
	if seed%5 == 0 {
		members = 5
	}
	w := profiles[seed%uint64(len(profiles))]
	s := newSim(seed, f, w, members, seed%4 != 0)
	if seed%2 == 0 {
		s.weights = guided
		s.victim = s.members[s.rng.IntN(members)]
		s.drawPriorities()
	}
	return s.run(Steps)
}
