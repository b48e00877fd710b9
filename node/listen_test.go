package node_test

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenareel/config"
	"verbenareel/fakes"
	"verbenareel/node"
)

// TestAddressInUse guards against a node that ends at its start because another socket still has one of its ports.
func TestAddressInUse(t *testing.T) {
	for _, network := range []string{"tcp", "udp"} {
		t.Run(network, func(t *testing.T) {
			address, err := fakes.NewAddress()
			qt.Assert(t, err, qt.IsNil)
			release := occupy(t, network, address)
			time.AfterFunc(300*time.Millisecond, release)
			settings, err := config.ParseSettings([]byte(`instance = "sheets-1"
service = "sheets"
domain = "sapporo"
http_address = "127.0.0.1:0"
status_address = "127.0.0.1:0"
backend_address = "127.0.0.1:9"
platform_url = "http://127.0.0.1:9"
rpc_address = "` + address + `"
`))
			qt.Assert(t, err, qt.IsNil)
			n, err := node.New(settings)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, n.RPCAddress(), qt.Equals, address)
		})
	}
}

// occupy opens a socket at the address and returns the function that closes it.
func occupy(t *testing.T, network, address string) func() {
	if network == "tcp" {
		listener, err := net.Listen(network, address)
		qt.Assert(t, err, qt.IsNil)
		return func() { _ = listener.Close() }
	}
	conn, err := net.ListenPacket(network, address)
	qt.Assert(t, err, qt.IsNil)
	return func() { _ = conn.Close() }
}
