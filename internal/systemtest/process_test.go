package systemtest

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// binary is the path of the binary under test.
var binary string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "sassafrasreach-systemtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "sassafrasreach")
	build := exec.Command("go", "build", "-o", binary, "sassafrasreach/cmd/sassafrasreach")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a process of the binary that can be killed, frozen and restarted.
type process struct {
	t    *testing.T
	name string
	args []string

	mu   sync.Mutex
	cmd  *exec.Cmd
	log  bytes.Buffer
	done chan struct{}
	err  error
}

// logWriter appends to the log of a process, holding the process's mutex.
type logWriter struct{ p *process }

func (w logWriter) Write(b []byte) (int, error) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	return w.p.log.Write(b)
}

func newProcess(t *testing.T, name string, args ...string) *process {
	p := &process{t: t, name: name, args: args}
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, tail(p.text(), 3000))
		}
	})
	p.start()
	return p
}

func tail(s string, n int) string {
	if len(s) > n {
		return s[len(s)-n:]
	}
	return s
}

func (p *process) start() {
	p.t.Helper()
	cmd := exec.Command(binary, p.args...)
	cmd.Stderr = logWriter{p}
	if err := cmd.Start(); err != nil {
		p.t.Fatalf("start %s: %v", p.name, err)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(done)
	}()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// kill sends SIGKILL and waits until the process has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) thaw()   { p.signal(syscall.SIGCONT) }
func (p *process) stop()   { p.signal(syscall.SIGTERM) }

// wait returns the exit error of the process; it fails the test after limit.
func (p *process) wait(limit time.Duration) error {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(limit):
		p.t.Fatalf("%s did not end within %v", p.name, limit)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

func (p *process) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}
