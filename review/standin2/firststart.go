package main

import (
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// awaitDisks waits until the disk of each machine of the core holds a record.
func (f *fleet) awaitDisks(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		filled := 0
		for _, m := range f.cores {
			if info, err := os.Stat(filepath.Join(f.folder, "data-"+m.name, "voter")); err == nil && info.Size() > 0 {
				filled++
			}
		}
		if filled == len(f.cores) {
			return nil
		}
	}
	return errors.New("the controllers wrote nothing to their disks")
}

// playFirstStart plays a kill of all processes of the core right after the first start.
// They are back within a second, with their disks.
func playFirstStart(f *fleet, trouble bool) (bool, error) {
	const recovery = 15 * time.Second
	must(f.startAll())
	if err := f.awaitDisks(10 * time.Second); err != nil {
		return false, err
	}
	f.record.say("all disks of the core hold the first record of their process")
	if trouble {
		time.Sleep(200 * time.Millisecond)
		f.record.say("all processes of the core are killed; their disks are preserved")
		for _, m := range f.cores {
			m.kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, m := range f.cores {
			if err := m.start(false); err != nil {
				return false, err
			}
		}
		f.record.say("they run again, with bootstrap false: the system doesn't start for the first time, and no disk is empty")
	}
	back := time.Now()
	f.startWorkers(map[string]serviceSpec{"belt-control": {20, 3, 100 * time.Millisecond, false}, "lot-ledger": {12, 3, 100 * time.Millisecond, false}},
		func(w *worker, r *http.Request, _ func()) {
			f.record.write("worker %s %s runs %s %s %s", w.service, w.id, r.Header.Get("Attempt-Id"), r.Method, r.URL.Path)
		})
	err := f.configure(configuration(1, 0, []routeSpec{
		{"/status/", "safe", "belt-control", 0.3, 0.8, 2, 2},
		{"/close/", "unsafe", "lot-ledger", 0.25, 0.6, 2, 0},
	}, "belt-control", "lot-ledger"), 30*time.Second)
	f.record.say("first configuration, sent again until it is acknowledged, 30 s at most: %v", err)
	time.Sleep(max(0, recovery-time.Since(back)))
	c := newCrashing(f, 3*time.Second)
	done := make(chan struct{})
	others := c.traffic(24, []request{
		{method: http.MethodGet, host: host, path: "/status/", deadline: 2500 * time.Millisecond},
		{method: http.MethodPost, host: host, path: "/close/", body: []byte("{}"), deadline: 1500 * time.Millisecond},
	}, done)
	time.Sleep(15 * time.Second)
	close(done)
	others.Wait()
	f.record.say("requests sent later than %v after the processes were back, by status (0: no answer): %v", recovery, c.others)
	return c.others[http.StatusOK] == 0, nil
}
