package io

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// readable reports whether data, the end of the data or a connection waits at a socket. Unlike a read it does not depend on
// deadlines.
func readable(socket any) bool {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	ready := false
	err = raw.Control(func(fd uintptr) {
		const noWait = 0
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		count, err := unix.Poll(polled, noWait)
		ready = err == nil && count > 0 && polled[0].Revents&unix.POLLIN != 0
	})
	return err == nil && ready
}

// closedInOrder reports whether the other side has closed its direction of a connection, this side has not, and no reset has
// followed. The end of the data does not tell: a socket reports a reset only once, and a concurrent write may have got the report.
func closedInOrder(raw syscall.RawConn) bool {
	if raw == nil {
		return false
	}
	inOrder := false
	err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		inOrder = err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return err == nil && inOrder
}
