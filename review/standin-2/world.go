//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of the smaller of the two first deployments, as its sheet states them.
const (
	zone              = "osu-hall"
	contact           = 3 * time.Second
	catchUp           = 4 * time.Second
	drainTime         = 2 * time.Second
	recovery          = 12 * time.Second
	heartbeat         = 1200 * time.Millisecond
	memoryControl     = 280
	memoryEntry       = 134
	descriptors       = 4096
	internalPortRange = 15
)

// world is one deployment with its stand-ins.
type world struct {
	rec   *record
	dir   string
	net24 string
	ports ports

	mu       sync.Mutex
	machines []*machine
	closers  []func()
}

// ports are the listeners' ports, the same on all machines.
type ports struct{ callers, ready, operators, directory, peers, telemetry int }

func newWorld(rec *record) (*world, error) {
	if _, err := os.Stat(program()); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	w := &world{rec: rec, dir: dir, net24: fmt.Sprintf("127.%d.%d", 60+pid%150, 1+pid/150%250)}
	for _, port := range []*int{&w.ports.callers, &w.ports.ready, &w.ports.operators, &w.ports.directory, &w.ports.peers, &w.ports.telemetry} {
		if *port, err = w.freePort(); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// freePort returns a port that is free on the first loopback address and on those of the machines.
func (w *world) freePort() (int, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// end ends all processes and stand-ins, and removes the temporary folder.
func (w *world) end() {
	w.mu.Lock()
	machines, closers := w.machines, w.closers
	w.mu.Unlock()
	for _, m := range machines {
		m.kill()
	}
	for _, f := range closers {
		f()
	}
	_ = os.RemoveAll(w.dir)
}

func (w *world) atEnd(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closers = append(w.closers, f)
}

// ip returns the address of the n-th machine.
func (w *world) ip(n int) string { return fmt.Sprintf("%s.%d", w.net24, n) }

func at(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// machine is one machine of the system with its process.
type machine struct {
	world    *world
	role, ip string
	name     string
	settings string
	data     string
	memory   int

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// startedAt is when its process was last started.
	startedAt time.Time
}

// newMachine writes the settings of a machine, in the form of the template of the deploy file.
func (w *world) newMachine(role string, n int, seeds []string, bootstrap bool) (*machine, error) {
	m := &machine{world: w, role: role, ip: w.ip(n), name: fmt.Sprintf("%s-%d", role, n), memory: memoryEntry}
	m.settings = filepath.Join(w.dir, m.name+".yaml")
	if role == "control" {
		m.data, m.memory = filepath.Join(w.dir, "data-"+m.name), memoryControl
		if err := os.MkdirAll(m.data, 0o700); err != nil {
			return nil, err
		}
	}
	if err := m.write(seeds, bootstrap); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machines = append(w.machines, m)
	return m, nil
}

// write writes the settings file.
func (m *machine) write(seeds []string, bootstrap bool) error {
	p := &m.world.ports
	var text strings.Builder
	put := func(name string, value any) {
		encoded, _ := json.Marshal(value)
		fmt.Fprintf(&text, "%s: %s\n", name, encoded)
	}
	put("name", m.name)
	put("host", m.ip)
	put("data_centre", zone)
	put("data_centres", map[string]string{zone: "accra"})
	if m.role == "entry" {
		put("callers", at(m.ip, p.callers))
		put("readiness", at(m.ip, p.ready))
	} else {
		put("operators", at(m.ip, p.operators))
		put("data", m.data)
	}
	put("directory", at(m.ip, p.directory))
	put("peer_ports", []int{p.peers, p.peers + internalPortRange})
	put("telemetry_port", p.telemetry)
	put("seeds", seeds)
	put("bootstrap", bootstrap)
	put("memory_mb", m.memory)
	put("descriptors", descriptors)
	put("processor_share", 0.24)
	put("processor_speed", 1)
	put("link_mbps", 1000.0)
	put("tolerated_disks", 1)
	put("stop_within_s", 8)
	put("retry_ratio", 0.2)
	put("retry_extra", 54)
	put("announce_ms", heartbeat.Milliseconds())
	put("config_ms", 2000)
	put("holder_lease_ms", 3000)
	put("version_ms", 12000)
	text.WriteString("load:\n  team_shares: false\n  expect_others: true\n  uneven_upstreams: true\n  share_parts: true\n  runner_links: true\n  copy_mbps: 0\n  handover: true\n")
	return os.WriteFile(m.settings, []byte(text.String()), 0o600)
}

// start starts the process.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(m.world.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.command = exec.Command(program(), m.role)
	m.command.Env = []string{"LOVAGEREACH_SETTINGS=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	m.command.Stdout, m.command.Stderr = log, log
	if err := m.command.Start(); err != nil {
		return err
	}
	ended, command := make(chan struct{}), m.command
	m.ended, m.startedAt = ended, time.Now()
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	m.world.rec.line("%s starts at %s", m.name, m.ip)
	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil && m.command.Process != nil {
		_ = m.command.Process.Signal(s)
	}
}

// kill ends the process at once, and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.awaitEnd(5 * time.Second)
}

// awaitEnd waits for the end of the process, and reports whether it has ended.
func (m *machine) awaitEnd(d time.Duration) bool {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(d):
		return false
	}
}

// runs reports whether the process runs.
func (m *machine) runs() bool { return !m.awaitEnd(0) }

// pid returns the process's id.
func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command == nil || m.command.Process == nil {
		return 0
	}
	return m.command.Process.Pid
}

// fleet is a small deployment.
type fleet struct {
	*world
	controls, entries []*machine
	seeds             []string
}

// startFleet starts control hosts and entries with empty disks.
func (w *world) startFleet(controls, entries int) (*fleet, error) {
	f := &fleet{world: w}
	for n := range controls {
		f.seeds = append(f.seeds, at(w.ip(10+n), w.ports.operators))
	}
	for n := range controls {
		m, err := w.newMachine("control", 10+n, f.seeds, true)
		if err != nil {
			return nil, err
		}
		f.controls = append(f.controls, m)
	}
	for n := range entries {
		m, err := w.newMachine("entry", 30+n, f.seeds, true)
		if err != nil {
			return nil, err
		}
		f.entries = append(f.entries, m)
	}
	for _, m := range append(append([]*machine{}, f.controls...), f.entries...) {
		if err := m.start(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// formed ends the first start: later starts have bootstrap false.
func (f *fleet) formed() error {
	for _, m := range append(append([]*machine{}, f.controls...), f.entries...) {
		if err := m.write(f.seeds, false); err != nil {
			return err
		}
	}
	return nil
}
