// Command standin plays the cases of the review: it starts the project's own programs
// on loopback addresses and acts as platform, operator, workers and clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes.
const (
	held    = 0
	broken  = 1
	unknown = 2
)

// verdict is the result of a case.
type verdict struct {
	code int
	why  string
}

var cases = map[string]func(r *record, trouble bool) verdict{
	"replace-then-wipe":   replaceThenWipe,
	"leave-after-restart": leaveAfterRestart,
	"leave-unheard":       leaveUnheard,
	"large-bodies":        largeBodies,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(unknown)
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unknown)
	}
	done := make(chan verdict, 1)
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, disruption: %v", os.Args[1], trouble)
	go func() { done <- cases[os.Args[1]](r, trouble) }()
	v := verdict{unknown, "stopped"}
	select {
	case v = <-done:
	case <-stops:
		// The processes end with this one.
	}
	r.add("exit code %d: %s", v.code, v.why)
	fmt.Printf("exit code %d: %s\n", v.code, v.why)
	os.Exit(v.code)
}
