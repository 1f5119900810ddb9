package fanout

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/coord/selection"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/kernel/kinds"
)

// The load of the tests in this file answers bursts of callers: VMs that do not know of each other's requests share the upstreams of some shards.
const (
	loadVMs      = 10
	loadShards   = 10
	loadReplicas = 2
	loadSlots    = 2
	loadQueue    = 12
	loadWork     = 15 * time.Millisecond
	// An upstream stops for loadPause now and then.
	loadPause      = 150 * time.Millisecond
	loadPauseEvery = 3600 * time.Millisecond
	loadOneWay     = 1500 * time.Microsecond
	// Callers wait for loadPatience, and stay away for a third of it at most.
	loadPatience = 2 * time.Second
)

// bubbleClock is the virtual time of a test.
type bubbleClock struct{}

func (bubbleClock) Now() time.Time { return time.Now() }

// slotUpstream runs a few requests at the same time, lets some more wait and refuses the rest.
type slotUpstream struct {
	mu      sync.Mutex
	random  *rand.Rand
	running int
	waiting []chan struct{}
	// pausedUntil ends the current pause, nextPause begins the next.
	pausedUntil, nextPause time.Time
}

// enter waits for a slot, or reports that too many requests wait already.
func (u *slotUpstream) enter() bool {
	u.mu.Lock()
	if u.running < loadSlots {
		u.running++
		u.mu.Unlock()
		return true
	}
	if len(u.waiting) >= loadQueue {
		u.mu.Unlock()
		return false
	}
	turn := make(chan struct{})
	u.waiting = append(u.waiting, turn)
	u.mu.Unlock()
	<-turn
	return true
}

// work returns the time that the next request takes.
func (u *slotUpstream) work(mean time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if u.nextPause.IsZero() {
		u.nextPause = now.Add(time.Duration(u.random.Float64() * float64(loadPauseEvery)))
	}
	if !now.Before(u.nextPause) {
		u.pausedUntil, u.nextPause = now.Add(loadPause), now.Add(loadPauseEvery)
	}
	took := time.Duration((0.6 + 0.8*u.random.Float64()) * float64(mean))
	return took + max(u.pausedUntil.Sub(now), 0)
}

func (u *slotUpstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.waiting) == 0 {
		u.running--
		return
	}
	close(u.waiting[0])
	u.waiting = u.waiting[1:]
}

// loadClient implements kinds.UpstreamClient for the upstreams of a test; work is the mean work of a request by its path.
type loadClient struct {
	upstreams map[core.UpstreamID]*slotUpstream
	work      map[string]time.Duration
}

func (c *loadClient) Send(ctx context.Context, a kinds.UpstreamRequest) core.Reply {
	time.Sleep(loadOneWay)
	u := c.upstreams[a.To.ID]
	answered := make(chan core.Reply, 1)
	go func() {
		if !u.enter() {
			answered <- core.Reply{Outcome: core.OutcomeNotRun, Code: core.CodeShed, Status: http.StatusServiceUnavailable}
			return
		}
		defer u.leave()
		if ctx.Err() != nil {
			// A request whose caller left while it waited takes no time.
			return
		}
		select {
		case <-time.After(u.work(c.work[a.Request.Path])):
			answered <- core.Reply{Outcome: core.OutcomeRan, Code: core.CodeOK, Status: http.StatusOK, Body: make([]byte, 16), Signature: string(a.To.ID)}
		case <-ctx.Done():
		}
	}()
	select {
	case reply := <-answered:
		time.Sleep(loadOneWay)
		return reply
	case <-ctx.Done():
		return core.Reply{Outcome: core.OutcomeUnknown, Code: core.CodeCancelled}
	}
}

type plainWire struct{ kinds.Wire }

func (plainWire) EncodeGathered([]string, int) []core.HeaderField { return nil }

type trustingCatalog struct{}

func (trustingCatalog) ReportMisdirected(core.UpstreamID) {}

type wholeReach struct{}

func (wholeReach) RecordRequest(core.FailureDomain)      {}
func (wholeReach) RecordResponse(core.FailureDomain)     {}
func (wholeReach) IsUnreachable(core.FailureDomain) bool { return false }
func (wholeReach) Isolated() bool                        { return false }

type evenDelegate struct{}

