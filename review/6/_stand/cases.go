package main

import (
	"fmt"
	"net/http"
	"sort"
	"time"
)

// staleLag is how old stale reads are where a case makes them old. PROTOCOL.md says "seconds old"; the site file plays 5.5 s.
const staleLag = 3 * time.Second

// Services of the cases.
const (
	cardService = "juhiabi"
	nextService = "kliendiliin"
)

// fleet registers the backends of a small deployment: 20 and 30 shards with two backends each, four and three others.
func (w *world) fleet(work time.Duration) error {
	for shard := range 50 {
		for copy := range 2 {
			if _, err := w.addBackend(fmt.Sprintf("i-%02d%02d", shard, copy), fmt.Sprintf("shard-%02d", shard), zones[copy], 2, work); err != nil {
				return err
			}
		}
	}
	for i := range 4 {
		if _, err := w.addBackend(fmt.Sprintf("i-card-%d", i), cardService, zones[i%3], 6, work); err != nil {
			return err
		}
	}
	for i := range 3 {
		if _, err := w.addBackend(fmt.Sprintf("i-next-%d", i), nextService, zones[i%3], 6, work); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) backend(id string) *backend {
	for _, b := range w.backends {
		if b.id == id {
			return b
		}
	}
	panic(id)
}

// lateRuns returns the runs of requests that reached a backend later than bound after ack, of requests that were sent to VMs in touch: calm, and
// not started, for stabilityWindow.
func (w *world) lateRuns(id string, ack time.Time, bound time.Duration, calm time.Time, calls map[string]*call) []run {
	started := make(map[string]time.Time)
	for _, v := range w.vms {
		started[v.name] = v.started
		if calm.After(v.started) {
			started[v.name] = calm
		}
	}
	var late []run
	for _, r := range w.journal.all() {
		c := calls[r.attempt]
		if r.backend != id || c == nil || !r.arrived.After(ack.Add(bound)) {
			continue
		}
		if c.sent.After(started[c.vm].Add(stabilityWindow)) {
			late = append(late, r)
		}
	}
	return late
}

// writeDetails records all attempts, and where and when they reached backends that ran them.
func (w *world) writeDetails(calls map[string]*call) {
	statuses := map[string]int{}
	byAttempt := map[string][]run{}
	for _, r := range w.journal.all() {
		byAttempt[r.attempt] = append(byAttempt[r.attempt], r)
	}
	ordered := make([]*call, 0, len(calls))
	for _, c := range calls {
		ordered = append(ordered, c)
	}
	sort.Slice(ordered, func(i, j int) bool { return ordered[i].sent.Before(ordered[j].sent) })
	for _, c := range ordered {
		outcome := fmt.Sprintf("status %d", c.status)
		if c.err != "" {
			outcome = "no answer: " + c.err
		}
		statuses[outcome]++
		where := ""
		for _, r := range byAttempt[c.attempt] {
			where += fmt.Sprintf(" %s@%.3f", r.backend, r.arrived.Sub(w.begun).Seconds())
		}
		w.detail(c.sent, "%s %s %s -> %s after %.0f ms; ran at%s", c.attempt, c.vm, c.path, outcome, float64(c.ended.Sub(c.sent).Microseconds())/1000, where)
	}
	for outcome, n := range statuses {
		if len(outcome) > 120 {
			outcome = outcome[:120]
		}
		w.printf("%d attempts ended with %s", n, outcome)
	}
}

// pageLag is the lag of the replica that answers the later pages of stale lists of the backends.
func pageLag(o readOptions) time.Duration {
	if o.kind == "servers" && o.after != "" {
		return staleLag
	}
	return 0
}

// latePage takes two backends away. Shortly after the first has gone, the store cuts off the waiting watches; shortly after the second, a
// VM is killed and started again. In both cases VMs read a stale list of several pages, of which the later ones come from a replica
// of the store that is behind the one that answered the first page.
func latePage(w *world) (bool, error) {
	w.store.lag = pageLag
	if err := w.store.start(); err != nil {
		return false, err
	}
	if err := w.fleet(cardWork); err != nil {
		return false, err
	}
	w.putManifest(1, route("card", "/card/", "non_idempotent", nextService))
	// The replica that is behind has caught up before anything starts.
	time.Sleep(staleLag)
	if err := w.startVMs(); err != nil {
		return false, err
	}
	w.printf("%d VMs are ready", len(w.vms))
	callers := newCallers()
	for _, v := range w.vms {
		callers.start(traffic{vm: v, method: http.MethodPost, path: "/card/", perSecond: 25, deadline: 8 * time.Second})
	}
	time.Sleep(5 * time.Second)
	acks, disrupted := make(map[string]time.Time), make(map[string]time.Time)
	leave := func(id string, after time.Duration, disrupt func() error) error {
		acks[id] = w.store.remove("servers", id)
		w.printf("the store acknowledged that %s is gone", id)
		time.Sleep(after)
		if w.trouble {
			if err := disrupt(); err != nil {
				return err
			}
		}
		disrupted[id] = time.Now()
		// The backend serves for drain_ms and some seconds longer.
		time.Sleep(time.Until(acks[id].Add(drainBound + 7*time.Second)))
		w.backend(id).stop()
		w.printf("%s has exited", id)
		return nil
	}
	if err := leave("i-next-0", 1700*time.Millisecond, func() error {
		w.store.cutWatches()
		w.printf("the store cut off the waiting watches")
		return nil
	}); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if err := leave("i-next-1", 600*time.Millisecond, func() error {
		v := w.vms[1]
		v.kill()
		w.printf("%s was killed", v.name)
		time.Sleep(300 * time.Millisecond)
		if err := v.start(); err != nil {
			return err
		}
		w.printf("%s was started again", v.name)
		return nil
	}); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	calls := callers.finish()
	w.writeDetails(calls)
	broken := false
	for _, id := range []string{"i-next-0", "i-next-1"} {
		broken = w.reportLate(id, acks[id], disrupted[id], calls) || broken
	}
	return broken, nil
}

// reportLate reports the requests that reached a backend later than drain_ms after the ack that it is gone, and whether there are any.
// VMs count as in touch from stabilityWindow after calm on, so that it may be the time of an event that may count as a disruption.
func (w *world) reportLate(id string, ack, calm time.Time, calls map[string]*call) bool {
	late := w.lateRuns(id, ack, drainBound, calm, calls)
	byVM, lost, last := map[string]int{}, 0, time.Duration(0)
	for _, r := range late {
		byVM[calls[r.attempt].vm]++
		if calls[r.attempt].status != http.StatusOK {
			lost++
		}
		last = max(last, r.arrived.Sub(ack))
	}
	w.printf("%d requests reached %s later than drain_ms after the ack, the last %.2f s after it, by VM %v; %d of them ran and got no success", len(late), id, last.Seconds(), byVM, lost)
	return len(late) > 0
}

// cardWork is the time that a backend works on a request, as for the card look-ups of the sheet.
const cardWork = 120 * time.Millisecond

// watchLag is how far the replica that answers stale reads of the manifest is behind in lateWatch.
const watchLag = 5 * time.Second

// lateWatch changes the manifest while the replica of the store that answers stale reads of the kind config is some seconds behind.
// Stale reads of other kinds are current.
func lateWatch(w *world) (bool, error) {
	w.store.lag = func(o readOptions) time.Duration {
		if w.trouble && o.kind == "config" {
			return watchLag
		}
		return 0
	}
	if err := w.store.start(); err != nil {
		return false, err
	}
	if err := w.fleet(20 * time.Millisecond); err != nil {
		return false, err
	}
	w.putManifest(1, route("card", "/card/", "non_idempotent", cardService))
	time.Sleep(watchLag)
	if err := w.startVMs(); err != nil {
		return false, err
	}
	w.printf("%d VMs are ready", len(w.vms))
	callers := newCallers()
	for _, v := range w.vms {
		callers.start(traffic{vm: v, method: http.MethodPost, path: "/card/", perSecond: 25, deadline: 4 * time.Second})
	}
	broken := 0
	services := []string{cardService, nextService}
	type version struct {
		ack time.Time
		old string
	}
	var versions []version
	for n := range 4 {
		time.Sleep(10 * time.Second)
		next := services[(n+1)%2]
		ack := w.putManifest(n+2, route("card", "/card/", "non_idempotent", next))
		w.printf("the store acknowledged version %d, which moves the route to %s", n+2, next)
		versions = append(versions, version{ack, services[n%2]})
	}
	time.Sleep(10 * time.Second)
	calls := callers.finish()
	w.writeDetails(calls)
	for i, v := range versions {
		end := time.Now()
		if i+1 < len(versions) {
			end = versions[i+1].ack
		}
		late, last := 0, time.Duration(0)
		for _, r := range w.journal.all() {
			c := calls[r.attempt]
			if c != nil && r.service == v.old && c.sent.After(v.ack.Add(configApplyBound)) && c.sent.Before(end) {
				late++
				last = max(last, c.sent.Sub(v.ack))
			}
		}
		w.printf("version %d: %d requests sent later than config_apply_ms after the ack were run by the old service %s, the last sent %.2f s after the ack", i+2, late, v.old, last.Seconds())
		broken += late
	}
	return broken > 0, nil
}

// littleLonger is how much longer than drain_ms a backend serves after its entry was removed. A request takes cardWork.
const littleLonger = 200 * time.Millisecond

// cutWatch takes backends away, two within a moment, while the store cuts off the watches that are waiting once.
func cutWatch(w *world) (bool, error) {
	if err := w.store.start(); err != nil {
		return false, err
	}
	if err := w.fleet(cardWork); err != nil {
		return false, err
	}
	w.putManifest(1, route("card", "/card/", "non_idempotent", nextService))
	if err := w.startVMs(); err != nil {
		return false, err
	}
	w.printf("%d VMs are ready", len(w.vms))
	callers := newCallers()
	for _, v := range w.vms {
		callers.start(traffic{vm: v, method: http.MethodPost, path: "/card/", perSecond: 30, deadline: 8 * time.Second})
	}
	acks := make(map[string]time.Time)
	var gone []string
	for round := range 6 {
		time.Sleep(6 * time.Second)
		id := fmt.Sprintf("i-next-%d", round)
		first := w.store.remove("servers", fmt.Sprintf("i-%02d00", 40+round))
		time.Sleep(50 * time.Millisecond)
		acks[id] = w.store.remove("servers", id)
		gone = append(gone, id)
		w.printf("the store acknowledged that %s is gone", id)
		time.Sleep(time.Until(first.Add(930 * time.Millisecond)))
		if w.trouble {
			w.store.cutWatches()
			w.printf("the store cut off the waiting watches")
		}
		// The backend serves for drain_ms and a little longer.
		time.Sleep(time.Until(acks[id].Add(drainBound + littleLonger)))
		w.backend(id).stop()
		w.printf("%s has exited", id)
		// Another backend takes its place in its failure domain.
		if _, err := w.addBackend(fmt.Sprintf("i-next-%d", round+3), nextService, zones[round%3], 6, cardWork); err != nil {
			return false, err
		}
	}
	calls := callers.finish()
	w.writeDetails(calls)
	broken := false
	for _, id := range gone {
		broken = w.reportLate(id, acks[id], w.begun, calls) || broken
	}
	return broken, nil
}

// Disturbances of lateWithdraw.
const (
	// deleteDelay is when a lost deletion is executed: the pages say 1 to 6 s later.
	deleteDelay = 4 * time.Second
	// greyShare of the backends fail greyFailures of their requests for greyFor, as on a day of the site file.
	greyShare, greyFailures = 0.8, 0.6
	greyFor                 = 9 * time.Second
	restartDelay            = 300 * time.Millisecond
)

// lateWithdraw restarts all VMs in turn, while the store loses the answers of two of their deletions and executes them late. Later, when
// the store has been stable for long, most backends of a service fail part of their requests for some seconds.
func lateWithdraw(w *world) (bool, error) {
	lost := 0
	w.store.loseDeletes = func(kind, name string) time.Duration {
		if !w.trouble || lost == 2 {
			return 0
		}
		lost++
		w.printf("the store executes the deletion of %s/%s %v late and does not answer it", kind, name, deleteDelay)
		return deleteDelay
	}
	if err := w.store.start(); err != nil {
		return false, err
	}
	if err := w.fleet(10 * time.Millisecond); err != nil {
		return false, err
	}
	r := route("card", "/card/", "idempotent", cardService)
	w.putManifest(1, r)
	if err := w.startVMs(); err != nil {
		return false, err
	}
	w.printf("%d VMs are ready", len(w.vms))
	for _, v := range w.vms {
		w.printf("%s gets SIGTERM", v.name)
		v.terminate()
		time.Sleep(restartDelay)
		if err := v.start(); err != nil {
			return false, err
		}
		if err := v.awaitReady(); err != nil {
			return false, err
		}
		w.printf("%s is ready again", v.name)
		time.Sleep(time.Second)
	}
	time.Sleep(deleteDelay)
	w.store.mu.Lock()
	listed := len(w.store.objects("gooseberrylane-vms", w.store.revision))
	w.store.mu.Unlock()
	w.printf("all VMs run; the store lists %d of %d", listed, len(w.vms))
	callers := newCallers()
	for _, v := range w.vms {
		callers.start(traffic{vm: v, method: http.MethodGet, path: "/card/", perSecond: 33, deadline: 2 * time.Second})
	}
	time.Sleep(14 * time.Second)
	w.printf("backends fail %.0f of 100 requests each", 100*greyFailures)
	for i := range 4 {
		if float64(i) < greyShare*4 {
			w.backend(fmt.Sprintf("i-card-%d", i)).failures.Store(int64(100 * greyFailures))
		}
	}
	time.Sleep(greyFor)
	for i := range 4 {
		w.backend(fmt.Sprintf("i-card-%d", i)).failures.Store(0)
	}
	w.printf("backends are sound again")
	time.Sleep(11 * time.Second)
	calls := callers.finish()
	w.writeDetails(calls)
	return w.reportRetries(cardService, calls), nil
}

// reportRetries reports the window of retry_window_s with the most arrivals beyond what the rule allows, and whether there is one.
func (w *world) reportRetries(service string, calls map[string]*call) bool {
	var extra, requests []time.Time
	seen := make(map[string]bool)
	for _, r := range w.journal.all() {
		if r.service != service {
			continue
		}
		if seen[r.attempt] {
			extra = append(extra, r.arrived)
		}
		seen[r.attempt] = true
	}
	for _, c := range calls {
		requests = append(requests, c.sent)
	}
	within := func(times []time.Time, from time.Time) int {
		n := 0
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(retryWindow)) {
				n++
			}
		}
		return n
	}
	worst, most, allowed := -1e9, 0, 0.0
	for from := w.begun; from.Before(time.Now().Add(-retryWindow)); from = from.Add(100 * time.Millisecond) {
		n := within(extra, from)
		base := max(within(requests, from), within(requests, from.Add(-retryWindow)), within(requests, from.Add(-retryWindow/2)))
		limit := retryRatio*float64(base) + retrySlack
		if over := float64(n) - limit; over > worst {
			worst, most, allowed = over, n, limit
		}
	}
	w.printf("in the worst %v, %s got %d arrivals beyond the first of each request; the rule allows %.1f", retryWindow, service, most, allowed)
	return worst > 0
}

