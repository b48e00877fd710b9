package crowd

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// maxDescriptors bounds the open descriptors of a node whose callers may have 50 connections.
const (
	maxDescriptors  = 100
	connectionLimit = "[callers]\nmax_connections = 50\n"
	addressLimit    = "[callers]\nmax_per_address = 50\n"
)

// TestConnectionLimit guards against a node that refuses ordinary callers because others hold all of its connections.
func TestConnectionLimit(t *testing.T) {
	s, err := NewStand(program, t.TempDir(), bodySize, connectionLimit, heapLimit)
	qt.Assert(t, err, qt.IsNil)
	defer s.Close()
	c := Start(s.HTTP, EchoPath, callers, bodySize, KindIdle, KindHead)
	defer c.Close()
	c.WaitSent(sendTime)
	qt.Check(t, s.Serves(callTime), qt.IsTrue)
	count, err := s.Descriptors()
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, count < maxDescriptors, qt.IsTrue, qt.Commentf("%d descriptors", count))
}

// TestAddressLimit guards against callers of one address that take the connections of the others.
func TestAddressLimit(t *testing.T) {
	s, err := NewStand(program, t.TempDir(), bodySize, addressLimit, heapLimit)
	qt.Assert(t, err, qt.IsNil)
	defer s.Close()
	c := Start(s.HTTP, EchoPath, callers, bodySize, KindIdle)
	defer c.Close()
	c.WaitSent(sendTime)
	qt.Check(t, s.Serves(time.Second), qt.IsFalse)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9)}}
	qt.Check(t, s.CallFrom(&dialer, callTime), qt.Equals, 200)
}
