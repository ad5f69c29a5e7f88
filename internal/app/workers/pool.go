package workers

import (
	"context"
	"errors"
	"sync"
)

// ErrClosed is returned for a job that comes after Close.
var ErrClosed = errors.New("worker pool is closed")

// Pool is a fixed number of workers over one queue without a buffer.
type Pool struct {
	jobs chan func()
	done chan struct{}
	once sync.Once
	wg   sync.WaitGroup
}

// New starts a pool of size workers.
func New(size int) *Pool {
	p := &Pool{jobs: make(chan func()), done: make(chan struct{})}
	for range size {
		p.wg.Go(p.work)
	}
	return p
}

func (p *Pool) work() {
	for {
		select {
		case job := <-p.jobs:
			job()
		case <-p.done:
			return
		}
	}
}

// Submit hands job to a free worker. When it returns an error (that of ctx, or
// ErrClosed) the job will never run.
func (p *Pool) Submit(ctx context.Context, job func()) error {
	select {
	case p.jobs <- job:
		return nil
	default:
	}
	select {
	case p.jobs <- job:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-p.done:
		return ErrClosed
	}
}

// Close ends the workers after the jobs that they run, and waits for them.
func (p *Pool) Close() {
	p.once.Do(func() { close(p.done) })
	p.wg.Wait()
}
