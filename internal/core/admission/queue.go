package admission

import (
	"slices"
	"time"
)

// queue holds tickets in the order of arrival.
type queue struct {
	tickets []Ticket
}

func (q *queue) len() int { return len(q.tickets) }

func (q *queue) push(t Ticket) { q.tickets = append(q.tickets, t) }

// cancel removes a ticket and says whether it was there.
func (q *queue) cancel(id uint64) bool {
	at := slices.IndexFunc(q.tickets, func(t Ticket) bool { return t.ID == id })
	if at < 0 {
		return false
	}
	q.tickets = slices.Delete(q.tickets, at, at+1)
	return true
}

// expire removes the tickets that can't end in time when their request takes
// as long as needed, and appends their IDs to expired.
func (q *queue) expire(now time.Time, needed time.Duration, expired []uint64) []uint64 {
	q.tickets = slices.DeleteFunc(q.tickets, func(t Ticket) bool {
		if now.Add(needed).Before(t.Deadline) {
			return false
		}
		expired = append(expired, t.ID)
		return true
	})
	return expired
}
