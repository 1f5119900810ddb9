package http

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// maxAnswerBytes is the maximum size of an answer of the platform: a list holds many values of up to 1 MB.
const maxAnswerBytes = 64 << 20

// maxNameBytes is the bound that the settings set for names of VMs and failure domains.
const maxNameBytes = 64

// call is one HTTP call to the platform.
type call struct {
	method, path string
	body         []byte
	header       http.Header
	// wait is added to the time limit of the call.
	wait time.Duration
}

// do makes a call. The error is a *core.Error; for a write, its code distinguishes no effect from an unknown outcome.
func (c *client) do(ctx context.Context, spec call) ([]byte, uint64, error) {
	if !c.allow() {
		c.rejected.Add(1)
		return nil, 0, core.Errorf(core.CodePlatformUnavailable, "too many consecutive calls failed")
	}
	limited, cancel := context.WithTimeout(ctx, c.timeout+spec.wait)
	defer cancel()
	request, err := http.NewRequestWithContext(limited, spec.method, c.base+spec.path, bytes.NewReader(spec.body))
	if err != nil {
		c.reportAbandoned()
		return nil, 0, core.Errorf(core.CodeBadRequest, "%v", err)
	}
	// With GetBody, the HTTP client could resend a write on its own.
	request.GetBody = nil
	for name, values := range spec.header {
		request.Header[name] = values
	}
	c.calls.Add(1)
	response, err := c.http.Do(request)
	if err != nil {
		c.reportFailure(ctx)
		return nil, 0, callError(spec.method, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if len(body) > maxAnswerBytes {
		err = core.Errorf(core.CodeBodyTooLarge, "the answer is larger than %d bytes", maxAnswerBytes)
	}
	if err != nil {
		c.reportFailure(ctx)
		return nil, 0, callError(spec.method, err)
	}
	c.report(response.StatusCode < http.StatusInternalServerError)
	version, _ := strconv.ParseUint(strings.Trim(response.Header.Get("ETag"), `"`), 10, 64)
	return body, version, statusError(response.StatusCode)
}

// reportFailure records a call without a complete answer. ctx is that of the caller.
func (c *client) reportFailure(ctx context.Context) {
	if ctx.Err() != nil {
		c.reportAbandoned()
	} else {
		c.report(false)
	}
}

// callError classifies a call without an answer: a write whose connection could not be opened had no effect, and the
// outcome of any other write is unknown.
func callError(method string, err error) error {
	var op *net.OpError
	dialFailed := errors.As(err, &op) && op.Op == "dial"
	if method == http.MethodGet || dialFailed {
		return core.Errorf(core.CodePlatformUnavailable, "%v", err)
	}
	return core.Errorf(core.CodeNotKnownYet, "%v", err)
}

func statusError(status int) error {
	switch status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return core.Errorf(core.CodeNotFound, "no such object")
	case http.StatusPreconditionFailed:
		return core.Errorf(core.CodeConflict, "the object has another version or already exists")
	case http.StatusRequestEntityTooLarge:
		return core.Errorf(core.CodeBodyTooLarge, "the value is too large")
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return core.Errorf(core.CodePlatformUnavailable, "the platform refused the call with status %d", status)
	default:
		return core.Errorf(core.CodeNotKnownYet, "the platform answered with status %d", status)
	}
}

func objectPath(key string) string { return "/v1/objects/" + (&url.URL{Path: key}).EscapedPath() }

// Get implements kinds.Platform.
func (c *client) Get(ctx context.Context, key string) (kinds.Object, error) {
	value, version, err := c.do(ctx, call{method: http.MethodGet, path: objectPath(key)})
	return kinds.Object{Key: key, Value: value, Version: version}, err
}

// Create implements kinds.Platform.
func (c *client) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	_, version, err := c.do(ctx, call{
		method: http.MethodPut, path: objectPath(key), body: value, header: http.Header{"If-None-Match": {"*"}},
	})
	return version, err
}

// Update implements kinds.Platform.
func (c *client) Update(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	_, version, err := c.do(ctx, call{method: http.MethodPut, path: objectPath(key), body: value, header: ifMatch(ifVersion)})
	return version, err
}

// Delete implements kinds.Platform.
func (c *client) Delete(ctx context.Context, key string, ifVersion uint64) error {
	_, _, err := c.do(ctx, call{method: http.MethodDelete, path: objectPath(key), header: ifMatch(ifVersion)})
	return err
}

func ifMatch(version uint64) http.Header {
	return http.Header{"If-Match": {`"` + strconv.FormatUint(version, 10) + `"`}}
}

// List implements kinds.Platform.
func (c *client) List(ctx context.Context, prefix, after string, limit int) ([]kinds.Object, error) {
	values := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	return c.objects(ctx, call{method: http.MethodGet, path: "/v1/list?" + values.Encode()})
}

// Watch implements kinds.Platform.
func (c *client) Watch(ctx context.Context, prefix, after string, wait time.Duration) ([]kinds.Object, error) {
	values := url.Values{"prefix": {prefix}, "after": {after}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	return c.objects(ctx, call{method: http.MethodGet, path: "/v1/watch?" + values.Encode(), wait: wait})
}

// wireObject is one object in the answer to a list or a watch.
type wireObject struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

func (c *client) objects(ctx context.Context, spec call) ([]kinds.Object, error) {
	body, _, err := c.do(ctx, spec)
	if err != nil {
		return nil, err
	}
	return decodeObjects(body)
}

func decodeObjects(body []byte) ([]kinds.Object, error) {
	var listed []wireObject
	if err := json.Unmarshal(body, &listed); err != nil {
		return nil, core.Errorf(core.CodePlatformUnavailable, "the answer could not be read: %v", err)
	}
	objects := make([]kinds.Object, len(listed))
	for i, o := range listed {
		objects[i] = kinds.Object(o)
	}
	return objects, nil
}

// VMs implements kinds.Platform.
func (c *client) VMs(ctx context.Context) ([]kinds.ListedVM, error) {
	body, _, err := c.do(ctx, call{method: http.MethodGet, path: "/v1/vms"})
	if err != nil {
		return nil, err
	}
	return decodeVMs(body)
}

// decodeVMs drops entries whose VM name is empty or too long, or whose failure domain is too long, so that one of them does
// not invalidate the list.
func decodeVMs(body []byte) ([]kinds.ListedVM, error) {
	var vms []kinds.ListedVM
	if err := json.Unmarshal(body, &vms); err != nil {
		return nil, core.Errorf(core.CodePlatformUnavailable, "the answer could not be read: %v", err)
	}
	return slices.DeleteFunc(vms, func(vm kinds.ListedVM) bool {
		return vm.Name == "" || max(len(vm.Name), len(vm.Domain)) > maxNameBytes
	}), nil
}
