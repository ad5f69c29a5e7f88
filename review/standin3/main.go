// Command standin3 plays the cases of the third review: it starts the project's programs on
// loopback addresses, with stand-ins for clients, workers, the operator and the platform.
//
//	standin3 CASE PROGRAM FOLDER
//
// It writes FOLDER/record.txt and exits with 0 if the rule held, 1 if it was broken, and 2 if
// the case couldn't run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// verdicts of a case, which are the exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// maxTime bounds a case.
const maxTime = 115 * time.Second

// play is what the cases get.
type play struct {
	record  *recorder
	program string
	trouble bool
}

var cases = map[string]func(*play) int{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE PROGRAM FOLDER")
		os.Exit(failed)
	}
	record, err := newRecorder(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		os.Exit(failed)
	}
	p := &play{record: record, program: program, trouble: os.Getenv("TROUBLE") != "0"}
	record.logf("case %s, trouble %v", os.Args[1], p.trouble)
	time.AfterFunc(maxTime, func() {
		record.logf("the case takes too long")
		os.Exit(failed)
	})
	code := cases[os.Args[1]](p)
	record.logf("exit %d (0: the rule held, 1: it was broken, 2: the case couldn't run)", code)
	os.Exit(code)
}
