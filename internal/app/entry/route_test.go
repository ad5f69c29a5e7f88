package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/verdict"
)

// TestEmptyRanking asks an entry for which no place may serve a request: it
// waits while it hasn't settled, and tells the caller at once when it has.
func TestEmptyRanking(t *testing.T) {
	for _, up := range []time.Duration{100 * time.Millisecond, settle} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, configOf(t, 1))
			e := w.start("a1", 1)
			time.Sleep(up)
			begun := time.Now()
			answer := serve(e, w.request())
			is.Equal(answer.Verdict(), verdict.NotRun)
			is.Equal(verdict.ReasonOf(answer.Err), verdict.ReasonNoEndpoint)
			is.Equal(time.Since(begun) == 0, up == settle)
			is.True(time.Since(begun) <= patience)
		})
	}
}
