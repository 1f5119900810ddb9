package main

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"gooseberrylane.example/standins/deployment"
	"gooseberrylane.example/test/faultproxy"
)

// Loopback addresses encode the failure domain: 127.<run>.<side and domain>.<VM>.
const (
	sideStride   = 64
	platformHost = 250
	callerPort   = 7001
	peerPort     = 7002
	metricsPort  = 7003
	operatorPort = 7004
	peerProxy    = 7102
	platformPort = 7200
	firstRun     = 16
	lastRun      = 250
)

// delays are the one-way delays of a deployment: between failure domains, and between clients and VMs.
type delays struct {
	domains, clients time.Duration
}

var deploymentDelays = map[string]delays{
	"directorate": {domains: 1500 * time.Microsecond, clients: 3 * time.Millisecond},
	"pukk":        {domains: 1500 * time.Microsecond, clients: time.Millisecond},
}

// network delays and cuts the traffic between failure domains.
type network struct {
	run    byte
	delays delays
	// reservation holds the part of the loopback range for the duration of the run.
	reservation net.Listener
	// cut[a][b] drops what domain a sends to domain b.
	cut [domainCount][domainCount]atomic.Bool
}

const domainCount = 3

// newNetwork reserves a part of the loopback range that no other run uses.
func newNetwork(d delays) (*network, error) {
	span := lastRun - firstRun
	for i := range span {
		run := byte(firstRun + (os.Getpid()+i)%span)
		if reservation, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", run, callerPort)); err == nil {
			return &network{run: run, delays: d, reservation: reservation}, nil
		}
	}
	return nil, fmt.Errorf("every part of the loopback range is in use")
}

func (n *network) ip(side, domain, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", n.run, side*sideStride+domain+1, host)
}

// domainOf returns the failure domain of an address from ip, or -1 for any other address.
func domainOf(address netip.Addr) int {
	if !address.Is4() {
		return -1
	}
	domain := int(address.As4()[2])%sideStride - 1
	if domain < 0 || domain >= domainCount {
		return -1
	}
	return domain
}

// rule returns the delay and the drops of a connection from a client to a domain.
func (n *network) rule(client netip.Addr, to int) faultproxy.Rule {
	from := domainOf(client)
	if from < 0 || from == to {
		return faultproxy.Rule{}
	}
	return faultproxy.Rule{Delay: n.delays.domains, DropUp: n.cut[from][to].Load(), DropDown: n.cut[to][from].Load()}
}

// isolate cuts a domain off from the others in both directions, or reconnects it.
func (n *network) isolate(domain int, cut bool) {
	for other := range domainCount {
		if other != domain {
			n.cut[domain][other].Store(cut)
			n.cut[other][domain].Store(cut)
		}
	}
}

// connected reports whether traffic between two domains passes in both directions.
func (n *network) connected(a, b int) bool {
	return a == b || (!n.cut[a][b].Load() && !n.cut[b][a].Load())
}

func domainName(domain int) string { return string(deployment.Domains[domain]) }

func domainIndex(name string) int {
	for i, domain := range deployment.Domains {
		if string(domain) == name {
			return i
		}
	}
	return -1
}
