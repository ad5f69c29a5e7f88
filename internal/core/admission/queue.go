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

// cancel removes a ticket and reports whether it was queued.
func (q *queue) cancel(id uint64) bool {
	at := slices.IndexFunc(q.tickets, func(t Ticket) bool { return t.ID == id })
	if at < 0 {
		return false
	}
	q.tickets = slices.Delete(q.tickets, at, at+1)
	return true
}

// expire removes the tickets whose request would miss its deadline if it ran
// for serviceTime from now, and appends their IDs to expired.
func (q *queue) expire(now time.Time, serviceTime time.Duration, expired []uint64) []uint64 {
	q.tickets = slices.DeleteFunc(q.tickets, func(t Ticket) bool {
		if now.Add(serviceTime).Before(t.Deadline) {
			return false
		}
		expired = append(expired, t.ID)
		return true
	})
	return expired
}
