package controller_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReplacementsThenDiskLosses guards against an acknowledged configuration that can't
// be read any more because the voters that were replaced still count when two other
// disks are lost. Planned ones are told to stop, the others end without a signal.
func TestReplacementsThenDiskLosses(t *testing.T) {
	for name, planned := range map[string]bool{"planned": true, "killed": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 5*time.Millisecond)
			is.NoErr(c.order(0, 2))
			c.settle()
			c.settle()
			for _, zone := range []string{"a1", "b1"} {
				if planned {
					c.join(zone)
					time.Sleep(1200 * time.Millisecond)
					c.members[zone+":1"].controller.Stop()
					time.Sleep(time.Second)
				}
				c.kill(zone + ":1")
				if !planned {
					c.join(zone)
				}
			}
			time.Sleep(4 * time.Second) // the replaced ones don't count as lost from here on
			is.NoErr(c.order(2, 5))
			for _, address := range []string{"a2:1", "b2:1"} {
				c.kill(address)
				c.wipe(address)
				c.start(address, false)
			}
			version, err := c.read("c1:1", readLimit)
			is.NoErr(err)
			is.Equal(version, uint64(5))
			is.NoErr(c.order(5, 9))
		})
	}
}

// join starts another controller in a failure domain, with an empty disk.
func (c *cluster) join(zone string) {
	address := zone + ":2"
	c.mu.Lock()
	c.members[address] = &member{name: address, zone: zone, region: regions[zone], disk: &disk{}, hints: &hintDisk{}, evidence: &evidenceDisk{}, clock: &suspendedClock{}}
	c.mu.Unlock()
	c.start(address, false)
}
