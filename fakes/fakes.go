// Package fakes holds small stand-ins for the systems around a node: a backend server, the platform, and a TCP
// forwarder that can cut or silence connections.
package fakes

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	// listenPort is below the range from which the kernel takes the ports of outgoing connections.
	listenPort = 7100
	// hostsPerNet keeps the last byte of an address between 1 and 250.
	hostsPerNet = 250
)

var addresses atomic.Uint32

// NewAddress returns an address on loopback, as IP:port, that it has given to nobody else in this process. Each has an IP
// of its own, since a free port of one IP may be taken again before it is bound.
func NewAddress() (string, error) {
	for range 64 {
		n := addresses.Add(1)
		ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, n/hostsPerNet%256, 1+n%hostsPerNet)
		address := net.JoinHostPort(ip, fmt.Sprint(listenPort))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			return "", fmt.Errorf("close the trial listener: %w", err)
		}
		return address, nil
	}
	return "", &AddressError{}
}

// AddressError reports that no free loopback address was found.
type AddressError struct{}

// Error implements error.
func (*AddressError) Error() string { return "no free loopback address found" }
