package explore

// Steps is the number of random actions in a schedule.
const Steps = 200

// Fault is a defect that is planted into the members, to show that the
// explorer finds it.
type Fault int

const (
	// NoFault plants none.
	NoFault Fault = iota
	// VotesEmpty lets a member vote right after it lost its disk.
	VotesEmpty
	// CopiesOnly repairs by copying value and promise from others, unfenced.
	CopiesOnly
	// NoGeneration fences, but nobody learns of generations. No old image of a
	// disk is put back.
	NoGeneration
	// OldImageVotes is NoGeneration with old images that are put back.
	OldImageVotes
)

// profiles are the mixes of actions that schedules take in turn.
var profiles = []weights{
	{deliver: 1000, duplicate: 20, drop: 10, change: 40, resend: 15, retry: 30, read: 15, join: 40, crash: 3, lose: 6, freeze: 10, putBack: 6},
	{deliver: 1000, duplicate: 50, drop: 60, change: 40, resend: 15, retry: 60, read: 15, join: 60, crash: 10, lose: 12, freeze: 20, putBack: 10},
	{deliver: 1000, duplicate: 5, drop: 20, change: 60, resend: 5, retry: 60, join: 60, lose: 6},
}

// guided is the mix of a schedule with a victim.
var guided = weights{deliver: 1000, duplicate: 5, drop: 5, change: 50, resend: 5, retry: 40, read: 5, join: 20}

// Schedule runs the schedule of a seed. It returns an error when what members
// claimed in it can't all be true.
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
		s.shuffle()
	}
	return s.run(Steps)
}
