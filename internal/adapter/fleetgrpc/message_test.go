package fleetgrpc

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	fleetv1 "sassafrasreach/api/fleet/v1"
	"sassafrasreach/internal/core/fleet"
)

// sentOrder is the order whose change is in testdata/change.json. Every field of
// the change is set.
var sentOrder = fleet.Order{Change: &fleet.Change{
	Base: 41,
	Config: fleet.Config{
		Version: 42,
		Routes: []fleet.Route{{
			Name: "belts", Host: "belts.example", Prefix: "/v1/", Idempotent: true, Priority: 2,
			Target: 300 * time.Millisecond, Timeout: 2 * time.Second, Attempts: 3, Sticky: true,
			Parts:   []fleet.Part{{Service: "belt-control", Weight: 0.75}, {Service: "belt-next", Weight: 0.25}},
			Regions: []string{"north", "south"},
		}},
		Services: []fleet.Service{{
			Name: "belt-control", HealthPath: "/health", Connections: 64, ColdPerSecond: 1.5, ColdTime: 90 * time.Second,
		}},
		Limits: fleet.Limits{
			HeaderBytes: 16384, BodyBytes: 1048576, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute,
		},
	},
	Source: []byte("{\"version\": \"r42\"}"),
}}

// TestSentChangeKeepsItsNames guards against a renamed Go field that changes a
// name on the wire: a change that an earlier release sent must decode to the same
// fields, and encode to the same bytes again.
func TestSentChangeKeepsItsNames(t *testing.T) {
	is := is.New(t)
	sent, err := os.ReadFile("testdata/change.json")
	is.NoErr(err)
	order, err := orderFromProto(&fleetv1.OrderRequest{Change: sent})
	is.NoErr(err)
	is.Equal(order, sentOrder)
	again, err := orderToProto(order)
	is.NoErr(err)
	is.Equal(string(again.GetChange()), string(sent))
}
