package memory

const (
	// unknownBytes is the memory of a process if the settings don't say it.
	unknownBytes = 512 << 20
	// budgetPercent is the part of a process's memory that the budget may hand out. The
	// rest is for the program, what controllers know, and garbage.
	budgetPercent = 62
	// reservedPercent is the part of the budget that large bodies can't get. With 136 MB
	// a body of 64 MiB still fits beside it.
	reservedPercent = 16
	// responsePercent is the part of a process's memory that responses may hold. They come
	// and go fast, and the collector lets as much garbage stand beside them.
	responsePercent = 25
	// readAheadPercent is the part that requests may hold which were read while earlier
	// ones are unanswered.
	readAheadPercent = 3
	// connectionBytes is what an open connection takes: its goroutine and its buffers.
	connectionBytes = 24 << 10
	// connectionShare divides the budget: connections, with the heads that are read from
	// them, get that part of it at most.
	connectionShare = 2
)

// ForProcess returns the budget of a process that may use so many bytes in all; 0 if that
// isn't known.
func ForProcess(memoryBytes int64) *Budget {
	if memoryBytes <= 0 {
		memoryBytes = unknownBytes
	}
	limit := memoryBytes / 100 * budgetPercent
	b := NewReservedBudget(limit, limit/100*reservedPercent)
	b.caps[Connections] = limit / connectionShare
	b.caps[Responses] = memoryBytes / 100 * responsePercent
	b.caps[ReadAhead] = memoryBytes / 100 * readAheadPercent
	return b
}

// Largest returns the bytes that a single large body or order can hold at most.
func (b *Budget) Largest() int64 { return b.limit - b.reserved }

// TakeConnection takes what an open connection needs.
func (a *Account) TakeConnection() bool { return a.Take(connectionBytes) }

// MaxConnections returns the number of connections for which the budget has room.
func (b *Budget) MaxConnections() int { return int(b.limit / connectionShare / connectionBytes) }