func (evenDelegate) Delegate(context.Context, *core.View, *core.Route, *core.ForwardRequest) (kinds.RoutedAnswer, kinds.DelegateOutcome) {
	return kinds.RoutedAnswer{}, kinds.NotDelegated
}
func (evenDelegate) Share(*core.View, core.ServiceName) float64 { return 1.0 / loadVMs }
func (evenDelegate) Serve(func(context.Context, kinds.DelegatedRequest) kinds.RoutedAnswer) {
}

// loadRoutes are an urgent route with long work and one of a lower rank with short work, on the same shards.
func loadRoutes() *core.RoutingTable {
	shards := make([]core.ServiceName, loadShards)
	for i := range shards {
		shards[i] = core.ServiceName(fmt.Sprintf("shard-%d", i))
	}
	route := func(name string, objective time.Duration, rank int, least float64) core.Route {
		return core.Route{
			Name: core.RouteName(name), Host: "h", Prefix: "/" + name + "/", Idempotent: true, MaxAttempts: 2, Timeout: 2 * time.Second,
			Objective: objective, Priority: rank, Gather: &core.GatherRule{Shards: shards, TopRecords: 5, MinCoverage: least},
		}
	}
	return (&core.RoutingTable{Version: 1, Routes: []core.Route{
		route("long", 120*time.Millisecond, 1, 0.89), route("short", 60*time.Millisecond, 2, 0.75),
	}}).Index()
}

// loadTier is a number of VMs in front of the same upstreams.
type loadTier struct {
	routers []*router
	client  *loadClient
	random  *rand.Rand
}

func newLoadTier(seed uint64, settings Settings) *loadTier {
	t := &loadTier{random: rand.New(rand.NewPCG(seed, 1)), client: &loadClient{
		upstreams: make(map[core.UpstreamID]*slotUpstream),
		work:      map[string]time.Duration{"/long/": loadWork, "/short/": loadWork / 3},
	}}
	table := loadRoutes()
	groups := make(map[core.ServiceName]*core.Group)
	for i, shard := range table.Routes[0].Gather.Shards {
		group := &core.Group{Name: core.GroupName(shard)}
		for r := range loadReplicas {
			id := core.UpstreamID(fmt.Sprintf("u-%d-%d", i, r))
			group.Upstreams = append(group.Upstreams, core.Upstream{ID: id, Domain: "fd", Slots: loadSlots})
			t.client.upstreams[id] = &slotUpstream{random: rand.New(rand.NewPCG(seed, uint64(100*i+r+7)))}
		}
		groups[shard] = group
	}
	for vm := range loadVMs {
		states := make(map[core.UpstreamID]*core.UpstreamState)
		for id := range t.client.upstreams {
			states[id] = &core.UpstreamState{}
		}
		state := kernel.NewState()
		state.Update(func(v *core.View) {
			v.Routes, v.Registered = table, &core.RegisteredUpstreams{Groups: groups}
			v.Upstreams, v.Ready = core.MapOf(states), true
		})
		t.routers = append(t.routers, newRouter(params{
			State: state, Clock: bubbleClock{}, Random: kernel.NewRandom(seed + uint64(vm)), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			Identity: kernel.Identity{Domain: "fd"}, Wire: plainWire{}, Client: t.client, Catalog: trustingCatalog{}, Delegate: evenDelegate{},
			Reach: wholeReach{}, Selector: selection.New(selection.Defaults()),
		}, settings))
	}
	return t
}

// served counts what the callers of one route got.
type served struct{ asked, good, late, refused, failed int }

func (s *served) String() string {
	return fmt.Sprintf("asked %d, good %d, late %d, refused %d, failed %d", s.asked, s.good, s.late, s.refused, s.failed)
}

// play sends requests at a rate, three of four of them to the long route. A caller comes back once: at the time it was
// told, or at once after a failure.
func (t *loadTier) play(rate float64, span time.Duration) map[string]*served {
	results := map[string]*served{"long": {}, "short": {}}
	var mu sync.Mutex
	var callers sync.WaitGroup
	for start := time.Now(); time.Since(start) < span; {
		time.Sleep(time.Duration(t.random.ExpFloat64() / rate * float64(time.Second)))
		name := "long"
		if t.random.IntN(4) == 0 {
			name = "short"
		}
		first, second := t.routers[t.random.IntN(loadVMs)], t.routers[t.random.IntN(loadVMs)]
		callers.Go(func() {
			begun := time.Now()
			var away time.Duration
			answer := ask(first, name)
			if answer.Status != http.StatusOK {
				away = min(answer.RetryAfter, loadPatience/3)
				time.Sleep(away)
				answer = ask(second, name)
			}
			took := time.Since(begun)
			mu.Lock()
			defer mu.Unlock()
			r := results[name]
			r.asked++
			switch {
			case answer.Status == http.StatusServiceUnavailable:
				r.refused++
			case answer.Status != http.StatusOK:
				r.failed++
			case took <= first.State.Load().Routes.Match("h", "/"+name+"/").Objective+away:
				r.good++
			default:
				r.late++
			}
		})
	}
	callers.Wait()
	return results
}

