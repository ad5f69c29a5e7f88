package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes, the same on all machines.
const (
	frontPort     = 8144
	readyPort     = 8140
	controlPort   = 8146
	directoryPort = 8143
	internalFirst = 7660
	internalLast  = 7675
	metricsPort   = 9464
	workerPort    = 8080
)

// restartDelay is the time after which the platform starts a process again that has
// ended by itself.
const restartDelay = 300 * time.Millisecond

// zone is a failure domain with its region and its numbers of machines.
type zone struct {
	name, region string
	fronts       int
}

// deployment holds the settings of a small deployment, as its users' page gives them.
type deployment struct {
	zones  []zone
	bounds map[string]any
	// heartbeat is the time between two heartbeats of a worker.
	heartbeat time.Duration
}

// machine is one machine with its process.
type machine struct {
	fleet *fleet
	name  string
	ip    string
	zone  zone
	core  bool

	mu      sync.Mutex
	command *exec.Cmd
	// down is set while the process is meant to be ended.
	down bool
	// ends counts the times when the process ended by itself.
	ends int
}

// fleet is a running deployment.
type fleet struct {
	deployment
	record  *record
	root    string
	folder  string
	network string
	machines,
	fronts, cores []*machine
	seeds   []string
	workers []*worker

	mu sync.Mutex
	// lastCoreEvent is when a process of the core was last killed, stopped, started,
	// frozen or thawed.
	lastCoreEvent time.Time
}

// newFleet lays out the machines on loopback addresses that nothing uses yet.
func newFleet(d deployment, r *record, root string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{deployment: d, record: r, root: root, folder: folder}
	for range 50 {
		f.network = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if f.free() {
			break
		}
	}
	next := 1
	add := func(z zone, core bool, n int) {
		kind := "front"
		if core {
			kind = "core"
		}
		m := &machine{fleet: f, name: fmt.Sprintf("%s-%s-%d", kind, z.name, n), ip: fmt.Sprintf("%s%d", f.network, next), zone: z, core: core, down: true}
		next++
		f.machines = append(f.machines, m)
		if core {
			f.cores = append(f.cores, m)
		} else {
			f.fronts = append(f.fronts, m)
		}
	}
	for _, z := range d.zones {
		add(z, true, 1)
	}
	for _, z := range d.zones {
		for n := range z.fronts {
			add(z, false, n+1)
		}
	}
	for _, m := range f.cores[:3] {
		f.seeds = append(f.seeds, fmt.Sprintf("%s:%d", m.ip, controlPort))
	}
	return f, nil
}

// free reports whether the network's first addresses can be listened on.
func (f *fleet) free() bool {
	for _, port := range []int{frontPort, controlPort, internalFirst, metricsPort} {
		for _, host := range []int{1, 7, 22} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", f.network, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// workerAddress returns the address of the n-th worker.
func (f *fleet) workerAddress(n int) string {
	return fmt.Sprintf("%s%d:%d", f.network, 100+n, workerPort)
}

// settings writes the settings file of a machine and returns its path. JSON is YAML.
func (m *machine) settings(bootstrap bool) (string, error) {
	f := m.fleet
	zones := make(map[string]string)
	for _, z := range f.zones {
		zones[z.name] = z.region
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
	s := map[string]any{
		"nodeName": m.name, "ip": m.ip, "zone": m.zone.name, "region": m.zone.region, "zones": zones,
		"internalPortRange": []int{internalFirst, internalLast}, "seeds": f.seeds, "bootstrap": bootstrap,
		"discovery": "registration", "entry": "directory", "heartbeatS": f.heartbeat.Seconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "places"},
		"faultTolerance": map[string]any{"machines": 2, "zones": 1, "regions": 1}, "bounds": f.bounds,
	}
	if m.core {
		s["role"], s["machineClass"], s["serves"], s["faultCounted"] = "controller", "core", []string{"control", "directory"}, true
		s["listen"] = map[string]any{"control": at(controlPort), "directory": at(directoryPort)}
		s["limits"] = map[string]any{"cpuShare": 0.48, "cores": 1, "memoryMb": 280, "maxFds": 4096, "linkMbps": 1000.0, "diskMb": 256}
		s["dataDir"] = filepath.Join(f.folder, "data-"+m.name)
	} else {
		s["role"], s["machineClass"], s["serves"], s["faultCounted"] = "gateway", "front", []string{"front"}, false
		s["listen"] = map[string]any{"front": at(frontPort), "ready": at(readyPort)}
		s["limits"] = map[string]any{"cpuShare": 0.224, "cores": 1, "memoryMb": 206, "maxFds": 2870, "linkMbps": 700.0, "diskMb": 0}
		s["dataDir"] = nil
	}
	text, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(f.folder, m.name+".yaml")
	return path, os.WriteFile(path, text, 0o600)
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start(bootstrap bool) error {
	path, err := m.settings(bootstrap)
	if err != nil {
		return err
	}
	role := "gateway"
	if m.core {
		role = "controller"
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command("target/sassafrasreach", role, "-metrics", fmt.Sprint(metricsPort))
	c.Dir, c.Stdout, c.Stderr = m.fleet.root, log, log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "SASSAFRASREACH_NODE_FILE=" + path}
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := c.Start(); err != nil {
		return err
	}
	m.command, m.down = c, false
	m.coreEvent()
	go m.watch(c, log)
	return nil
}

// watch starts the process again if it ends by itself.
func (m *machine) watch(c *exec.Cmd, log *os.File) {
	err := c.Wait()
	_ = log.Close()
	m.mu.Lock()
	ended := m.command == c && !m.down
	if ended {
		m.ends++
	}
	m.mu.Unlock()
	if !ended {
		return
	}
	m.fleet.record.say("process of %s ended by itself: %v", m.name, err)
	time.Sleep(restartDelay)
	if err := m.start(false); err != nil {
		m.fleet.record.say("%s: %v", m.name, err)
	}
}

// kill sends SIGKILL to the machine's process.
func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil && !m.down {
		m.down = true
		_ = m.command.Process.Kill()
		m.coreEvent()
	}
}

// coreEvent notes that the core was disturbed, if the machine belongs to it.
func (m *machine) coreEvent() {
	if !m.core {
		return
	}
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.fleet.lastCoreEvent = time.Now()
}

// stableAt reports whether no process of the core was killed or started in the window
// before now.
func (f *fleet) stableFor(window time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lastCoreEvent) >= window
}

// startAll starts all machines for the first time.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := m.start(true); err != nil {
			return err
		}
	}
	return nil
}

// stop kills all processes and removes the folder.
func (f *fleet) stop() {
	for _, m := range f.machines {
		m.kill()
	}
	for _, m := range f.machines {
		if m.command != nil {
			for range 100 {
				if syscall.Kill(m.command.Process.Pid, 0) != nil {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept:", f.folder)
	}
}
