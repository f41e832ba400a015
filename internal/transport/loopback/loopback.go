// Package loopback reserves addresses for tests that start processes. An address that a
// test listens on and closes again can be taken by another process before the one that
// it is meant for listens on it. The addresses of this package cannot: each process has
// an IP address of its own in 127.0.0.0/8, and its ports lie below those that the system
// assigns.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	// firstPort and lastPort bound the reserved ports. Linux assigns ports from 32768 on.
	firstPort = 10000
	lastPort  = 32000
	// firstOctet keeps the addresses apart from 127.0.0.1.
	firstOctet = 64
)

var errNoPort = errors.New("no free port left")

var reserved atomic.Int32

// Reserve returns an ip:port that no other call in any process returns and on which
// nothing listens. The IP address is of use for 2^22 process IDs, the most of Linux.
func Reserve() (string, error) {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", firstOctet+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
	for {
		port := firstPort + int(reserved.Add(1))
		if port > lastPort {
			return "", errNoPort
		}
		address := fmt.Sprintf("%s:%d", ip, port)
		// A process that listens on all addresses takes the port here as well.
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
}
