package systemtest

import (
	"testing"

	"github.com/matryer/is"
)

// TestThinPath is the whole path without faults: a request of each kind through
// each entry, and the resend of a once-only key.
func TestThinPath(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, twoRegions())
	for _, place := range s.doc.Places {
		for _, entry := range s.entriesOf(place.Name) {
			body := s.unique("get")
			r := s.send(entry, place.Name, "GET", "", body)
			is.True(r.whole(body)) // idempotent request through every entry
		}
	}
	answer, err := s.lookup("north-a")
	is.NoErr(err)
	body := s.unique("post")
	key := answer.Home + "." + body
	for _, place := range s.doc.Places {
		for _, entry := range s.entriesOf(place.Name) {
			r := s.send(entry, "north-a", "POST", key, body)
			is.True(r.whole(body)) // the stored answer through every entry
			is.Equal(r.verdict, "ran")
		}
	}
	is.Equal(s.runs.of(body+"/x"), 1)
}
