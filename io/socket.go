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
