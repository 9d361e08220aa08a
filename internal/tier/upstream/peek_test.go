package upstream

import "syscall"

// recvPeek returns received bytes without taking them.
func recvPeek(fd int, b []byte) (int, syscall.Sockaddr, error) {
	return syscall.Recvfrom(fd, b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
}
