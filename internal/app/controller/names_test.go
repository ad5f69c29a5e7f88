package controller_test

import (
	"bytes"
	"context"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/fleet"
)

// TestNamesSurviveDiskLoss guards against an accepted configuration that is read back as
// another one after all controllers lost power and two of them their disks, because of a
// name at the edges of what is allowed.
func TestNamesSurviveDiskLoss(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 2*time.Millisecond)
	is.NoErr(c.order(0, 2))
	c.settle()
	name := "b\u00fcro \x00\u2028<&>\ufffd\U0010ffff"
	change := fleet.Change{Base: 2, Source: []byte("source \xff\x00 " + name), Config: fleet.Config{
		Version: 1 << 63, Services: []fleet.Service{{Name: name}},
		Routes: []fleet.Route{{
			Name: name, Host: "a_b~!$&'()*+,;=.example", Prefix: "/b%C3%BCro%2f/~!$&'()*+,;=:@/", Timeout: time.Second, Attempts: 1,
			Parts: []fleet.Part{{Service: name, Weight: 0.1}}, Regions: []string{"nowhere"},
		}},
	}}
	ctx, cancel := context.WithTimeout(t.Context(), orderLimit)
	defer cancel()
	is.NoErr(c.at("c1:1").controller.Configure(ctx, change))
	for address := range c.members {
		c.kill(address)
	}
	c.wipe("a1:1")
	c.wipe("b2:1")
	for address := range c.members {
		c.start(address, false)
	}
	for address := range c.members {
		state, err := c.readState(address, readLimit)
		is.NoErr(err)
		is.True(reflect.DeepEqual(state.Config, change.Config))
		is.True(bytes.Equal(state.Source, change.Source))
	}
	ctx, cancel = context.WithTimeout(t.Context(), orderLimit)
	defer cancel()
	is.NoErr(c.at("c2:1").controller.Configure(ctx, change)) // a resend
}