// thirdBackend lets three of the four backends of a service fail part of their requests for some seconds. The fourth is sound and accepts
// no further connections while its queue is long.
func thirdBackend(w *world) (bool, error) {
	if err := w.store.start(); err != nil {
		return false, err
	}
	for i := range 4 {
		b := &backend{id: fmt.Sprintf("i-card-%d", i), service: cardService, zone: zones[i%3], slots: 6, work: cardWork, journal: w.journal, limited: i == 3}
		if err := b.start(); err != nil {
			return false, err
		}
		w.backends = append(w.backends, b)
		w.store.put("servers", b.id, b.entry("ready", 1, time.Now().UnixMilli()))
	}
	r := route("card", "/card/", "idempotent", cardService)
	w.putManifest(1, r)
	if err := w.startVMs(); err != nil {
		return false, err
	}
	w.printf("%d VMs are ready", len(w.vms))
	callers := newCallers()
	for _, v := range w.vms {
		callers.start(traffic{vm: v, method: http.MethodGet, path: "/card/", perSecond: 30, deadline: 4 * time.Second})
	}
	time.Sleep(14 * time.Second)
	for range 3 {
		if w.trouble {
			w.printf("three backends fail %.0f of 100 requests each", 100*greyFailures)
			for _, b := range w.backends[:3] {
				b.failures.Store(int64(100 * greyFailures))
			}
		}
		time.Sleep(greyFor)
		for _, b := range w.backends[:3] {
			b.failures.Store(0)
		}
		w.printf("all backends are sound")
		time.Sleep(6 * time.Second)
	}
	calls := callers.finish()
	w.writeDetails(calls)
	backends := make(map[string]map[string]bool)
	for _, r := range w.journal.all() {
		if backends[r.attempt] == nil {
			backends[r.attempt] = make(map[string]bool)
		}
		backends[r.attempt][r.backend] = true
	}
	over := 0
	for _, ran := range backends {
		if len(ran) > 2 {
			over++
		}
	}
	w.printf("%s refused connections %d times; %d requests ran on more backends than max_attempts, 2; the rule allows 3", w.backends[3].id, w.backends[3].refused.Load(), over)
	return over > 3, nil
}
