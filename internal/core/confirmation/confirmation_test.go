package confirmation_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sassafrasreach/internal/core/confirmation"
	"sassafrasreach/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, testseed.Settings{Seed: 20261206}) }

// TestLeaseNeverOutlivesProof guards against a lease that is valid later than the bound after
// the last time at which the state was certainly the newest, whatever stands still or is
// delayed on the way: a voter, the exchange, the controller, or the answer to the gateway.
func TestLeaseNeverOutlivesProof(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delay := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(6*time.Second)).Draw(t, name))
		}
		bound := time.Duration(rapid.Int64Range(int64(time.Second), int64(10*time.Second)).Draw(t, "bound"))
		// True times, on one clock. The controller sends the exchange, the voter makes its
		// answer, and a state is accepted right after that.
		exchangeSent := time.Minute
		accepted := exchangeSent + delay("to the voter")
		// The gateway sends its call, before or after.
		sent := exchangeSent + delay("gateway sends") - 3*time.Second
		callReceived := sent + delay("to the controller")
		taken := max(callReceived, accepted) + delay("held and answered")
		received := taken + delay("to the gateway")
		// Each clock may run 0.5% faster or slower than the true one, two of them by 1%
		// apart: the margin of 2% covers that in the age and in the term.
		rate := func(name string) float64 { return rapid.Float64Range(0.995, 1.005).Draw(t, name) }
		controller, gateway := rate("controller's clock"), rate("gateway's clock")
		at := func(d time.Duration, rate float64) time.Duration { return time.Duration(float64(d) * rate) }
		former := rapid.Bool().Draw(t, "former release")
		held := at(taken-callReceived, controller)
		if former {
			held = 0
		}
		lease := confirmation.Lease{}.Renewed(confirmation.Answer{
			Sent: at(sent, gateway), Received: at(received, gateway), Held: held, Age: at(taken-exchangeSent, controller),
		})
		// The end of the lease in true time. An answer that is older than the bound proves
		// nothing, so that its error doesn't matter.
		end := time.Duration(float64(lease.Since+confirmation.Term(bound)) / gateway)
		if taken-min(exchangeSent, sent) <= bound && end > accepted+bound {
			t.Fatalf("the lease ends %v after the state's end, the bound is %v", end-accepted, bound)
		}
		if !lease.Valid(lease.Since, bound) || lease.Valid(lease.Since+confirmation.Term(bound), bound) {
			t.Fatal("the lease isn't valid for its term")
		}
	})
}

// TestLeaseOrder guards against an answer that arrives late and shortens the lease, and
// against a lease that is valid before any confirmation.
func TestLeaseOrder(t *testing.T) {
	is := is.New(t)
	const bound = 5 * time.Second
	is.True(!confirmation.Lease{}.Valid(0, bound))
	lease := confirmation.Lease{}.Renewed(confirmation.Answer{Sent: 10 * time.Second, Received: 11 * time.Second, Held: time.Second})
	is.Equal(lease.Since, 11*time.Second)
	is.Equal(lease.Renewed(confirmation.Answer{Sent: 9 * time.Second, Received: 12 * time.Second}), lease)
	held := confirmation.Lease{}.Renewed(confirmation.Answer{Sent: 10 * time.Second, Received: 11 * time.Second, Held: time.Hour})
	is.Equal(held, lease) // no answer was taken after its receipt
	negative := confirmation.Lease{}.Renewed(confirmation.Answer{Sent: 10 * time.Second, Received: 11 * time.Second, Held: -time.Hour, Age: -time.Hour})
	is.Equal(negative.Since, 10*time.Second)
}
