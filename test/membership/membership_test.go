// Package membership tests membership and the ownership of upstreams with daemons as processes.
package membership

import (
	"net"
	"slices"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/standins/deployment"
	"gooseberrylane.example/test/faultproxy"
	"gooseberrylane.example/test/harness"
)

// others returns all VMs of the cluster except one.
func others(cl *harness.Cluster, excluded *harness.VM) []*harness.VM {
	var vms []*harness.VM
	for _, vm := range cl.VMs {
		if vm != excluded {
			vms = append(vms, vm)
		}
	}
	return vms
}

// TestKilledOwnerIsReplaced guards against upstreams that remain without an owner after kill -9.
func TestKilledOwnerIsReplaced(t *testing.T) {
	c := qt.New(t)
	cl := start(c, 6, nil)
	killed := cl.VMs[0]
	c.Assert(killed.Signal(syscall.SIGKILL), qt.IsNil)
	killed.WaitExit()
	remaining := others(cl, killed)
	cl.WaitFor("successors", func() bool { return owners(cl, remaining) != nil })
	// The VMs of the other failure domains receive the state at their next exchange.
	cl.WaitFor("the killed VM to be gone in another failure domain", func() bool { return stateOf(remaining[0], killed) == "gone" })
	c.Assert(cl.MustPostQuery(remaining[0], query("after-kill")).Name, qt.Equals, "ok")
	c.Check(total(cl, overSlots), qt.Equals, uint64(0))
}

// TestPausedOwnerSendsNothingAfterResume guards against a VM that is paused beyond its fence time and, when it resumes,
// sends to upstreams that other VMs own by then.
func TestPausedOwnerSendsNothingAfterResume(t *testing.T) {
	c := qt.New(t)
	// Three VMs in each failure domain: with two, a VM whose only neighbour is silent cannot determine
	// which of them is cut off.
	cl := start(c, 9, nil)
	paused := cl.VMs[0]
	before, err := status(paused)
	c.Assert(err, qt.IsNil)
	c.Assert(paused.Signal(syscall.SIGSTOP), qt.IsNil)
	remaining := others(cl, paused)
	cl.WaitFor("successors", func() bool { return owners(cl, remaining) != nil })
	for _, vm := range remaining {
		cl.WaitFor(vm.Name+" to record the paused VM as gone", func() bool { return stateOf(vm, paused) == "gone" })
	}
	l := startLoad(remaining, 4)
	c.Assert(paused.Signal(syscall.SIGCONT), qt.IsNil)
	cl.WaitFor("a new incarnation", func() bool {
		after, err := status(paused)
		return err == nil && after.Incarnation > before.Incarnation
	})
	cl.WaitFor("one owner for each upstream", func() bool { return owners(cl, cl.VMs) != nil })
	c.Check(l.finish(), qt.Equals, "")
	c.Check(total(cl, overSlots), qt.Equals, uint64(0), qt.Commentf("two VMs used an upstream at the same time"))
	c.Check(total(cl, duplicateExecutions), qt.Equals, uint64(0))
}

// TestPlannedLeaveFailsNoQuery guards against a planned stop that aborts queries or makes them fail.
func TestPlannedLeaveFailsNoQuery(t *testing.T) {
	c := qt.New(t)
	cl := start(c, 6, nil)
	leaving := cl.VMs[0]
	remaining := others(cl, leaving)
	l := startLoad(remaining, 4)
	c.Assert(leaving.Signal(syscall.SIGTERM), qt.IsNil)
	c.Check(leaving.WaitExit(), qt.Equals, 0)
	cl.WaitFor("successors", func() bool { return owners(cl, remaining) != nil })
	sent := l.sent.Load()
	cl.WaitFor("queries after the leave", func() bool { return l.sent.Load() > sent+8 })
	c.Check(l.finish(), qt.Equals, "")
	c.Check(total(cl, overSlots), qt.Equals, uint64(0))
	c.Logf("%d queries", l.sent.Load())
}

// TestRollingReplacementFailsNoQuery guards against queries that fail while each VM is replaced by a new one under load.
func TestRollingReplacementFailsNoQuery(t *testing.T) {
	c := qt.New(t)
	cl := start(c, 6, nil)
	l := startLoad(cl.VMs, 4)
	for _, old := range slices.Clone(cl.VMs) {
		next := cl.NewVM(old.Domain)
		cl.Launch(next, withHeartbeats)
		cl.WaitReady(next)
		live := others(cl, old)
		l.vms.Store(&live)
		cl.VMs = live
		setPlatformList(cl, live)
		c.Assert(old.Signal(syscall.SIGTERM), qt.IsNil)
		c.Check(old.WaitExit(), qt.Equals, 0)
		cl.WaitFor("one owner for each upstream", func() bool { return owners(cl, cl.VMs) != nil })
	}
	c.Check(l.finish(), qt.Equals, "")
	c.Check(total(cl, overSlots), qt.Equals, uint64(0))
	c.Logf("%d queries", l.sent.Load())
}

