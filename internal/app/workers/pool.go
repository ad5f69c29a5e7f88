package workers

import (
	"context"
	"errors"
	"sync"
)

// ErrClosed is the error of a job that is submitted after Close.
var ErrClosed = errors.New("worker pool is closed")

// Pool is a fixed number of workers that take jobs from one unbuffered
// channel.
type Pool struct {
	jobs chan func()
	done chan struct{}
	once sync.Once
	wg   sync.WaitGroup
}

// New returns a pool of size running workers.
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

// Submit waits for a free worker and hands it the job. When it returns an
// error (that of ctx, or ErrClosed) the job will never run.
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

// Close stops each worker once its current job has ended, and waits for them.
func (p *Pool) Close() {
	p.once.Do(func() { close(p.done) })
	p.wg.Wait()
}
