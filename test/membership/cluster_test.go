package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/plugins/frontend/api"
	"gooseberrylane.example/standins/deployment"
	"gooseberrylane.example/standins/platform"
	"gooseberrylane.example/standins/upstream"
	"gooseberrylane.example/test/harness"
)

func TestMain(m *testing.M) { harness.Main(m) }

// heartbeatTiming returns short periods and long timeouts, so that a VM on a machine that is busy for seconds is not
// suspected.
func heartbeatTiming() map[string]any {
	return map[string]any{
		"period_ms": 250, "suspect_after_ms": 4000, "hold_for_ms": 4000, "fence_after_ms": 8000, "list_ms": 200, "forget_after_ms": 20_000,
	}
}

// withHeartbeats selects the heartbeat plug-in, with the VMs of the cluster as initial members, and adds the operator
// listener for the status.
func withHeartbeats(vm *harness.VM, settings *deployment.Settings) {
	static := settings.Plugins["membership"][0].Settings.(map[string]any)
	chosen := heartbeatTiming()
	chosen["members"] = static["members"]
	settings.Set("membership", "heartbeat", chosen)
	settings.Set("dispatch", "owner", map[string]any{"move_wait_ms": 4000})
	settings.Plugins["front_end"] = append(settings.Plugins["front_end"], deployment.Plugin{
		Name: "operator", Settings: map[string]any{"listen": vm.Operator},
	})
}

// start starts n VMs, assigned to the failure domains in turn, and waits until each upstream has one owner.
func start(c *qt.C, n int, edit harness.EditSettings) *harness.Cluster {
	if edit == nil {
		edit = withHeartbeats
	}
	cl := harness.Start(c, "directorate", n, edit)
	c.Cleanup(func() {
		for _, vm := range cl.VMs {
			if c.Failed() {
				c.Logf("%s", vm.Log())
			}
		}
	})
	setPlatformList(cl, cl.VMs)
	cl.WaitFor("one owner for each upstream", func() bool { return owners(cl, cl.VMs) != nil })
	return cl
}

// setPlatformList sets the platform's list of VMs.
func setPlatformList(cl *harness.Cluster, vms []*harness.VM) {
	listed := make([]platform.VM, len(vms))
	for i, vm := range vms {
		listed[i] = platform.VM{Name: vm.Name, Domain: string(vm.Domain), PeerAddress: vm.Peer}
	}
	cl.Platform.SetVMs(listed)
}

func status(vm *harness.VM) (*api.Status, error) {
	response, err := http.Get("http://" + vm.Operator + "/v1/status")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body := &api.Status{}
	return body, json.NewDecoder(response.Body).Decode(body)
}

// owners returns the owner of each upstream, or nil unless each upstream is held by exactly one of the VMs.
func owners(cl *harness.Cluster, vms []*harness.VM) map[string]string {
	ownerOf := make(map[string]string)
	held := 0
	for _, vm := range vms {
		s, err := status(vm)
		if err != nil {
			return nil
		}
		for _, u := range s.Upstreams {
			if u.Held {
				held++
				ownerOf[string(u.ID)] = vm.Name
			}
		}
	}
	if held != len(cl.Upstreams) || len(ownerOf) != held {
		return nil
	}
	return ownerOf
}

// load sends queries from several callers until it is stopped.
type load struct {
	stop chan struct{}
	// vms are the VMs that receive queries, as the balancer would choose them.
	vms          atomic.Pointer[[]*harness.VM]
	callers      sync.WaitGroup
	sent         atomic.Uint64
	firstFailure atomic.Pointer[string]
}

// startLoad sends queries to the VMs in turn. Each answer must cover all shards.
func startLoad(vms []*harness.VM, callers int) *load {
	l := &load{stop: make(chan struct{})}
	l.vms.Store(&vms)
	for k := range callers {
		l.callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-l.stop:
					return
				default:
				}
				vms := *l.vms.Load()
				l.send(vms[(i+k)%len(vms)], fmt.Sprintf("load-%d-%d", k, i))
			}
		})
	}
	return l
}

func (l *load) send(vm *harness.VM, id string) {
	answer, err := harness.PostQuery(context.Background(), vm, query(id))
	text := ""
	switch {
	case err != nil:
		text = err.Error()
	case answer.Name != "ok":
		text = fmt.Sprintf("%s sent to %s: %s %s %v", id, vm.Name, answer.Name, answer.Detail, answer.Missing)
	}
	if text != "" {
		l.firstFailure.CompareAndSwap(nil, &text)
	}
	l.sent.Add(1)
}

// finish stops the load and returns the first failed or incomplete answer, or "".
func (l *load) finish() string {
	close(l.stop)
	l.callers.Wait()
	if failure := l.firstFailure.Load(); failure != nil {
		return *failure
	}
	return ""
}

func query(id string) map[string]any {
	return map[string]any{"service": "harvest-logs", "request_id": id, "idempotent": true, "timeout_ms": 4000}
}

// total sums a counter over all upstreams.
func total(cl *harness.Cluster, count func(upstream.Counts) uint64) uint64 {
	var sum uint64
	for _, s := range cl.Upstreams {
		sum += count(s.Counts())
	}
	return sum
}

func overSlots(c upstream.Counts) uint64           { return c.OverSlots }
func duplicateExecutions(c upstream.Counts) uint64 { return c.DuplicateExecutions }
