//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of the deployment, those of the small ones on the users' pages.
const (
	configApply = 2 * time.Second
	contact     = 3 * time.Second
	ackTimeout  = 4 * time.Second
	heartbeat   = 1200 * time.Millisecond
)

// zones are the zones of the deployment.
var zones = []string{"hall-north", "hall-dock", "hall-office"}

const region = "new-england"

// ports are the ports of the listeners, the same on all machines.
type ports struct{ frontend, ready, control, directory, peers, telemetry int }

// machine is one machine of the deployment with its process.
type machine struct {
	fleet    *fleet
	role, ip string
	zone     string
	settings string
	data     string
	log      *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// fleet is a deployment on loopback addresses.
type fleet struct {
	dir      string
	template string
	ports    ports
	controls []*machine
	entries  []*machine
	out      *recorder
}

// newFleet lays out a deployment of control and entry machines; start starts them.
func newFleet(out *recorder, controls, entries int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-*")
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile("deploy/settings.yaml")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, template: string(template), out: out}
	net16 := fmt.Sprintf("127.%d.%d", 30+os.Getpid()%200, 1+os.Getpid()/200%250)
	var all []string
	for i := range controls {
		all = append(all, fmt.Sprintf("%s.%d", net16, 10+i))
	}
	for i := range entries {
		all = append(all, fmt.Sprintf("%s.%d", net16, 100+i))
	}
	for _, port := range []*int{&f.ports.frontend, &f.ports.ready, &f.ports.control, &f.ports.directory, &f.ports.peers, &f.ports.telemetry} {
		if *port, err = freePort(all); err != nil {
			return nil, err
		}
	}
	running.mu.Lock()
	running.fleets = append(running.fleets, f)
	running.mu.Unlock()
	for i, ip := range all {
		m := &machine{fleet: f, ip: ip, role: "entry", zone: zones[i%len(zones)], settings: filepath.Join(dir, ip+".yaml")}
		if i < controls {
			m.role, m.data = "control", filepath.Join(dir, "data-"+ip)
			if err := os.MkdirAll(m.data, 0o700); err != nil {
				return nil, err
			}
			f.controls = append(f.controls, m)
		} else {
			f.entries = append(f.entries, m)
		}
		if m.log, err = os.Create(filepath.Join(dir, m.role+"-"+ip+".log")); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// freePort returns a port that is free at all addresses.
func freePort(addresses []string) (int, error) {
	for range 100 {
		probe, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		port := probe.Addr().(*net.TCPAddr).Port
		_ = probe.Close()
		free := true
		for _, address := range addresses {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address, port))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, errors.New("no port is free at all addresses")
}

// at returns an address of the machine.
func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// writeSettings fills in the template of the deploy file.
func (m *machine) writeSettings(bootstrap bool) error {
	f := m.fleet
	var seeds []string
	for _, c := range f.controls {
		seeds = append(seeds, c.at(f.ports.control))
	}
	regions := make(map[string]string)
	for _, zone := range zones {
		regions[zone] = region
	}
	values := map[string]any{
		"node_name": m.role + "-" + m.ip, "ip": m.ip, "zone": m.zone, "zones": regions,
		"listen.directory": m.at(f.ports.directory), "internal_ports": []int{f.ports.peers, f.ports.peers + 1},
		"seeds": seeds, "bootstrap": bootstrap, "limits.cpu_cores": 1, "limits.link_mbps": 1000.0,
		"fault_tolerance.machines": 1, "bounds.grace_period_s": 8, "bounds.budget_ratio": 0.2,
		"bounds.budget_extra_retries": 58, "heartbeat_ms": heartbeat.Milliseconds(),
		"bounds.config_apply_ms": configApply.Milliseconds(), "bounds.lease_ms": 3000, "bounds.version_ms": 15000,
	}
	if m.role == "control" {
		values["listen.control_plane"], values["data_dir"] = m.at(f.ports.control), m.data
		values["limits.memory_mb"], values["limits.cpu_share"] = 280, 0.24
	} else {
		values["listen.frontend"], values["listen.ready"] = m.at(f.ports.frontend), m.at(f.ports.ready)
		values["limits.memory_mb"], values["limits.cpu_share"] = 284, 0.4
	}
	text := m.fleet.template
	for {
		before, rest, found := strings.Cut(text, "{{")
		if !found {
			break
		}
		name, after, _ := strings.Cut(rest, "}}")
		value, err := json.Marshal(values[strings.TrimSuffix(name, "|json")])
		if err != nil {
			return err
		}
		text = before + string(value) + after
	}
	text = strings.Replace(text, "telemetry_port: 9464", fmt.Sprintf("telemetry_port: %d", f.ports.telemetry), 1)
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (m *machine) start(bootstrap bool) error {
	if err := m.writeSettings(bootstrap); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.command = exec.Command("target/lovage-fleet", m.role)
	m.command.Env = append(os.Environ(), "LOVAGEREACH_SETTINGS="+m.settings)
	m.command.Stdout, m.command.Stderr = m.log, m.log
	if err := m.command.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(m.command, m.exited)
	m.fleet.out.printf("start %s %s", m.role, m.ip)
	return nil
}

// signal sends a signal to the process, if it runs.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		_ = m.command.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	command, exited := m.command, m.exited
	m.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGCONT)
	_ = command.Process.Kill()
	<-exited
}

// ended reports whether the process has ended.
func (m *machine) ended() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.exited:
		return true
	default:
		return false
	}
}

// startAll starts all machines within 0.3 s.
func (f *fleet) startAll() error {
	for _, m := range append(append([]*machine{}, f.controls...), f.entries...) {
		if err := m.start(true); err != nil {
			return err
		}
	}
	return nil
}

// running holds the fleets that may run processes.
var running struct {
	mu     sync.Mutex
	fleets []*fleet
}

// stopAll ends all processes of all fleets.
func stopAll() {
	running.mu.Lock()
	defer running.mu.Unlock()
	for _, f := range running.fleets {
		f.stop()
	}
}

// stop ends all processes and removes their files.
func (f *fleet) stop() {
	for _, m := range append(append([]*machine{}, f.controls...), f.entries...) {
		m.kill()
		_ = m.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}
