package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"gooseberrylane.example/core"
)

// queryRequest is the body of POST /v1/query.
type queryRequest struct {
	Service    string            `json:"service"`
	RequestID  string            `json:"request_id"`
	Caller     string            `json:"caller,omitempty"`
	TimeoutMS  core.Milliseconds `json:"timeout_ms,omitempty"`
	Idempotent bool              `json:"idempotent"`
	Shards     []string          `json:"shards,omitempty"`
	Payload    json.RawMessage   `json:"payload,omitempty"`
	Explain    bool              `json:"explain,omitempty"`
}

// queryAnswer is the part of an answer that the table shows. JSON output contains the whole answer.
type queryAnswer struct {
	Code     core.Code         `json:"code"`
	Name     string            `json:"name"`
	Snapshot core.IndexVersion `json:"snapshot"`
	Revision core.Revision     `json:"revision"`
	Covered  []struct {
		Shard string          `json:"shard"`
		Data  json.RawMessage `json:"data"`
	} `json:"covered"`
	Missing []struct {
		Shard  string `json:"shard"`
		Reason string `json:"reason"`
	} `json:"missing"`
	Notes    []string `json:"notes"`
	Attempts []struct {
		Shard    string `json:"shard"`
		Upstream string `json:"upstream"`
		Reason   string `json:"reason"`
		SentUS   int64  `json:"sent_us"`
		EndedUS  int64  `json:"ended_us"`
		Result   string `json:"result"`
		Outcome  string `json:"outcome"`
	} `json:"attempts"`
}

const requestIDBytes = 16

func (a *app) queryCommand() *ffcli.Command {
	flags := a.flagSet("query")
	var (
		request queryRequest
		shards  = flags.String("shards", "", "`names` of the requested shards, separated by commas; default all")
		payload = flags.String("payload", "", "JSON `value` for the upstreams")
		limit   = flags.Duration("deadline", 0, "time limit of the query; default that of the service")
		write   = flags.Bool("write", false, "the request is not idempotent: it runs at most once and names one shard")
	)
	flags.StringVar(&request.RequestID, "id", "", "request `ID`; default a random one")
	flags.StringVar(&request.Caller, "caller", "", "`name` of the caller")
	flags.BoolVar(&request.Explain, "explain", false, "list every attempt")
	return a.command("query", "gooseberrylane query [flags] SERVICE", "send a query to a service", takesCallers, flags, func(ctx context.Context, args []string) error {
		if err := checkArguments(args, "SERVICE"); err != nil {
			return err
		}
		request.Service, request.Idempotent = args[0], !*write
		request.TimeoutMS = core.Milliseconds(*limit / time.Millisecond)
		if *shards != "" {
			request.Shards = strings.Split(*shards, ",")
		}
		if *payload != "" {
			request.Payload = json.RawMessage(*payload)
		}
		if request.RequestID == "" {
			request.RequestID = randomID()
		}
		return a.query(ctx, &request)
	})
}

// randomID returns a random request ID. crypto/rand.Read never returns an error.
func randomID() string {
	var id [requestIDBytes]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

func (a *app) query(ctx context.Context, request *queryRequest) error {
	if request.Payload != nil && !json.Valid(request.Payload) {
		return core.Errorf(core.CodeBadRequest, "-payload is not JSON")
	}
	var raw json.RawMessage
	err := a.callFirst(ctx, "callers", a.callers, call{
		method: http.MethodPost, path: "/v1/query", body: request, retryAnyFailure: request.Idempotent,
	}, &raw)
	var coded *core.Error
	if errors.As(err, &coded) && coded.Code == core.CodeOutcomeUnknown {
		a.note("repeat the command with the same -id %s to get the outcome; the request does not run twice", request.RequestID)
	}
	if err != nil {
		return err
	}
	var answer queryAnswer
	if err := json.Unmarshal(raw, &answer); err != nil {
		return core.Errorf(core.CodeInternal, "cannot decode the answer: %v", err)
	}
	if err := a.print(raw, answer.table); err != nil {
		return err
	}
	if answer.Code != core.CodeOK {
		return core.Errorf(answer.Code, "%d of %d shards are missing", len(answer.Missing), len(answer.Missing)+len(answer.Covered))
	}
	return nil
}

func (q *queryAnswer) table(t *table) {
	t.line("%s, snapshot %d, revision %d, %d of %d shards", q.Name, q.Snapshot, q.Revision, len(q.Covered), len(q.Covered)+len(q.Missing))
	for _, note := range q.Notes {
		t.line("note: %s", note)
	}
	t.row("SHARD", "RESULT", "DATA")
	for _, shard := range q.Covered {
		t.row(shard.Shard, "covered", string(shard.Data))
	}
	for _, shard := range q.Missing {
		t.row(shard.Shard, shard.Reason, "")
	}
	if len(q.Attempts) == 0 {
		return
	}
	t.line("")
	t.row("SHARD", "UPSTREAM", "WHY", "SENT US", "ENDED US", "RESULT", "OUTCOME")
	for _, at := range q.Attempts {
		t.row(at.Shard, at.Upstream, at.Reason, at.SentUS, at.EndedUS, at.Result, at.Outcome)
	}
}
