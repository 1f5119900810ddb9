package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/tlsconf"
	"gooseberrylane.example/plugins/frontend/api"
)

const (
	defaultTimeout = 10 * time.Second
	// maxAnswerBytes limits how much of one answer is read. The metrics of a VM with many services take a few MB.
	maxAnswerBytes = 256 << 20
	// maxConcurrentCalls limits the connections to a fleet.
	maxConcurrentCalls = 64
)

// target is one listener of one VM.
type target struct {
	// name is the name of the VM if one was given, otherwise the address.
	name    string
	address string
}

// targetList is the value of a flag that lists listeners: [NAME=]HOST:PORT,...
type targetList []target

// String implements flag.Value.
func (l *targetList) String() string {
	parts := make([]string, len(*l))
	for i, t := range *l {
		parts[i] = t.name + "=" + t.address
	}
	return strings.Join(parts, ",")
}

// Set implements flag.Value.
func (l *targetList) Set(text string) error {
	*l = nil
	for _, part := range strings.Split(text, ",") {
		name, address, named := strings.Cut(strings.TrimSpace(part), "=")
		if !named {
			address = name
		}
		if _, port, err := net.SplitHostPort(address); err != nil || port == "" || name == "" {
			return fmt.Errorf("want [NAME=]HOST:PORT, got %q", part)
		}
		*l = append(*l, target{name: name, address: address})
	}
	return nil
}

// call is one request to a VM.
type call struct {
	method, path string
	body         any
	// retryAnyFailure allows a retry at the next VM whenever a VM did not answer. Otherwise the call is retried only when
	// nothing was sent.
	retryAnyFailure bool
	// operator marks calls to operator listeners; only these calls carry the operator key.
	operator bool
}

// operatorCall returns a call to an operator listener. Each may be repeated on the next VM: plans change nothing until
// they are confirmed, and confirmation is idempotent by the plan ID.
func operatorCall(method, path string, body any) call {
	return call{method: method, path: path, body: body, retryAnyFailure: true, operator: true}
}

// callFailure reports a VM that did not answer or refused the call.
type callFailure struct {
	Name   string      `json:"name"`
	Code   core.Code   `json:"code"`
	Reason string      `json:"reason"`
	err    *core.Error `json:"-"`
}

// send sends one call to one VM and decodes a successful answer into result. The error is the one in the answer,
// CodeConnectFailed when nothing was sent, or CodeUnreachable when no answer was received.
func (a *app) send(ctx context.Context, to target, c call, result any) (answered bool, err *core.Error) {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	request, err := a.request(ctx, to, c)
	if err != nil {
		return false, err
	}
	client, scheme, err := a.client(to)
	if err != nil {
		return false, err
	}
	defer client.CloseIdleConnections()
	request.URL.Scheme = scheme
	response, cause := client.Do(request)
	if cause != nil {
		return false, connectionError(cause)
	}
	defer response.Body.Close()
	raw, cause := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if cause != nil {
		return false, connectionError(cause)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return true, decodeError(response.StatusCode, raw)
	}
	if cause := json.Unmarshal(raw, result); cause != nil {
		return true, core.Errorf(core.CodeInternal, "cannot decode the answer: %v", cause)
	}
	return true, nil
}

// client returns the client for one VM and the scheme of its URLs.
func (a *app) client(to target) (*http.Client, string, *core.Error) {
	if problems := a.tls.CheckClient(); len(problems) > 0 {
		return nil, "", &core.Error{Code: core.CodeBadRequest, Detail: "the TLS flags are inconsistent", Problems: problems}
	}
	files := tlsconf.New(a.tls, slog.New(slog.DiscardHandler))
	if err := files.Load(); err != nil {
		return nil, "", core.Errorf(core.CodeBadRequest, "%v", err)
	}
	name := ""
	if to.name != to.address {
		name = to.name
	}
	dial := files.Dial((&net.Dialer{}).DialContext, name, 0)
	return &http.Client{Transport: &http.Transport{DialContext: dial, DialTLSContext: dial}}, files.Scheme(), nil
}

