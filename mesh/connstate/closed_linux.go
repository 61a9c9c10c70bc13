package connstate

import "golang.org/x/sys/unix"

func peerClosed(fd int) bool { return polled(fd, unix.POLLRDHUP) }

func readable(fd int) bool { return polled(fd, unix.POLLIN|unix.POLLRDHUP) }

// polled reports whether one of the events, a hang-up or an error is pending on the descriptor.
func polled(fd int, events int16) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&(events|unix.POLLHUP|unix.POLLERR) != 0
}
