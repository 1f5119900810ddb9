package stopping

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gin-gonic/gin"

	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
)

// TestRequestsOfAStop guards against a stop that takes requests shortly before its end, and against requests in progress that get no
// answer.
func TestRequestsOfAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := New(kernel.SystemClock{})
		gin.SetMode(gin.ReleaseMode)
		router := gin.New()
		router.GET("/", p.Handler(func(c *gin.Context, err *core.Error) { c.Status(http.StatusServiceUnavailable) }), func(c *gin.Context) {
			<-c.Request.Context().Done()
			if Ended(c.Request.Context()) {
				c.Status(http.StatusBadGateway)
			}
		})
		send := func() <-chan int {
			status := make(chan int, 1)
			go func() {
				recorder := httptest.NewRecorder()
				router.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
				status <- recorder.Code
			}()
			return status
		}
		running := send()
		ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		defer cancel()
		begun := time.Now()
		p.Begin(ctx)
		time.Sleep(2 * time.Second)
		accepted := send()
		time.Sleep(time.Second)
		c.Check(<-send(), qt.Equals, http.StatusServiceUnavailable)
		c.Check(time.Since(begun), qt.Equals, 3*time.Second)
		c.Check(<-running, qt.Equals, http.StatusBadGateway)
		c.Check(<-accepted, qt.Equals, http.StatusBadGateway)
		c.Check(time.Since(begun) < 6*time.Second, qt.IsTrue)
	})
}