func ask(r *router, name string) kinds.RoutedAnswer {
	return r.Route(context.Background(), &core.ForwardRequest{ID: "r", Host: "h", Path: "/" + name + "/", Arrived: time.Now(), Timeout: loadPatience})
}

// capacity is the number of requests a second that the upstreams can work on, in the mix that play sends.
func capacity() float64 {
	mean := (3*loadWork.Seconds() + loadWork.Seconds()/3) / 4
	return loadReplicas * loadSlots / mean * (1 - loadPause.Seconds()/loadPauseEvery.Seconds())
}

// playLoad plays a calm time, a load and a calm time again, and returns what the callers of the last two got
// and how many requests were held back.
func playLoad(t *testing.T, seed uint64, load float64) (during, after map[string]*served, throttled uint64) {
	synctest.Test(t, func(*testing.T) {
		const calm = 0.3
		tier := newLoadTier(seed, defaults())
		tier.play(calm*capacity(), 2*time.Second)
		during = tier.play(load*capacity(), 5*time.Second)
		time.Sleep(time.Second)
		after = tier.play(calm*capacity(), 2*time.Second)
		for _, r := range tier.routers {
			throttled += r.counters.throttled.Load()
		}
		// Attempts that lost against others end before the bubble does.
		time.Sleep(3 * time.Second)
	})
	t.Logf("seed %d, load %.1f: long %v; short %v; after: long %v; short %v", seed, load, during["long"], during["short"], after["long"], after["short"])
	return during, after, throttled
}

// TestMoreLoadThanCapacityDoesNotLowerWhatIsServed guards against a collapse: requests that each lose some of their parts
// fail after most of their work was done, come back at once, and leave nothing for those that could succeed.
func TestMoreLoadThanCapacityDoesNotLowerWhatIsServed(t *testing.T) {
	const mayFall = 0.9
	for _, seed := range []uint64{1, 2} {
		c := qt.New(t)
		full, _, _ := playLoad(t, seed, 1)
		for _, load := range []float64{1.2, 2} {
			over, after, _ := playLoad(t, seed, load)
			c.Check(float64(over["long"].good) >= mayFall*float64(full["long"].good), qt.IsTrue)
			// What is refused does not run, so nearly nothing may run in vain.
			c.Check(over["long"].failed < over["long"].good/2, qt.IsTrue)
			for _, r := range after {
				c.Check(r.good >= r.asked*9/10, qt.IsTrue, qt.Commentf("a second after the load: %v", r))
			}
		}
	}
}

// TestLowerRankIsHeldBackFirstButNotStarved guards against an overload in which all routes lose alike, and one in which
// the lower rank is not served at all.
func TestLowerRankIsHeldBackFirstButNotStarved(t *testing.T) {
	c := qt.New(t)
	during, _, _ := playLoad(t, 3, 1.5)
	share := func(r *served) float64 { return float64(r.good+r.late) / float64(r.asked) }
	long, short := during["long"], during["short"]
	all := float64(long.good+long.late+short.good+short.late) / float64(long.asked+short.asked)
	c.Check(share(long) > share(short), qt.IsTrue)
	c.Check(share(short) >= all/4, qt.IsTrue, qt.Commentf("%.2f of the lower rank, %.2f of all", share(short), all))
}

// TestLoadWithinCapacityIsNotHeldBack guards against a throttle that takes the pauses of single upstreams for overload. Both
// replicas of several shards may pause at the same time, so a few requests may be held back.
func TestLoadWithinCapacityIsNotHeldBack(t *testing.T) {
	c := qt.New(t)
	for _, load := range []float64{0.3, 0.5} {
		during, _, throttled := playLoad(t, 4, load)
		c.Check(throttled*100 <= uint64(during["long"].asked+during["short"].asked), qt.IsTrue, qt.Commentf("%d held back", throttled))
		for _, r := range during {
			c.Check(r.good >= r.asked*9/10, qt.IsTrue)
		}
	}
}
