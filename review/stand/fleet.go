package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the record of one case: what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) event(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes an event and prints it.
func (r *record) say(format string, args ...any) {
	r.event(format, args...)
	fmt.Printf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// machine is one machine of the deployment: a node and the server beside it.
type machine struct {
	fleet                          *fleet
	name, zone, ip                 string
	server                         *appServer
	settings                       string
	storeAddress                   string
	outbound, readiness, app       string
	process                        *exec.Cmd
	exited                         chan struct{}
	exitState                      string
	log                            *os.File
	firstInternalPort, statusPort_ int
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	record   *record
	folder   string
	store    *store
	endpoint *endpoint
	ports    []int
	zones    []string
	grace    string
	machines []*machine
}

func newFleet(record *record, zones ...string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: record, folder: folder, store: newStore(), zones: zones, grace: "6s"}
	if f.endpoint, err = f.store.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	f.ports, err = freePorts(5)
	return f, err
}

// address returns the address of the machine with a number. Runs beside each other use different ones.
func address(n int) string { return fmt.Sprintf("127.0.%d.%d", 1+os.Getpid()%250, n) }

// freePorts returns ports that are free at the moment on the address of the first machine.
func freePorts(count int) ([]int, error) {
	var ports []int
	var held []net.Listener
	defer func() {
		for _, l := range held {
			_ = l.Close()
		}
	}()
	for range count {
		l, err := net.Listen("tcp", address(1)+":0")
		if err != nil {
			return nil, err
		}
		held = append(held, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// add adds a machine with a server, whose entry is written to the store. The node is not started.
func (f *fleet) add(service, zone string, work func(*http.Request) time.Duration) (*machine, error) {
	n := len(f.machines) + 1
	ip := address(n)
	m := &machine{
		fleet: f, name: fmt.Sprintf("sidecar-%s-%d", zone, n), zone: zone, ip: ip, storeAddress: f.endpoint.address,
		outbound: fmt.Sprintf("%s:%d", ip, f.ports[0]), readiness: fmt.Sprintf("%s:%d", ip, f.ports[1]),
		app:               fmt.Sprintf("%s:%d", ip, f.ports[2]),
		firstInternalPort: f.ports[3], statusPort_: f.ports[4],
	}
	m.settings = filepath.Join(f.folder, m.name+".yaml")
	server, err := newAppServer(f.record, fmt.Sprintf("i-%d-%s", n, service), service, m.app, work)
	if err != nil {
		return nil, err
	}
	m.server = server
	f.store.put("servers/"+server.id, server.entry(zone, "ready", 1))
	f.machines = append(f.machines, m)
	return m, nil
}

// writeSettings renders deploy/settings.toml as the platform does.
func (m *machine) writeSettings() error {
	text, err := os.ReadFile("deploy/settings.toml")
	if err != nil {
		return err
	}
	values := map[string]string{
		"node_id": m.name, "service": m.server.service, "zone": m.zone, "listen.outbound": m.outbound, "ip": m.ip,
		"internal_port_range.0": fmt.Sprint(m.firstInternalPort), "internal_port_range.1": fmt.Sprint(m.statusPort_),
		"listen.readiness": m.readiness, "app": m.app, "platform.address": m.storeAddress, "bounds.grace": m.fleet.grace,
		"bounds.warmup_factor": "1.5", "bounds.warmup_slack": "5",
	}
	rendered := string(text)
	head, rest, _ := strings.Cut(rendered, "{{#zones}}")
	section, tail, _ := strings.Cut(rest, "{{/zones}}")
	for _, zone := range m.fleet.zones {
		head += strings.NewReplacer("{{@}}", zone, "{{.}}", "hokkaido").Replace(section)
	}
	rendered = head + tail
	for name, value := range values {
		rendered = strings.ReplaceAll(rendered, "{{"+name+"}}", value)
	}
	// The file is replaced at once, so that a node never reads a part of it.
	if err := os.WriteFile(m.settings+".new", []byte(rendered), 0o644); err != nil {
		return err
	}
	return os.Rename(m.settings+".new", m.settings)
}

// start starts the node with the command of the deploy file.
func (m *machine) start() error {
	if err := m.writeSettings(); err != nil {
		return err
	}
	var err error
	if m.log, err = os.OpenFile(filepath.Join(m.fleet.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
		return err
	}
	command := exec.Command("target/verbenareel", "node", "--settings", m.settings)
	command.Stdout, command.Stderr = m.log, m.log
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "VERBENAREEL_CONFIG=" + m.settings}
	if err := command.Start(); err != nil {
		return err
	}
	m.process, m.exited = command, make(chan struct{})
	go func() {
		_ = command.Wait()
		m.exitState = command.ProcessState.String()
		m.fleet.record.say("node %s ended: %s", m.name, m.exitState)
		close(m.exited)
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.fleet.record.say("node %s gets signal %s", m.name, s)
	_ = m.process.Process.Signal(s)
}

func (m *machine) ended() bool {
	select {
	case <-m.exited:
		return true
	default:
		return false
	}
}

// ready reports whether the readiness check is answered with 200.
func (m *machine) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.readiness + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until all nodes are ready and have found their servers and each other.
func (f *fleet) waitReady() error {
	deadline := time.Now().Add(10 * time.Second)
	for _, m := range f.machines {
		for !m.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second)
	return nil
}

// close ends all processes that the fleet started and removes its folder.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.process != nil && !m.ended() {
			_ = m.process.Process.Kill()
			<-m.exited
		}
		_ = m.server.server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
}

// route is a route of the configuration.
type route struct{ name, prefix, kind, timeout, service string }

// publish writes a configuration with one service for each name.
func (f *fleet) publish(version int, routes []route, services ...string) {
	var r, s []string
	for _, x := range routes {
		r = append(r, fmt.Sprintf(`{"name":%q,"host":"band.example","prefix":%q,"route_type":%q,"timeout":%q,"target_latency":"800ms","priority":1,"service":%q,"max_attempts":2}`,
			x.name, x.prefix, x.kind, x.timeout, x.service))
	}
	for _, x := range services {
		s = append(s, fmt.Sprintf(`{"name":%q,"health_path":"/health","max_connections":260,"protocol":"h1","tls":false,"warmup":"3s","warmup_per_s":17.0}`, x))
	}
	f.store.put("op/config", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}`,
		version, strings.Join(r, ","), strings.Join(s, ",")))
	f.record.say("the store has accepted configuration %d", version)
}
