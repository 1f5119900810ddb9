package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"gooseberrylane.example/core"
)

const (
	// queryDeadline is the deadline of every query.
	queryDeadline = time.Second
	// answerGrace is how long after the deadline a caller still waits for the answer.
	answerGrace = 500 * time.Millisecond
	// maxOpenQueries bounds the queries that wait for an answer.
	maxOpenQueries = 20_000
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 8 << 20
	maxSends       = 3
	connsPerVM     = 64
)

// queryBody is the body of POST /v1/query.
type queryBody struct {
	Service    core.ServiceName `json:"service"`
	RequestID  string           `json:"request_id"`
	Caller     core.CallerName  `json:"caller"`
	TimeoutMS  int64            `json:"timeout_ms"`
	Idempotent bool             `json:"idempotent"`
	Shards     []core.ShardName `json:"shards,omitempty"`
}

// outcome is the result of one query at the caller.
type outcome struct {
	query *arrival
	// answer is nil if none was received.
	answer *answer
	// took is the time since the intended start.
	took time.Duration
	// connectionLost is set when a connection to a VM broke after the query was sent.
	connectionLost bool
	// decodeError is the reason why an answer could not be decoded.
	decodeError string
	sends       int
	// entryDomain is the failure domain of the last VM to which the query was sent.
	entryDomain int
	// reach holds whether the entry VM could reach each domain when the query was sent and when it ended.
	reach [2][domainCount]bool
}

// caller sends the queries of the load.
type caller struct {
	fleet  *fleet
	client *http.Client
	delay  time.Duration
}

func newCaller(f *fleet) *caller {
	dialer := &net.Dialer{Timeout: queryDeadline}
	return &caller{
		fleet: f, delay: f.testbed.network.delays.clients,
		client: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: connsPerVM, IdleConnTimeout: time.Minute, DisableCompression: true,
		}},
	}
}

func (c *caller) close() { c.client.CloseIdleConnections() }

// run sends the arrivals at their intended starts, independently of earlier ones, and calls observe for each outcome.
// It returns the number of queries that were not sent because too many were open.
func (c *caller) run(ctx context.Context, arrivals []arrival, observe func(outcome)) (notSent int) {
	var open sync.WaitGroup
	defer open.Wait()
	slots := make(chan struct{}, maxOpenQueries)
	started := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i := range arrivals {
		timer.Reset(time.Until(started.Add(arrivals[i].at)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return notSent + len(arrivals) - i
		}
		select {
		case slots <- struct{}{}:
		default:
			notSent++
			continue
		}
		open.Go(func() {
			defer func() { <-slots }()
			observe(c.query(ctx, &arrivals[i], started.Add(arrivals[i].at)))
		})
	}
	return notSent
}

// query sends one query. If the connection breaks, it sends the query again, under the same request ID, to another VM.
func (c *caller) query(ctx context.Context, q *arrival, intended time.Time) outcome {
	deadline := intended.Add(2*c.delay + queryDeadline)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(answerGrace))
	defer cancel()
	o := outcome{query: q}
	for o.sends < maxSends && o.answer == nil && o.decodeError == "" {
		v := c.fleet.choose(q.number, o.sends)
		o.sends++
		o.entryDomain = v.domain
		o.reach[0] = c.reach(v.domain)
		raw, sent, err := c.send(ctx, v, q, max(time.Until(deadline)-2*c.delay, time.Millisecond))
		o.reach[1] = c.reach(v.domain)
		if err == nil {
			o.read(raw)
			break
		}
		o.connectionLost = o.connectionLost || (sent && ctx.Err() == nil)
		if time.Now().After(deadline) || ctx.Err() != nil {
			break
		}
	}
	// The delay is the same in both directions.
	o.took = time.Since(intended) + c.delay
	return o
}

func (o *outcome) read(raw []byte) {
	a, err := decodeAnswer(raw)
	if err != nil {
		o.decodeError = err.Error()
		return
	}
	o.answer = a
}

func (c *caller) reach(from int) (reach [domainCount]bool) {
	for domain := range domainCount {
		reach[domain] = c.fleet.testbed.network.connected(from, domain)
	}
	return reach
}

// send makes one call after the delay between client and VM. sent reports whether the VM may have received the query.
func (c *caller) send(ctx context.Context, v *vm, q *arrival, timeout time.Duration) (raw []byte, sent bool, err error) {
	body := queryBody{
		Service: q.service, RequestID: q.id, Caller: q.caller, TimeoutMS: max(timeout.Milliseconds(), 1), Idempotent: q.kind != write,
		Shards: q.shards,
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, false, err
	}
	time.Sleep(c.delay)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.address(callerPort)+"/v1/query", bytes.NewReader(encoded))
	if err != nil {
		return nil, false, err
	}
	// With this header the HTTP client retries if a VM closes an idle connection just as it is reused. The VM has not read
	// the query in that case.
	request.Header["Idempotency-Key"] = []string{strconv.Quote(q.id)}
	response, err := c.client.Do(request)
	if err != nil {
		var op *net.OpError
		return nil, !errors.As(err, &op) || op.Op != "dial", err
	}
	defer response.Body.Close()
	raw, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return raw, true, err
}
