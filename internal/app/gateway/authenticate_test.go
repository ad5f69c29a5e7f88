package gateway_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/fleet"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// keyedRoutes returns a configuration with two accounts.
func keyedRoutes() fleet.Config {
	priority := 7
	public := route("public", "/public/", true, 2)
	public.Public = true
	homes := route("homes", "/homes/", true, 2)
	homes.Regions = []string{"east", "west"}
	return fleet.Config{
		Version: 1, Decoder: fleet.DecoderRelease, Services: []fleet.Service{{Name: "s"}}, Authenticate: true,
		Routes: []fleet.Route{route("safe", "/safe/", true, 2), public, homes},
		Accounts: []fleet.Account{
			{Name: "a", KeyDigests: [][]byte{fleet.KeyDigest("ka")}, Priority: &priority, Regions: []string{"west", "north"}, RatePerSecond: 5},
			{Name: "b", KeyDigests: [][]byte{fleet.KeyDigest("kb")}, Regions: []string{"north"}},
		},
	}
}

// TestAuthenticate guards against a request that runs without the account that it needs, or
// with the rights of another.
func TestAuthenticate(t *testing.T) {
	cases := []struct {
		name, path string
		key        port.Key
		fault      port.KeyFault
		reason     verdict.Reason
		account    string
		priority   int
		regions    []string
	}{
		{"known key", "/safe/", "ka", "", "", "a", 7, []string{"west", "north"}},
		{"unknown key", "/safe/", "kx", "", verdict.ReasonUnauthenticated, "", 0, nil},
		{"no key", "/safe/", "", port.KeyMissing, verdict.ReasonUnauthenticated, "", 0, nil},
		{"repeated key", "/safe/", "", port.KeyRepeated, verdict.ReasonUnauthenticated, "", 0, nil},
		{"no route and no key", "/none/", "", port.KeyMissing, verdict.ReasonNoRoute, "", 0, nil},
		{"public", "/public/", "", port.KeyMalformed, "", "", 0, nil},
		{"public with an unknown key", "/public/", "kx", "", "", "", 0, nil},
		{"public with a known key", "/public/", "kb", "", "", "b", 0, []string{"north"}},
		{"regions of both", "/homes/", "ka", "", "", "a", 7, []string{"west"}},
		{"no common region", "/homes/", "kb", "", verdict.ReasonNoRegion, "", 0, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var slot port.SlotRequest
			controller := &fakeController{config: keyedRoutes(), answer: func(r port.SlotRequest) (dispatch.Decision, error) {
				slot = r
				return dispatch.Decision{Grant: "g", Endpoint: registry.Endpoint{ID: "e", Address: "e:1"}}, nil
			}}
			e := &endpoints{ends: []error{nil}}
			r := request(c.path)
			r.Key, r.KeyFault, r.Method = c.key, c.fault, "GET"
			g := startGateway(t, controller, e)
			early, refused := g.Refuse(t.Context(), r)
			answer := g.Serve(t.Context(), r)
			is.Equal(refused, c.reason != "")
			if c.reason != "" {
				is.Equal(verdict.ReasonOf(early.Err), c.reason)
				is.Equal(verdict.ReasonOf(answer.Err), c.reason)
				is.Equal(e.calls, 0)
				return
			}
			is.NoErr(answer.Err)
			is.True(e.last.Identify)
			is.Equal(e.last.Account, c.account)
			is.Equal(slot.Account, c.account)
			is.Equal(slot.Weight, 5.0) // b has no rate, and a's is the mean
			is.Equal(slot.Priority, c.priority)
			is.Equal(slot.Regions, c.regions)
			is.Equal(slot.Fingerprint, fingerprint.OfAccount(c.account, "shop", "GET", "", nil))
			is.True(c.account == "" || slot.Fingerprint != fingerprint.Of("shop", "GET", "", nil))
		})
	}
}

// TestAuthenticateAlone guards against a request that reaches an endpoint with the client's
// key, or without a key, because no dispatcher answers.
func TestAuthenticateAlone(t *testing.T) {
	is := is.New(t)
	c := &fakeController{config: keyedRoutes()}
	c.answer = func(port.SlotRequest) (dispatch.Decision, error) {
		return dispatch.Decision{Grant: "g", Region: "west", Endpoint: registry.Endpoint{ID: "e", Service: "s", Address: "e:1", Slots: 4}}, nil
	}
	e := &endpoints{ends: []error{nil}}
	g := startGateway(t, c, e)
	ask := func(key port.Key) error {
		r := request("/safe/")
		r.Key = key
		return g.Serve(context.Background(), r).Err
	}
	is.NoErr(ask("ka"))
	c.mu.Lock()
	c.answer = func(port.SlotRequest) (dispatch.Decision, error) { return dispatch.Decision{}, errors.New("down") }
	c.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	is.NoErr(ask("ka"))
	is.Equal(e.calls, 2)
	is.True(e.last.Identify)
	is.Equal(e.last.Account, "a")
	is.Equal(verdict.ReasonOf(ask("kx")), verdict.ReasonUnauthenticated)
	is.True(ask("kb") != nil) // its regions don't include the endpoint's
	is.Equal(e.calls, 2)
}
