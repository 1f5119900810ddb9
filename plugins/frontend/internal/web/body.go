package web

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"gooseberrylane.example/core"
	"gooseberrylane.example/plugins/frontend/api"
	"gooseberrylane.example/plugins/internal/receive"
)

const (
	// maxNesting bounds the depth of a body; payloads are passed on to upstreams, whose decoders may use recursion.
	maxNesting = 128
	// roomRetryAfter is the time after which a caller that found no room may come back.
	roomRetryAfter = time.Second
	// maxDetailBytes bounds the detail of an error, which may quote the request.
	maxDetailBytes = 1024
)

// ReadJSON decodes the body of a request, which must be one JSON value of at most limit bytes without unknown fields.
// The error is a *core.Error with CodeBodyTooLarge, CodeOverloaded or CodeBadRequest.
func ReadJSON(c *gin.Context, limit int64, target any) error {
	raw, err := receive.Body(c, limit)
	if err != nil {
		return err
	}
	if err := receive.Conn(c).Grow(decodedBytes(raw)); err != nil {
		return err
	}
	return decode(raw, target)
}

// valueBytes is the memory of a decoded value beside its text.
const valueBytes = 48

// decodedBytes returns the memory that a decoded JSON text takes at most.
func decodedBytes(raw []byte) int64 {
	return int64(len(raw) + valueBytes*(1+bytes.Count(raw, []byte(","))))
}

// decode decodes one JSON value and refuses unknown fields and trailing text. The error is a *core.Error with
// CodeBadRequest.
func decode(raw []byte, target any) error {
	if nesting(raw) > maxNesting {
		return core.Errorf(core.CodeBadRequest, "nested deeper than %d levels", maxNesting)
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return core.Errorf(core.CodeBadRequest, "%v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return core.Errorf(core.CodeBadRequest, "text after the end of the JSON value")
	}
	return nil
}

// nesting returns the depth of the objects and lists of a JSON text.
func nesting(raw []byte) int {
	depth, maxDepth, inString := 0, 0, false
	for i := 0; i < len(raw); i++ {
		switch b := raw[i]; {
		case b == '"':
			inString = !inString
		case inString && b == '\\':
			i++
		case !inString && (b == '{' || b == '['):
			depth++
			maxDepth = max(maxDepth, depth)
		case !inString && (b == '}' || b == ']'):
			depth--
		}
	}
	return maxDepth
}

// WriteError answers a request with the body of an error. Any error other than *core.Error becomes CodeInternal.
func WriteError(c *gin.Context, err error, retryAfter time.Duration) {
	var coded *core.Error
	if !errors.As(err, &coded) {
		coded = core.Errorf(core.CodeInternal, "%v", err)
	}
	if coded.Code == core.CodeOverloaded && retryAfter == 0 {
		retryAfter = roomRetryAfter
	}
	detail := strings.ToValidUTF8(coded.Detail[:min(len(coded.Detail), maxDetailBytes)], "")
	if retryAfter > 0 {
		c.Header("Retry-After", strconv.FormatInt(int64(math.Ceil(retryAfter.Seconds())), 10))
	}
	c.AbortWithStatusJSON(StatusOf(coded.Code), api.ErrorBody{
		Code: coded.Code, Name: coded.Code.String(), Meaning: coded.Code.Meaning(), Detail: detail,
		Problems: coded.Problems, RetryAfterMS: retryAfter.Milliseconds(),
	})
}

// StatusOf maps result codes to HTTP status codes. A partial answer is a success that lists the missing shards.
func StatusOf(code core.Code) int {
	switch code {
	case core.CodeOK, core.CodePartial:
		return http.StatusOK
	case core.CodeNotFound, core.CodeUnknownService, core.CodeUnknownShard, core.CodePlanNotFound:
		return http.StatusNotFound
	case core.CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case core.CodeUnauthorized:
		return http.StatusUnauthorized
	case core.CodeMethodNotAllowed:
		return http.StatusMethodNotAllowed
	case core.CodeRateLimited:
		return http.StatusTooManyRequests
	case core.CodeInProgress, core.CodeAlreadyRan, core.CodeBaseMoved, core.CodePlanExpired, core.CodeAlreadyConfirmed, core.CodeConflict:
		return http.StatusConflict
	case core.CodeInvalidIntent:
		return http.StatusUnprocessableEntity
	case core.CodeOutcomeUnknown, core.CodeNotKnownYet:
		return http.StatusGatewayTimeout
	case core.CodeInternal:
		return http.StatusInternalServerError
	}
	if code >= core.CodeBadRequest && code < core.CodeNotRun {
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}
