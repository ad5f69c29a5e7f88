package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what happened to a file, one line an event, with the seconds since
// the start of the script.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

func (r *record) since(t time.Time) float64 { return t.Sub(r.began).Seconds() }

// write adds a line.
func (r *record) write(format string, args ...any) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", r.since(now), fmt.Sprintf(format, args...))
}

// say adds a line and prints it.
func (r *record) say(format string, args ...any) {
	r.write(format, args...)
	fmt.Printf("%8.3f  %s\n", r.since(time.Now()), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
