package main

import (
	"context"
	"syscall"
	"time"
)

func init() { cases["forget"] = forget }

const (
	// forgetRounds is the number of times that the request comes through two gateways that
	// haven't seen it; the core is killed between them.
	forgetRounds = 5
	// inTouchAfter is how long after a start of the core the request comes again: longer than
	// stableWindow.
	inTouchAfter = stableWindow + time.Second
)

// forget lets the same request come through one gateway after the other. It crashes each worker
// that runs it, before it is answered. Between, all processes of the core are killed.
func forget(p *play) int {
	c, x, err := startCrashing(p, 2*forgetRounds, true)
	if err != nil {
		p.record.logf("%v", err)
		return failed
	}
	defer c.close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.askOthers(ctx)
	for round := range forgetRounds {
		if round > 0 && p.trouble {
			if err := c.killCore(); err != nil {
				p.record.logf("%v", err)
				return failed
			}
		}
		time.Sleep(inTouchAfter)
		for i := range 2 {
			c.sendCrashing(c.gateways[2*round+i], 2*round+i+1)
			time.Sleep(time.Second)
		}
	}
	return x.verdict()
}

// killCore kills all processes of the core at once and starts them again with their disks.
func (c *cluster) killCore() error {
	for _, v := range c.controllers {
		v.signal(syscall.SIGKILL)
	}
	for _, v := range c.controllers {
		v.awaitEnd(5 * time.Second)
	}
	time.Sleep(300 * time.Millisecond)
	c.record.logf("platform: all %d processes of the core killed, and started again with their disks", len(c.controllers))
	for _, v := range c.controllers {
		if err := v.start(false); err != nil {
			return err
		}
	}
	return nil
}
