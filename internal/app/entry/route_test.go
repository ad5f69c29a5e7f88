package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/verdict"
)

// TestEmptyRanking sends a request that no place may serve. Right after its
// start the entry may not know of every group yet, so it retries; later it must
// fail the request at once.
func TestEmptyRanking(t *testing.T) {
	for _, up := range []time.Duration{100 * time.Millisecond, settleTime} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			tc := newTestCluster(t, configOf(t, 1))
			e := tc.start("a1", 1)
			time.Sleep(up)
			begun := time.Now()
			answer := serve(e, tc.request())
			is.Equal(answer.Verdict(), verdict.NotRun)
			is.Equal(verdict.ReasonOf(answer.Err), verdict.ReasonNoEndpoint)
			is.Equal(time.Since(begun) == 0, up == settleTime)
			is.True(time.Since(begun) <= requestTimeout)
		})
	}
}
