package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// bounds are the values of a small deployment, those of the Hanbit site file.
const (
	stableWindow = 4 * time.Second
	catchUp      = 4 * time.Second
	drainBound   = 2500 * time.Millisecond
	grace        = 6 * time.Second
	recovery     = 15 * time.Second
	configApply  = 2500 * time.Millisecond
	heartbeat    = 1500 * time.Millisecond
	trafficDelay = 8 * time.Second
)

// ports are the ports of a day; they are the same on all machines.
type ports struct{ front, ready, control, directory, internal int }

// system is the deployment under test with its machines.
type system struct {
	root, dir string
	ports     ports
	// seeds are the IP addresses of three machines at most that serve control.
	seeds []string
	zones map[string]string
	// tolerated is the number of machines with a disk that may be lost at once.
	tolerated int
	record    *record
	machines  []*machine
}

// machine is one VM with its process.
type machine struct {
	system           *system
	name, ip, class  string
	zone             string
	bootstrap        bool
	command          []string
	process          *exec.Cmd
	exited           chan struct{}
	settings, folder string
}

// newSystem chooses free ports and a temporary folder.
func newSystem(r *record, zones map[string]string, tolerated int, ips []string) (*system, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target", "sassafrasreach")); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &system{root: root, dir: dir, zones: zones, tolerated: tolerated, record: r}
	free, err := freePorts(ips, 5)
	if err != nil {
		return nil, err
	}
	s.ports = ports{front: free[0], ready: free[1], control: free[2], directory: free[3], internal: free[4]}
	return s, nil
}

// freePorts returns ports that are free at all IP addresses.
func freePorts(ips []string, n int) ([]int, error) {
	var out []int
	for port := 21000 + os.Getpid()%4000; port < 60000 && len(out) < n; port++ {
		if isFree(ips, port) {
			out = append(out, port)
		}
	}
	if len(out) < n {
		return nil, errors.New("no free ports")
	}
	return out, nil
}

func isFree(ips []string, port int) bool {
	for _, ip := range ips {
		l, err := net.Listen("tcp", at(ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// add describes a machine without starting it. The class is core or front.
func (s *system) add(name, ip, class, zone string, bootstrap bool) *machine {
	m := &machine{system: s, name: name, ip: ip, class: class, zone: zone, bootstrap: bootstrap}
	m.settings = filepath.Join(s.dir, name+".yaml")
	m.folder = filepath.Join(s.dir, name+"-data")
	role := "gateway"
	if class == "core" {
		role = "controller"
	}
	// The commands of deploy/system.toml.
	m.command = []string{"target/sassafrasreach", role, "-metrics", "9464"}
	s.machines = append(s.machines, m)
	return m
}

// write writes the machine's settings file.
func (m *machine) write() error {
	s := m.system
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("nodeName: %q\nrole: %q\nmachineClass: %q\nip: %q\nzone: %q\nregion: %q", m.name, m.command[1], m.class, m.ip, m.zone, s.zones[m.zone])
	line("zones:")
	for zone, region := range s.zones {
		line("  %s: %q", zone, region)
	}
	line("listen:")
	if m.class == "front" {
		line("  front: %q\n  ready: %q", at(m.ip, s.ports.front), at(m.ip, s.ports.ready))
	} else {
		line("  control: %q\n  directory: %q", at(m.ip, s.ports.control), at(m.ip, s.ports.directory))
	}
	line("internalPortRange:\n  - %d\n  - %d", s.ports.internal, s.ports.internal)
	line("seeds:")
	for _, ip := range s.seeds {
		line("  - %q", at(ip, s.ports.control))
	}
	line("bootstrap: %v\nfaultCounted: %v", m.bootstrap, m.class == "core")
	if m.class == "core" {
		line("limits:\n  cpuShare: 0.48\n  cores: 1\n  memoryMb: 280\n  maxFds: 4096\n  linkMbps: 1000.0\n  diskMb: 256")
		line("dataDir: %q", m.folder)
	} else {
		line("limits:\n  cpuShare: 0.224\n  cores: 1\n  memoryMb: 206\n  maxFds: 2870\n  linkMbps: 700.0\n  diskMb: 0")
		line("dataDir: null")
	}
	line("discovery: \"registration\"\nentry: \"directory\"\nheartbeatS: 1.5")
	line("faultTolerance:\n  machines: %d\n  zones: 1\n  regions: 1", s.tolerated)
	line("bounds:\n  seedLagS: 3\n  reuseDelayS: 2\n  stableWindowS: 4\n  ackS: 5\n  catchUpS: 4\n  drainS: 2.5\n  graceS: 6")
	line("  lossSlackS: 0.2\n  configApplyS: 2.5\n  rollbackSlackS: 0.25\n  maxStretchS: 6\n  retryBudgetRatio: 0.2\n  budgetWindowS: 10")
	line("  retryBudgetExtra: 112\n  coldRateFactor: 1.5\n  coldSlack: 5\n  evacuateS: 5\n  recoveryS: 15\n  ttl_max_s: 5\n  maxShift: 0.15")
	return os.WriteFile(m.settings, []byte(b.String()), 0o600)
}

// start writes the settings and starts the machine's process.
func (m *machine) start() error {
	if err := m.write(); err != nil {
		return err
	}
	if m.class == "core" {
		if err := os.MkdirAll(m.folder, 0o700); err != nil {
			return err
		}
	}
	out, err := os.OpenFile(filepath.Join(m.system.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(m.command[0], m.command[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = m.system.root, out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.system.dir, "SASSAFRASREACH_NODE_FILE=" + m.settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.process, m.exited = cmd, make(chan struct{})
	exited := m.exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	m.system.record.add("platform: %s (%s) starts", m.name, m.ip)
	return nil
}

// signal sends a signal to the machine's process.
func (m *machine) signal(s syscall.Signal) {
	m.system.record.add("platform: %s gets %s", m.name, s)
	_ = m.process.Process.Signal(s)
}

// kill ends the process at once and waits until it is gone.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.exited
}

// terminate is a planned stop: SIGTERM, and SIGKILL after the grace time.
func (m *machine) terminate() {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(grace):
		m.kill()
	}
	m.system.record.add("platform: %s has ended", m.name)
}

// wipe empties the machine's disk. Its process must have ended.
func (m *machine) wipe() error {
	m.bootstrap = false
	m.system.record.add("platform: the disk of %s is lost", m.name)
	return os.RemoveAll(m.folder)
}

func (m *machine) running() bool {
	if m.process == nil {
		return false
	}
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// stop ends all processes and removes the temporary folder.
func (s *system) stop() {
	for _, m := range s.machines {
		if m.running() {
			_ = m.process.Process.Signal(syscall.SIGCONT)
			_ = m.process.Process.Kill()
			<-m.exited
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		s.record.add("logs are kept in %s", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// core returns the IP addresses of the core machines that run.
func (s *system) core() []string {
	var out []string
	for _, m := range s.machines {
		if m.class == "core" && m.running() {
			out = append(out, m.ip)
		}
	}
	return out
}
