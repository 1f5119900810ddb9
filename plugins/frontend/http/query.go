package http

import (
	"encoding/json"
	"fmt"
	"math"
	"regexp"
	"time"

	"github.com/gin-gonic/gin"

	"gooseberrylane.example/coord/query"
	"gooseberrylane.example/core"
	"gooseberrylane.example/plugins/frontend/internal/web"
)

const (
	maxShards    = 100_000
	maxNameBytes = 128
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// queryRequest is the body of POST /v1/query.
type queryRequest struct {
	Service    core.ServiceName  `json:"service"`
	RequestID  core.RequestID    `json:"request_id"`
	Caller     core.CallerName   `json:"caller"`
	TimeoutMS  core.Milliseconds `json:"timeout_ms"`
	Idempotent *bool             `json:"idempotent"`
	Shards     []core.ShardName  `json:"shards"`
	Payload    json.RawMessage   `json:"payload"`
	Explain    bool              `json:"explain"`
}

// answerBody is the body of an answer.
type answerBody struct {
	Code      core.Code         `json:"code"`
	Name      string            `json:"name"`
	Detail    string            `json:"detail,omitempty"`
	RequestID core.RequestID    `json:"request_id"`
	Snapshot  core.IndexVersion `json:"snapshot"`
	Revision  core.Revision     `json:"revision"`
	Covered   []coveredBody     `json:"covered"`
	Missing   []missingBody     `json:"missing"`
	Notes     []string          `json:"notes,omitempty"`
	Attempts  []attemptBody     `json:"attempts,omitempty"`
}

type coveredBody struct {
	Shard core.ShardName  `json:"shard"`
	Data  json.RawMessage `json:"data"`
}

type missingBody struct {
	Shard  core.ShardName `json:"shard"`
	Code   core.Code      `json:"code"`
	Reason string         `json:"reason"`
}

type attemptBody struct {
	Shard    core.ShardName  `json:"shard"`
	Upstream core.UpstreamID `json:"upstream"`
	Reason   string          `json:"reason"`
	SentUS   int64           `json:"sent_us"`
	EndedUS  int64           `json:"ended_us"`
	Result   string          `json:"result"`
	Outcome  string          `json:"outcome"`
}

func (f *frontEnd) query(c *gin.Context) {
	arrived := f.Clock.Now()
	var body queryRequest
	if err := web.ReadJSON(c, f.settings.MaxBodyBytes, &body); err != nil {
		web.WriteError(c, err, 0)
		return
	}
	q, err := f.toQuery(arrived, &body)
	if err != nil {
		web.WriteError(c, err, 0)
		return
	}
	writeAnswer(c, f.Engine.Run(c.Request.Context(), q))
}

func (f *frontEnd) toQuery(arrived time.Time, body *queryRequest) (core.Query, error) {
	if err := checkRequest(body); err != nil {
		return core.Query{}, err
	}
	service := f.State.Load().Config.Services[body.Service]
	if service == nil {
		if !f.State.Load().Ready {
			return core.Query{}, core.Errorf(core.CodeNotReady, "no configuration is in force on this VM")
		}
		return core.Query{}, core.Errorf(core.CodeUnknownService, "service %q", body.Service)
	}
	deadline, err := query.Deadline(arrived, service.Rule, body.TimeoutMS.Duration())
	if err != nil {
		return core.Query{}, err
	}
	return core.Query{
		Service: body.Service, RequestID: body.RequestID, Caller: body.Caller, Idempotent: *body.Idempotent,
		Shards: body.Shards, Payload: body.Payload, Deadline: deadline, Explain: body.Explain,
	}, nil
}

// checkRequest returns all problems of a request at once.
func checkRequest(body *queryRequest) error {
	var problems []core.Problem
	add := func(path, format string, args ...any) {
		problems = append(problems, core.Problem{Path: path, Detail: fmt.Sprintf(format, args...)})
	}
	if !namePattern.MatchString(string(body.Service)) {
		add("service", "must have 1 to 128 letters, digits or ._:-")
	}
	if !namePattern.MatchString(string(body.RequestID)) {
		add("request_id", "must have 1 to 128 letters, digits or ._:-")
	}
	if body.Caller != "" && !namePattern.MatchString(string(body.Caller)) {
		add("caller", "must have 1 to 128 letters, digits or ._:-")
	}
	if body.Idempotent == nil {
		add("idempotent", "required: states whether the request may run more than once")
	}
	if body.TimeoutMS < 0 || body.TimeoutMS > math.MaxInt32 {
		add("timeout_ms", "out of range")
	}
	if len(body.Shards) > maxShards {
		add("shards", "more than %d shards", maxShards)
	}
	for i, shard := range body.Shards {
		if len(shard) > maxNameBytes {
			add(fmt.Sprintf("shards[%d]", i), "longer than %d bytes", maxNameBytes)
			// One is enough to refuse the request, and a list of all could be long.
			break
		}
	}
	if len(problems) == 0 {
		return nil
	}
	return &core.Error{Code: core.CodeBadRequest, Detail: "the request was refused", Problems: problems}
}

func writeAnswer(c *gin.Context, answer core.Answer) {
	if len(answer.Covered) == 0 && len(answer.Missing) == 0 && answer.Code != core.CodeOK {
		web.WriteError(c, &core.Error{Code: answer.Code, Detail: answer.Detail}, answer.RetryAfter)
		return
	}
	c.JSON(web.StatusOf(answer.Code), toBody(&answer))
}

func toBody(answer *core.Answer) answerBody {
	body := answerBody{
		Code: answer.Code, Name: answer.Code.String(), Detail: answer.Detail, RequestID: answer.RequestID,
		Snapshot: answer.Version, Revision: answer.Revision,
		Covered: make([]coveredBody, len(answer.Covered)), Missing: make([]missingBody, len(answer.Missing)),
	}
	for i, shard := range answer.Covered {
		body.Covered[i] = coveredBody{Shard: shard.Shard, Data: asJSON(shard.Data)}
	}
	for i, missing := range answer.Missing {
		body.Missing[i] = missingBody{Shard: missing.Shard, Code: missing.Reason, Reason: missing.Reason.String()}
	}
	for _, note := range answer.Notes {
		body.Notes = append(body.Notes, note.String())
	}
	for _, a := range answer.Attempts {
		body.Attempts = append(body.Attempts, attemptBody{
			Shard: a.Shard, Upstream: a.Upstream, Reason: a.Reason, SentUS: a.Sent.Microseconds(),
			EndedUS: a.Ended.Microseconds(), Result: a.Code.String(), Outcome: a.Outcome.String(),
		})
	}
	return body
}

// asJSON returns the data of an upstream as a JSON value; data that is not JSON becomes a string.
func asJSON(data []byte) json.RawMessage {
	if json.Valid(data) {
		return data
	}
	text, err := json.Marshal(string(data))
	if err != nil {
		return json.RawMessage("null")
	}
	return text
}
