package gateway_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// TestQuotaRefusals guards against a refusal for the quota that loses its reason or its
// RetryAfter, against slot requests for each request of an account far beyond its quota, and
// against refusals of another account.
func TestQuotaRefusals(t *testing.T) {
	is := is.New(t)
	asked := 0
	controller := &fakeController{config: keyedRoutes(), answer: func(r port.SlotRequest) (dispatch.Decision, error) {
		if r.Account != "a" {
			return dispatch.Decision{Reason: dispatch.ReasonOverload, RetryAfter: time.Second}, nil
		}
		asked++
		return dispatch.Decision{Reason: dispatch.ReasonQuota, RetryAfter: time.Minute}, nil
	}}
	g := startGateway(t, controller, &endpoints{ends: []error{nil}})
	send := func(key port.Key, path string) port.ClientAnswer {
		r := request(path)
		r.Key = key
		return g.Serve(t.Context(), r)
	}
	for range 10 {
		answer := send("ka", "/safe/")
		is.Equal(verdict.ReasonOf(answer.Err), verdict.ReasonQuota)
		is.Equal(verdict.Of(answer.Err), verdict.NotRun)
		is.True(answer.RetryAfter > 50*time.Second)
	}
	is.Equal(asked, 1)
	is.Equal(g.Gauges()["quota.held"], int64(9))
	is.Equal(verdict.ReasonOf(send("kb", "/safe/").Err), verdict.ReasonOverload)
	time.Sleep(400 * time.Millisecond)
	send("ka", "/safe/")
	is.Equal(asked, 2)
}

// TestQuotaWithoutDispatcher guards against an account that runs more requests while no
// dispatcher answers than it was granted in the last second.
func TestQuotaWithoutDispatcher(t *testing.T) {
	is := is.New(t)
	silent, grants := false, 0
	controller := &fakeController{config: keyedRoutes(), answer: func(port.SlotRequest) (dispatch.Decision, error) {
		if silent {
			return dispatch.Decision{}, errors.New("unreachable")
		}
		grants++
		return dispatch.Decision{
			Grant: fmt.Sprint(grants), Region: "west", Endpoint: registry.Endpoint{ID: fmt.Sprint("e", grants%4), Service: "s", Slots: 4, Address: "e:1"},
		}, nil
	}}
	g := startGateway(t, controller, &endpoints{ends: []error{nil}})
	served := func(n int) int {
		count := 0
		for range n {
			r := request("/safe/")
			r.Key = "ka"
			if g.Serve(t.Context(), r).Err == nil {
				count++
			}
		}
		return count
	}
	is.Equal(served(8), 8)
	controller.mu.Lock()
	silent = true
	controller.mu.Unlock()
	is.Equal(served(20), 8)
}
