package heartbeat

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gooseberrylane.example/coord/membership"
	"gooseberrylane.example/coord/ownership"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// FuzzMessages guards against a peer message that crashes the process when the agent handles it.
func FuzzMessages(f *testing.F) {
	self := core.VM{Name: "a", Incarnation: 5, Domain: "d", PeerAddress: "127.0.0.1:1"}
	other := core.VM{Name: "b", Incarnation: 7, Domain: "d", PeerAddress: "127.0.0.1:2"}
	for i, m := range []any{
		heartbeatMessage{From: other},
		ackMessage{From: other},
		claimMessage{From: other, Upstreams: []ownership.ClaimedUpstream{{Upstream: "u", Round: 1}}},
		clearMessage{From: other, To: 6, Answers: []ownership.Answer{{Upstream: "u", Verdict: ownership.VerdictCleared}}, Ages: []ownership.Age{{VM: other, Age: -1 << 63}}},
		holdingsMessage{From: other, Upstreams: []core.UpstreamID{"u", "unknown"}},
		contestMessage{From: other},
		leftMessage{From: other},
		leftAckMessage{From: other},
	} {
		raw, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(i), raw)
	}
	now := time.Unix(1000, 0)
	set := (&core.ConfigSet{Revision: 1, Services: map[core.ServiceName]*core.Service{"s": {Name: "s", Groups: []core.Group{{
		Name: "g", Upstreams: []core.Upstream{{ID: "u", Domain: "d", Slots: 1, Connections: 2}},
	}}}}}).Index()
	f.Fuzz(func(t *testing.T, kind uint8, raw []byte) {
		value := reflect.New(reflect.TypeOf(prototypes[int(kind)%len(prototypes)]))
		if cbor.Unmarshal(raw, value.Interface()) != nil {
			return
		}
		message, sender := decode(value.Interface().(kinds.Message))
		if sender.Name != other.Name {
			return
		}
		agent := ownership.NewAgent(membership.Defaults(), ownership.Defaults(), self, core.NewLease(now), rand.New(rand.NewPCG(1, 1)), now)
		agent.ReplaceList(now, []core.VM{{Name: "c", Domain: "d", PeerAddress: "127.0.0.1:3"}})
		agent.Configure(now, set)
		agent.Receive(now, message)
		agent.Tick(now.Add(time.Second))
		agent.Receive(now.Add(time.Second), message)
	})
}
