package crowd

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"verbenareel/fakes"
)

const (
	instanceName = "sheets-1"
	// EchoPath is a path that the stand serves: the response contains the body of the request.
	EchoPath     = "/echo"
	readyTimeout = 15 * time.Second
	pollInterval = 20 * time.Millisecond
	// memoryField is the line of /proc/PID/status with the peak of the resident memory.
	memoryField = "VmHWM:"
)

// document has one service and a rule for EchoPath.
const document = `deployment = "crowd"
[limits]
max_body = %d
[places.regions.home]
delay = "500us"
remote_delay = "10ms"
[places.domains.one]
region = "home"
[services.sheets]
slots = 18
queue = 2000
cold_limit = 18
warm_time = "10ms"
probes_per_second = 10.0
connections = 260
timeout = "2s"
max_body = %d
[[rules]]
path = "/echo"
service = "sheets"
repeatable = true
`

// ErrNotReady is returned if the node of a stand does not get ready in time.
var ErrNotReady = errors.New("node is not ready in time")

// Stand is one node and its backend server as processes, and a platform.
type Stand struct {
	// HTTP, RPC, Status and Ready are the addresses of the node's listeners.
	HTTP, RPC, Status, Ready string

	group    conc.WaitGroup
	cancel   context.CancelFunc
	commands []*exec.Cmd
	log      bytes.Buffer
	// platform is the URL of the platform.
	platform string
}

// NewStand starts the processes of a program and waits until the node is ready. Bodies may have maxBody bytes. settings is
// added to the settings of the node, and environment to the environment of its process.
func NewStand(program, directory string, maxBody int, settings string, environment ...string) (*Stand, error) {
	s := &Stand{}
	var backend string
	for _, address := range []*string{&s.HTTP, &s.RPC, &s.Status, &s.Ready, &backend} {
		var err error
		if *address, err = fakes.NewAddress(); err != nil {
			return nil, err
		}
	}
	if err := s.startPlatform(maxBody); err != nil {
		return nil, err
	}
	node, err := s.nodeCommand(program, directory, instanceName, "sheets", backend, settings, environment...)
	if err != nil {
		return nil, err
	}
	node.Stderr = &s.log
	server := exec.Command(program, "fake", "backend", "--name", instanceName, "--address", backend, "--warm-time", "1ms")
	for _, command := range []*exec.Cmd{node, server} {
		if err := command.Start(); err != nil {
			s.Close()
			return nil, fmt.Errorf("start process: %w", err)
		}
		s.commands = append(s.commands, command)
	}
	if !s.Serves(readyTimeout) {
		s.Close()
		return nil, fmt.Errorf("%w: %s", ErrNotReady, s.log.String())
	}
	return s, nil
}

// nodeCommand returns the command of a node at the addresses of the stand.
func (s *Stand) nodeCommand(program, directory, instance, service, backend, settings string, environment ...string) (*exec.Cmd, error) {
	text := fmt.Sprintf("instance = %q\nservice = %q\ndomain = \"one\"\nhttp_address = %q\nrpc_address = %q\n"+
		"status_address = %q\nready_address = %q\nbackend_address = %q\nplatform_url = %q\nlog_level = \"error\"\n%s",
		instance, service, s.HTTP, s.RPC, s.Status, s.Ready, backend, s.platform, settings)
	file := filepath.Join(directory, instance+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	node := exec.Command(program, "node", "--settings", file)
	node.Env = append(os.Environ(), environment...)
	return node, nil
}

// NewNeighbor starts a node of a stand beside no backend server, and waits until it is ready. It sends all calls to the node of the
// stand.
func (s *Stand) NewNeighbor(program, directory string) (*Stand, error) {
	n := &Stand{platform: s.platform, cancel: func() {}}
	var backend string
	for _, address := range []*string{&n.HTTP, &n.RPC, &n.Status, &n.Ready, &backend} {
		var err error
		if *address, err = fakes.NewAddress(); err != nil {
			return nil, err
		}
	}
	node, err := n.nodeCommand(program, directory, "cutting-1", "cutting", backend, "")
	if err != nil {
		return nil, err
	}
	node.Stderr = &n.log
	if err := node.Start(); err != nil {
		return nil, fmt.Errorf("start process: %w", err)
	}
	n.commands = append(n.commands, node)
	if !n.Serves(readyTimeout) {
		n.Close()
		return nil, fmt.Errorf("%w: %s", ErrNotReady, n.log.String())
	}
	return n, nil
}

// startPlatform starts the platform.
func (s *Stand) startPlatform(maxBody int) error {
	platform, err := fakes.NewPlatform("127.0.0.1:0", 0)
	if err != nil {
		return fmt.Errorf("start platform: %w", err)
	}
	var ctx context.Context
	ctx, s.cancel = context.WithCancel(context.Background())
	s.group.Go(func() { _ = platform.Serve(ctx) })
	platform.Publish(fmt.Appendf(nil, document, maxBody, maxBody))
	platform.List([]fakes.Entry{{Instance: instanceName, Service: "sheets", Domain: "one", Address: s.RPC, State: "live"}})
	s.platform = platform.URL()
	return nil
}

// Serves reports whether an ordinary request is answered within the limit. It may be refused before.
func (s *Stand) Serves(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if s.Call(time.Second) == http.StatusOK {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

// Call sends one ordinary request and returns the status of the response, or 0 without one.
func (s *Stand) Call(timeout time.Duration) int { return s.CallFrom(&net.Dialer{}, timeout) }

// CallFrom is like Call with connections of the dialer.
func (s *Stand) CallFrom(dialer *net.Dialer, timeout time.Duration) int {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}
	client := http.Client{Timeout: timeout, Transport: transport}
	response, err := client.Get("http://" + s.HTTP + EchoPath)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Running reports whether the process of the node lives.
func (s *Stand) Running() bool {
	return s.commands[0].Process.Signal(syscall.Signal(0)) == nil
}

// PeakMemory returns the most resident memory of the node's process so far in bytes.
func (s *Stand) PeakMemory() (int, error) {
	file, err := os.Open(s.proc("status"))
	if err != nil {
		return 0, fmt.Errorf("open status of the node: %w", err)
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 1 && fields[0] == memoryField {
			kilobytes, err := strconv.Atoi(fields[1])
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("no line %s in the status of the node", memoryField)
}

// Descriptors returns the number of open file descriptors of the node's process.
func (s *Stand) Descriptors() (int, error) {
	entries, err := os.ReadDir(s.proc("fd"))
	if err != nil {
		return 0, fmt.Errorf("read descriptors of the node: %w", err)
	}
	return len(entries), nil
}

func (s *Stand) proc(name string) string {
	return filepath.Join("/proc", strconv.Itoa(s.commands[0].Process.Pid), name)
}

// Close ends the processes and the platform.
func (s *Stand) Close() {
	for _, command := range s.commands {
		_ = command.Process.Kill()
		_ = command.Wait()
	}
	s.cancel()
	s.group.Wait()
}
