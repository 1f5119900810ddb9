package loopback

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestAddressCannotBeTakenMeanwhile guards against programs of tests that cannot listen, because an outgoing connection or another choice
// took their address first.
func TestAddressCannotBeTakenMeanwhile(t *testing.T) {
	c := qt.New(t)
	seen := make(map[string]bool)
	for range 100 {
		addresses, err := Addresses(3)
		c.Assert(err, qt.IsNil)
		for _, address := range addresses {
			c.Assert(seen[address], qt.IsFalse)
			seen[address] = true
			_, port, err := net.SplitHostPort(address)
			c.Assert(err, qt.IsNil)
			number, err := strconv.Atoi(port)
			c.Assert(err, qt.IsNil)
			c.Assert(number < firstOutgoingPort(c), qt.IsTrue)
		}
	}
}

// firstOutgoingPort returns the first port that the system gives to outgoing connections.
func firstOutgoingPort(c *qt.C) int {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if os.IsNotExist(err) {
		return firstPort + numPorts
	}
	c.Assert(err, qt.IsNil)
	first, err := strconv.Atoi(strings.Fields(string(text))[0])
	c.Assert(err, qt.IsNil)
	return first
}
