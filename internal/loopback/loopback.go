// Package loopback chooses loopback addresses for programs whose settings name their addresses before they listen.
package loopback

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// Ports are below those that Linux gives to outgoing connections and to listeners without a port (32768 by default), so nothing else can
// take one between its choice and the start of the program.
const (
	firstPort = 20_000
	numPorts  = 12_000
)

// hosts and ports count the choices of this process.
var hosts, ports atomic.Uint32

// Host returns a loopback IP address that no earlier call of this process has returned, and that differs between processes unless the
// lower 14 bits of their IDs agree.
func Host() string {
	const hostsPerProcess = 254
	pid, host := os.Getpid(), hosts.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8%64, pid%256, 1+host%hostsPerProcess)
}

// Address returns an address of a host with a port that no earlier call of this process has returned and on which nothing listens.
func Address(host string) (string, error) {
	var lastErr error
	for range numPorts {
		address := net.JoinHostPort(host, strconv.Itoa(firstPort+int(ports.Add(1)%numPorts)))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, listener.Close()
		}
		lastErr = err
	}
	return "", lastErr
}

// Addresses returns several addresses of one new host.
func Addresses(n int) ([]string, error) {
	host := Host()
	addresses := make([]string, n)
	for i := range addresses {
		var err error
		if addresses[i], err = Address(host); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}