func (a *app) request(ctx context.Context, to target, c call) (*http.Request, *core.Error) {
	var body io.Reader
	if c.body != nil {
		raw, err := json.Marshal(c.body)
		if err != nil {
			return nil, core.Errorf(core.CodeBadRequest, "%v", err)
		}
		body = bytes.NewReader(raw)
	}
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+to.address+c.path, body)
	if err != nil {
		return nil, core.Errorf(core.CodeBadRequest, "%v", err)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if a.keyFile == "" || !c.operator {
		return request, nil
	}
	key, err := os.ReadFile(a.keyFile)
	if err != nil {
		return nil, core.Errorf(core.CodeBadRequest, "operator key: %v", err)
	}
	request.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(key)))
	return request, nil
}

// connectionError distinguishes a call that was certainly not sent from one that may have had an effect.
func connectionError(err error) *core.Error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return core.Errorf(core.CodeConnectFailed, "%v", err)
	}
	return core.Errorf(core.CodeUnreachable, "%v", err)
}

// decodeError returns the error in the body of an error response.
func decodeError(status int, raw []byte) *core.Error {
	var body api.ErrorBody
	if err := json.Unmarshal(raw, &body); err != nil || body.Code == core.CodeOK {
		return core.Errorf(core.CodeInternal, "HTTP status %d without an error body", status)
	}
	return &core.Error{Code: body.Code, Detail: body.Detail, Problems: body.Problems}
}

// callFirst sends a call to the VMs in order until one answers, and prints those that did not. A call other than GET that
// may have reached a VM without an answer ends with CodeOutcomeUnknown unless a later VM returns its outcome.
func (a *app) callFirst(ctx context.Context, flagName string, targets targetList, c call, result any) error {
	if len(targets) == 0 {
		return core.Errorf(core.CodeBadRequest, "-%s is missing", flagName)
	}
	maybeSent := false
	var last *core.Error
	for _, to := range targets {
		var answered bool
		answered, last = a.send(ctx, to, c, result)
		if answered {
			break
		}
		a.note("did not answer: %s (%s: %s)", to.name, last.Code, last.Detail)
		maybeSent = maybeSent || last.Code != core.CodeConnectFailed
		if maybeSent && !c.retryAnyFailure {
			break
		}
	}
	if last == nil {
		return nil
	}
	// A refusal or a connection failure at the last VM does not exclude that an earlier VM ran the call.
	if maybeSent && c.method != http.MethodGet && (last.Code.IsNotRun() || last.Code == core.CodeUnreachable) {
		return core.Errorf(core.CodeOutcomeUnknown, "%s", last.Detail)
	}
	return last
}

// callAll sends a call to all VMs concurrently. It returns the answers in the order of the targets, and the VMs that did
// not answer or refused the call.
func callAll[T any](ctx context.Context, a *app, targets targetList, c call) (answers []T, failed []callFailure) {
	results := make([]T, len(targets))
	errs := make([]*core.Error, len(targets))
	semaphore := make(chan struct{}, maxConcurrentCalls)
	var wg sync.WaitGroup
	for i := range targets {
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			_, errs[i] = a.send(ctx, targets[i], c, &results[i])
		})
	}
	wg.Wait()
	for i, err := range errs {
		if err == nil {
			answers = append(answers, results[i])
			continue
		}
		failed = append(failed, callFailure{Name: targets[i].name, Code: err.Code, Reason: err.Code.String() + ": " + err.Detail, err: err})
	}
	return answers, failed
}

// unansweredError returns the error of a command that needs answers from all VMs, nil if there is no failure.
func unansweredError(answered int, failed []callFailure) error {
	if len(failed) == 0 {
		return nil
	}
	if answered == 0 {
		return failed[0].err
	}
	names := make([]string, len(failed))
	for i, f := range failed {
		names[i] = f.Name
	}
	return core.Errorf(core.CodeUnreachable, "no answer from %s", strings.Join(names, ", "))
}
