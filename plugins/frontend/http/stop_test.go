package http

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/core"
)

// waitingEngine answers a query when its context ends.
type waitingEngine struct{ started chan struct{} }

func (e *waitingEngine) Run(ctx context.Context, q core.Query) core.Answer {
	e.started <- struct{}{}
	<-ctx.Done()
	return core.Answer{RequestID: q.RequestID, Code: core.CodeOutcomeUnknown}
}

// TestStopAnswersQueriesInProgress guards against a stop that ends a query without an answer.
func TestStopAnswersQueriesInProgress(t *testing.T) {
	c := qt.New(t)
	f, _ := newTest(t)
	engine := &waitingEngine{started: make(chan struct{}, 1)}
	f.Engine = engine
	f.server = f.newServer("127.0.0.1:0")
	address, err := f.server.Listen(context.Background())
	c.Assert(err, qt.IsNil)
	answered := make(chan int, 1)
	go func() {
		response, err := http.Post("http://"+address.String()+"/v1/query", "application/json", strings.NewReader(`{"service":"s","request_id":"r","idempotent":false,"timeout_ms":1000}`))
		if err != nil {
			answered <- 0
			return
		}
		defer response.Body.Close()
		answered <- response.StatusCode
	}()
	<-engine.started
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c.Check(f.stop(ctx), qt.IsNil)
	c.Check(<-answered, qt.Equals, http.StatusGatewayTimeout)
}
