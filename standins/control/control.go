// Package control implements the control listener of the stand-in programs, which takes calls with JSON bodies over HTTP,
// and its client.
package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

const (
	maxBodyBytes  = 64 << 20
	headerTimeout = 5 * time.Second
	callTimeout   = 10 * time.Second
)

// Handle returns a handler that decodes a body of type In, calls f and writes its result. An error of f is returned
// as its text with status 400.
func Handle[In, Out any](f func(In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&in); err != nil && !errors.Is(err, io.EOF) {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := f(in)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A client that disconnects while it reads the answer is not an error of the stand-in.
		_ = json.NewEncoder(w).Encode(out)
	}
}

// Serve answers control calls on an address until ctx ends, and calls ready with the address in use.
func Serve(ctx context.Context, listen string, handler http.Handler, ready func(address string) error) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := ready(listener.Addr().String()); err != nil {
		return errs.Combine(err, listener.Close())
	}
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Client calls a control listener.
type Client struct{ Address string }

// Call posts in as JSON and decodes the answer into out, which may be nil.
func (c Client) Call(ctx context.Context, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return fmt.Errorf("control call %s: status %d: %s", path, response.StatusCode, bytes.TrimSpace(text))
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(out)
}
