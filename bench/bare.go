package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"gooseberrylane.example/core"
)

// bareCommand is the first argument with which this program runs as the bare fan-out, the reference of the slopes.
const bareCommand = "bare-fan-out"

// bareFanOut answers queries with net/http alone: one goroutine and one request for each shard, waiting for all.
type bareFanOut struct {
	services map[core.ServiceName]*core.Service
	client   *http.Client
	attempts atomic.Uint64
}

const (
	bareConnections = 30
	bareIdleTime    = time.Minute
)

// runBare serves a list of services from a file on an address until the process is ended.
func runBare(path, listen string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var services []*core.Service
	if err := json.Unmarshal(raw, &services); err != nil {
		return err
	}
	b := &bareFanOut{services: make(map[core.ServiceName]*core.Service), client: &http.Client{Transport: &http.Transport{
		MaxConnsPerHost: bareConnections, MaxIdleConnsPerHost: bareConnections, IdleConnTimeout: bareIdleTime, DisableCompression: true,
	}}}
	for _, service := range services {
		b.services[service.Name] = service
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/query", b.query)
	server := &http.Server{Addr: listen, Handler: mux, ReadHeaderTimeout: time.Second}
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// bareAnswer has the fields that the check of answers needs.
type bareAnswer struct {
	Code      core.Code         `json:"code"`
	Name      string            `json:"name"`
	RequestID string            `json:"request_id"`
	Snapshot  core.IndexVersion `json:"snapshot"`
	Covered   []bareShard       `json:"covered"`
}

type bareShard struct {
	Shard core.ShardName  `json:"shard"`
	Data  json.RawMessage `json:"data"`
}

func (b *bareFanOut) query(w http.ResponseWriter, r *http.Request) {
	var body queryBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || b.services[body.Service] == nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	service := b.services[body.Service]
	named := make(map[core.ShardName]bool, len(body.Shards))
	for _, name := range body.Shards {
		named[name] = true
	}
	a := bareAnswer{Name: core.CodeOK.String(), RequestID: body.RequestID, Snapshot: 1}
	for _, shard := range service.Layouts[0].Shards {
		if len(named) == 0 || named[shard.Name] {
			a.Covered = append(a.Covered, bareShard{Shard: shard.Name})
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(body.TimeoutMS)*time.Millisecond)
	defer cancel()
	if err := b.fanOut(ctx, service, &body, a.Covered); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(&a)
}

func (b *bareFanOut) fanOut(ctx context.Context, service *core.Service, body *queryBody, shards []bareShard) error {
	errs := make([]error, len(shards))
	var work sync.WaitGroup
	for i := range shards {
		work.Go(func() { shards[i].Data, errs[i] = b.execute(ctx, service, body, shards[i].Shard) })
	}
	work.Wait()
	return errors.Join(errs...)
}

func (b *bareFanOut) execute(ctx context.Context, service *core.Service, body *queryBody, name core.ShardName) ([]byte, error) {
	attempt := b.attempts.Add(1)
	var address string
	for _, shard := range service.Layouts[0].Shards {
		if shard.Name == name {
			upstreams := service.Group(shard.Group).Upstreams
			address = upstreams[attempt%uint64(len(upstreams))].Address
		}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/execute", bytes.NewReader(nil))
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	request.Header.Set("X-Request-Id", body.RequestID)
	request.Header.Set("X-Attempt", strconv.FormatUint(attempt, 10))
	request.Header.Set("X-Shard", string(name))
	request.Header.Set("X-Index-Version", "1")
	request.Header.Set("X-Deadline-Us", strconv.FormatInt(deadline.UnixMicro(), 10))
	response, err := b.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("shard %s: status %d", name, response.StatusCode)
	}
	return io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
}
