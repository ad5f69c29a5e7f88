// Command standin2 plays the scripts of review/6 to review/10: it starts the project's
// programs as the deploy file does, with stand-ins for clients, workers and the
// platform, and judges one rule.
//
//	standin2 CASE ROOT RECORD
//
// ROOT is the repository, RECORD the file for what was sent, answered and run. TROUBLE=0
// leaves the disruption out. The exit code is 1 if the rule was broken, 0 if it held,
// and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld, exitBroken, exitFailed = 0, 1, 2
	// longest is the time after which a case is given up.
	longest = 112 * time.Second
)

// play plays a case and reports whether the rule was broken.
type play func(f *fleet, trouble bool) (broken bool, err error)

var cases = map[string]struct {
	deployment deployment
	play       play
}{
	"turned":     {calibra, playTurned},
	"restarts":   {hanbit, playRestarts},
	"sameid":     {calibra, playSameID},
	"half":       {calibra, playHalf},
	"left":       {calibra, playLeft},
	"badbyte":    {calibra, playBadByte},
	"firststart": {hanbit, playFirstStart},
	"uploads":    {hanbit, playUploads},
	"unreadable": {calibra, playUnreadable},
}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE ROOT RECORD")
		return exitFailed
	}
	c, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitFailed
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	f, err := newFleet(c.deployment, r, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	r.say("case %s, trouble %v, network %s0/24", os.Args[1], trouble, f.network)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				done <- result{err: fmt.Errorf("%v", p)}
			}
		}()
		broken, err := c.play(f, trouble)
		done <- result{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case got := <-done:
		switch {
		case got.err != nil:
			r.say("the case could not run: %v", got.err)
			return exitFailed
		case got.broken:
			r.say("the rule was BROKEN")
			return exitBroken
		default:
			r.say("the rule held")
			return exitHeld
		}
	case <-stop:
	case <-time.After(longest):
		r.say("the case took too long")
	}
	return exitFailed
}
