// Command stand plays the cases of the review: it starts the daemon as processes of its own and stand-ins for the platform's store,
// the backends and the clients, and checks one rule from what the stand-ins saw.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// record is the log of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func (r *record) printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.begun).Seconds()) + fmt.Sprintf(format, values...)
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

// detail writes a line to the record only.
func (r *record) detail(at time.Time, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f   %s\n", at.Sub(r.begun).Seconds(), fmt.Sprintf(format, values...))
}

// world is what a case runs.
type world struct {
	*record
	trouble  bool
	dir      string
	store    *store
	journal  *journal
	vms      []*vm
	backends []*backend
}

// cases holds the checks by name. A case returns whether the rule was broken.
var cases = map[string]func(*world) (bool, error){
	"late-page":     latePage,
	"late-watch":    lateWatch,
	"cut-watch":     cutWatch,
	"late-withdraw": lateWithdraw,
	"third-backend": thirdBackend,
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "", "file for what was sent, answered and run")
	flag.Parse()
	check := cases[*name]
	file, err := os.Create(*path)
	if check == nil || err != nil {
		fmt.Fprintln(os.Stderr, "no such case, or the record cannot be written:", err)
		return exitCannotRun
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "stand-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer os.RemoveAll(dir)
	w := &world{
		record: &record{file: file, begun: time.Now()}, trouble: os.Getenv("TROUBLE") != "0", dir: dir, store: newStore(), journal: &journal{},
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.end()
		os.RemoveAll(dir)
		os.Exit(exitCannotRun)
	}()
	defer w.end()
	w.printf("case %s, trouble %t", *name, w.trouble)
	broken, err := check(w)
	if kept := os.Getenv("STAND_LOGS"); kept != "" {
		_ = os.CopyFS(filepath.Join(kept, filepath.Base(dir)), os.DirFS(dir))
	}
	switch {
	case err != nil:
		w.printf("the case could not run: %v", err)
		return exitCannotRun
	case broken:
		w.printf("result: the rule was broken")
		return exitBroken
	default:
		w.printf("result: the rule held")
		return exitHeld
	}
}

// end ends all processes and stand-ins.
func (w *world) end() {
	for _, v := range w.vms {
		v.kill()
	}
	for _, b := range w.backends {
		b.stop()
	}
	if w.store.server != nil {
		w.store.stop()
	}
}

// addBackend starts a backend and registers it.
func (w *world) addBackend(id, service, zone string, slots int, work time.Duration) (*backend, error) {
	b := &backend{id: id, service: service, zone: zone, slots: slots, work: work, journal: w.journal}
	if err := b.start(); err != nil {
		return nil, err
	}
	w.backends = append(w.backends, b)
	w.store.put("servers", id, b.entry("ready", 1, time.Now().UnixMilli()))
	return b, nil
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// startVMs starts one VM in each failure domain and waits until all are ready.
func (w *world) startVMs() error {
	for i, zone := range zones {
		v, err := newVM(w.dir, fmt.Sprintf("front-%s-%d", zone, i+1), zone, w.store.address)
		if err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
		w.vms = append(w.vms, v)
	}
	for _, v := range w.vms {
		if err := v.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// route returns a route to one service.
func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": routeHost, words.Fields.Prefix: prefix, "type": kind, "timeout_ms": 4000, "slo_ms": 500, "priority": 1, "max_attempts": 2, "service": service,
	}
}

// putManifest writes the manifest and returns the time of the ack.
func (w *world) putManifest(version int, routes ...map[string]any) time.Time {
	listed := make(map[string]bool)
	services := []map[string]any{}
	for _, b := range w.backends {
		if !listed[b.service] {
			listed[b.service] = true
			services = append(services, map[string]any{"name": b.service, "health_path": "/healthz", "max_conns": 116, "protocol": "h1", "tls": false})
		}
	}
	return w.store.put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}