// TestDifferentListsEndWithOneOwner guards against two VMs that start with different member lists and both keep the
// same upstream.
func TestDifferentListsEndWithOneOwner(t *testing.T) {
	c := qt.New(t)
	// Each VM starts as the only member of its list; the platform's list adds the others later.
	cl := harness.Start(c, "directorate", 6, func(vm *harness.VM, settings *deployment.Settings) {
		withHeartbeats(vm, settings)
		chosen := settings.Plugins["membership"][0].Settings.(map[string]any)
		chosen["members"] = deployment.Members([]deployment.VM{vm.VM})
	})
	cl.WaitFor("two owners of the same upstream", func() bool {
		first, err := status(cl.VMs[0])
		return err == nil && len(first.Members) == 1 && heldCount(cl.VMs[0]) > 0 && heldCount(cl.VMs[0]) == heldCount(cl.VMs[3])
	})
	setPlatformList(cl, cl.VMs)
	cl.WaitFor("one owner for each upstream", func() bool { return owners(cl, cl.VMs) != nil })
	c.Assert(cl.MustPostQuery(cl.VMs[0], query("one-owner")).Name, qt.Equals, "ok")
}

// TestSilentLinkBetweenVMsIsReplaced guards against two VMs that stay cut off from each other because a network device
// between them lost the state of their connections, although new ones would work.
func TestSilentLinkBetweenVMsIsReplaced(t *testing.T) {
	c := qt.New(t)
	var proxy *faultproxy.Proxy
	cl := start(c, 6, func(vm *harness.VM, settings *deployment.Settings) {
		withHeartbeats(vm, settings)
		settings.Set("peer", "websocket", map[string]any{"listen": vm.Peer, "idle_timeout_ms": 2000})
		if vm.Name != "vm-1" {
			return
		}
		host, _, err := net.SplitHostPort(vm.Peer)
		c.Assert(err, qt.IsNil)
		proxy, err = faultproxy.Listen(net.JoinHostPort(host, "7105"), vm.Peer)
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = proxy.Close() })
		settings.Set("peer", "websocket", map[string]any{"listen": vm.Peer, "advertise": proxy.Address(), "idle_timeout_ms": 2000})
	})
	cl.VMs[0].Peer = proxy.Address()
	setPlatformList(cl, cl.VMs)
	cl.WaitFor("the address of the proxy", func() bool { return addressOf(cl.VMs[3], cl.VMs[0]) == proxy.Address() })
	cl.WaitFor("links through the proxy", func() bool { return proxy.Counts().Connections >= 5 })
	// StallConnections does not affect a connection that is still being accepted, so wait for traffic first.
	bytesBefore := proxy.Counts().BytesUp
	cl.WaitFor("traffic through the proxy", func() bool { return proxy.Counts().BytesUp > bytesBefore+1000 })
	before := proxy.Counts().Connections
	proxy.StallConnections()
	cl.WaitFor("new links", func() bool { return proxy.Counts().Connections >= before+5 })
	cl.WaitFor("one owner for each upstream", func() bool { return owners(cl, cl.VMs) != nil })
	for _, vm := range cl.VMs {
		cl.WaitFor("complete answers at "+vm.Name, func() bool { return cl.MustPostQuery(vm, query("silent-"+vm.Name)).Name == "ok" })
	}
	c.Check(total(cl, overSlots), qt.Equals, uint64(0))
}

// addressOf returns the address of a member as another VM reports it.
func addressOf(at, member *harness.VM) string {
	s, err := status(at)
	if err != nil {
		return ""
	}
	for _, m := range s.Members {
		if string(m.Name) == member.Name {
			return m.PeerAddress
		}
	}
	return ""
}

// stateOf returns the state of a member as another VM reports it.
func stateOf(at, member *harness.VM) string {
	s, err := status(at)
	if err != nil {
		return ""
	}
	for _, m := range s.Members {
		if string(m.Name) == member.Name {
			return m.State
		}
	}
	return ""
}

// heldCount returns the number of upstreams that a VM owns, or 0 if it does not answer.
func heldCount(vm *harness.VM) int {
	s, err := status(vm)
	if err != nil {
		return 0
	}
	held := 0
	for _, u := range s.Upstreams {
		if u.Held {
			held++
		}
	}
	return held
}
