package http

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	"gooseberrylane.example/core"
)

// FuzzUpstreamAnswer guards against an answer that crashes the process, or that is treated as a success although the
// upstream reported that it did not run the request.
func FuzzUpstreamAnswer(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nX-Index-Version: 3\r\nX-Window-Oldest: 1\r\nX-Window-Newest: 4\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 503 x\r\nX-Refused: shed\r\nX-Draining: 1\r\n\r\n", "HTTP/1.1 503 x\r\nX-Refused: ok\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Window-Oldest: 18446744073709551616\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"HTTP/1.1 500 x\r\nX-Window-Oldest: 5\r\nX-Window-Newest: 1\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
		if err != nil {
			return
		}
		data, _ := io.ReadAll(response.Body)
		var result core.AttemptResult
		readResult(response, data, &result)
		if (result.Code == core.CodeOK) != (result.Outcome == core.OutcomeRan && response.StatusCode == http.StatusOK) {
			t.Fatalf("status %d gives %+v", response.StatusCode, result)
		}
		if result.Window.Oldest > result.Window.Newest {
			t.Fatalf("window %+v", result.Window)
		}
	})
}
