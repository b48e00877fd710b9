package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a machine. All machines have the same, each at an address of its own.
const (
	portOutbound = iota
	portReadiness
	portApp
	portInternal
	portStatus
	portStore
	portCount
)

// zones are the failure domains of the deployment.
var zones = []string{"hk-a", "hk-b"}

const region = "hokkaido"

// machine is a machine with a node and an application server beside it.
type machine struct {
	fleet          *fleet
	name, ip, zone string
	service        string
	settings       string
	command        *exec.Cmd
	exited         chan struct{}
	server         *server
}

// fleet is a small deployment: machines, the store and the record of what happened.
type fleet struct {
	record   *recorder
	folder   string
	template string
	block    string
	base     int
	store    *store
	machines []*machine
	trouble  bool
	group    sync.WaitGroup

	mu      sync.Mutex
	servers []*server
}

// newFleet starts the store. Machines are added with add.
func newFleet(record *recorder) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-stand-2-")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	template, err := os.ReadFile("deploy/settings.toml")
	if err != nil {
		return nil, fmt.Errorf("settings template: %w", err)
	}
	f := &fleet{record: record, folder: folder, template: string(template), trouble: os.Getenv("TROUBLE") != "0"}
	for range 50 {
		f.block = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		f.base = 21000 + 10*rand.IntN(900)
		if f.portsFree() {
			break
		}
	}
	f.store, err = newStore(f.address(1, portStore))
	return f, err
}

func (f *fleet) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", f.block, host, f.base+port)
}

// portsFree reports whether the ports can be used on the first addresses of the block.
func (f *fleet) portsFree() bool {
	for host := 1; host <= 10; host++ {
		for port := range portCount {
			listener, err := net.Listen("tcp", f.address(host, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// add adds a machine of a zone with a server of a service, which registers itself, and starts its node.
func (f *fleet) add(zone, service string) (*machine, error) {
	host := len(f.machines) + 2
	m := &machine{fleet: f, name: fmt.Sprintf("sidecar-%d", host-1), ip: fmt.Sprintf("%s.%d", f.block, host), zone: zone, service: service}
	f.machines = append(f.machines, m)
	if err := m.startServer(fmt.Sprintf("i-%s-%d", service, host-1), service); err != nil {
		return nil, err
	}
	m.register("ready")
	return m, m.startNode()
}

func (m *machine) port(port int) string { return fmt.Sprintf("%s:%d", m.ip, m.fleet.base+port) }

func (m *machine) outbound() string { return m.port(portOutbound) }

// startServer starts a server at the address of the machine's server.
func (m *machine) startServer(id, service string) error {
	s, err := newServer(m.fleet.record, id, service, m.port(portApp))
	if err != nil {
		return err
	}
	m.server = s
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.fleet.servers = append(m.fleet.servers, s)
	m.fleet.record.printf("server %s of %s starts at %s", id, service, s.address)
	return nil
}

// register writes the entry of the machine's server.
func (m *machine) register(state string) {
	m.fleet.record.printf("entry servers/%s: service %s, state %s", m.server.id, m.server.service, state)
	m.fleet.store.put("servers/"+m.server.id, map[string]any{
		"address": m.server.address,
		"info":    map[string]any{"service": m.server.service, "version": "v1", "zone": m.zone, "slots": serverSlots},
		"status":  map[string]any{"state": state, "sequence": 4, "warmup_left": "0ms"},
		"born":    time.Now().UnixMilli(),
	})
}

// writeSettings renders the settings file from the template of the deploy file.
func (m *machine) writeSettings() error {
	f := m.fleet
	values := map[string]string{
		"node_id": m.name, "service": m.service, "zone": m.zone, "ip": m.ip, "app": m.port(portApp),
		"listen.outbound": m.outbound(), "listen.readiness": m.port(portReadiness),
		"internal_port_range.0": fmt.Sprint(f.base + portInternal), "internal_port_range.1": fmt.Sprint(f.base + portStatus),
		"platform.address": f.store.address, "bounds.grace": "6s", "bounds.warmup_factor": "1.5", "bounds.warmup_slack": "5",
	}
	section := regexp.MustCompile(`(?s)\{\{#zones\}\}(.*?)\{\{/zones\}\}`)
	text := section.ReplaceAllStringFunc(f.template, func(match string) string {
		body := section.FindStringSubmatch(match)[1]
		all := ""
		for _, zone := range zones {
			all += strings.NewReplacer("{{@}}", zone, "{{.}}", region).Replace(body)
		}
		return all
	})
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return errors.New("the settings template has placeholders that the stand-in does not know")
	}
	m.settings = filepath.Join(f.folder, m.name+".yaml")
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// startNode starts the node with the command of the deploy file.
func (m *machine) startNode() error {
	if err := m.writeSettings(); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(m.fleet.folder, m.name+".log"))
	if err != nil {
		return err
	}
	m.command = exec.Command("target/verbenareel", "node", "--settings", m.settings)
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "VERBENAREEL_CONFIG=" + m.settings}
	m.command.Stdout, m.command.Stderr = log, log
	if err := m.command.Start(); err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	m.exited = make(chan struct{})
	m.fleet.group.Go(func() {
		err := m.command.Wait()
		_ = log.Close()
		m.fleet.record.printf("node of %s ends: %v", m.name, err)
		close(m.exited)
	})
	return nil
}

// hasExited reports whether the node has ended.
func (m *machine) hasExited() bool {
	select {
	case <-m.exited:
		return true
	default:
		return false
	}
}

// signal sends a signal to the node.
func (m *machine) signal(signal syscall.Signal) {
	m.fleet.record.printf("%v to the node of %s", signal, m.name)
	_ = m.command.Process.Signal(signal)
}

// close ends all processes and stand-ins, and removes the temporary folder. If the variable KEEP_LOGS names a folder that does
// not exist, it keeps the settings and logs of the nodes there.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.command != nil && m.command.Process != nil {
			_ = m.command.Process.Kill()
			<-m.exited
		}
	}
	for _, s := range f.serverList() {
		s.end()
	}
	f.store.close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(f.folder, keep)
	}
	_ = os.RemoveAll(f.folder)
}

