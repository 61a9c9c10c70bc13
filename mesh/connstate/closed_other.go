//go:build !linux

package connstate

import "syscall"

// peerClosed does not notice a close behind unread bytes.
func peerClosed(fd int) bool {
	n, err := peek(fd)
	return n == 0 && err == nil || err != nil && !blocked(err)
}

func readable(fd int) bool {
	_, err := peek(fd)
	return !blocked(err)
}

func peek(fd int) (int, error) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

func blocked(err error) bool { return err == syscall.EAGAIN || err == syscall.EINTR }
