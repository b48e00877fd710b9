// Package fakes provides test doubles for the systems around a node: a backend server, the platform, and a TCP forwarder
// that injects network faults.
package fakes

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	// listenPort is below the kernel's ephemeral port range, so it does not collide with outgoing connections.
	listenPort = 7100
	// hostsPerNet limits the last byte of an address to the range 1 to 250.
	hostsPerNet = 250
)

var addressCount atomic.Uint32

// NewAddress returns an unused loopback address as IP:port. It returns each address at most once per process. Every
// address has its own IP, because a free port of a shared IP could be taken by another socket before the caller binds it.
func NewAddress() (string, error) {
	for range 64 {
		n := addressCount.Add(1)
		ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, n/hostsPerNet%256, 1+n%hostsPerNet)
		address := net.JoinHostPort(ip, fmt.Sprint(listenPort))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			return "", fmt.Errorf("close probe listener: %w", err)
		}
		return address, nil
	}
	return "", &AddressError{}
}

// AddressError reports that no free loopback address was found.
type AddressError struct{}

// Error implements error.
func (*AddressError) Error() string { return "no free loopback address found" }