func (f *fleet) serverList() []*server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*server(nil), f.servers...)
}

// runsByID returns the runs of all requests, by request.
func (f *fleet) runsByID() map[string][]run {
	runs := make(map[string][]run)
	for _, s := range f.serverList() {
		for _, r := range s.runList() {
			runs[r.id] = append(runs[r.id], r)
		}
	}
	return runs
}

// awaitReady waits until all nodes are ready and each of them gets the warm-up request of each kind answered.
func (f *fleet) awaitReady(warm ...request) error {
	deadline := time.Now().Add(30 * time.Second)
	for _, m := range f.machines {
		for !m.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("node of %s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
		for _, w := range warm {
			for in := 0; in < 5; {
				if time.Now().After(deadline) {
					return fmt.Errorf("node of %s does not serve %s", m.name, w.path)
				}
				if f.send(m, w).code == http.StatusOK {
					in++
					continue
				}
				in = 0
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	return nil
}

func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.port(portReadiness) + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// route and service are parts of a configuration.
type route struct {
	Name          string `json:"name"`
	Host          string `json:"host"`
	Prefix        string `json:"prefix"`
	RouteType     string `json:"route_type"`
	Timeout       string `json:"timeout"`
	TargetLatency string `json:"target_latency"`
	Priority      int    `json:"priority"`
	Service       string `json:"service"`
	MaxAttempts   int    `json:"max_attempts"`
}

func newRoute(name, prefix, kind, service string) route {
	return route{
		Name: name, Host: host, Prefix: prefix, RouteType: kind, Timeout: "1500ms", TargetLatency: "800ms", Priority: 1,
		Service: service, MaxAttempts: 2,
	}
}

// host is the host of all routes.
const host = "orders.example"

// configure writes the configuration.
func (f *fleet) configure(version int, services []string, routes ...route) {
	list := []any{}
	for _, name := range services {
		list = append(list, map[string]any{
			"name": name, "health_path": "/health", "max_connections": 260, "protocol": "h1", "tls": false, "warmup": "3s", "warmup_per_s": 17.0,
		})
	}
	for _, r := range routes {
		f.record.printf("configuration %d: route %s, prefix %s, %s, service %s", version, r.Name, r.Prefix, r.RouteType, r.Service)
	}
	f.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": list, "base_version": version - 1,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms",
		},
	})
}
