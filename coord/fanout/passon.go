package fanout

import (
	"net/http"

	"gooseberrylane.example/core"
)

// MayPassOn reports whether the failed reply of an upstream may become the answer to the caller as it is. It must be the upstream's own:
// without a signature, the bytes may be spoiled, and a status below 400 would look like a success. And it must not promise that the
// request did not run, as 408, 421, 429 and 503 do, when it ran.
func MayPassOn(r *core.Reply) bool {
	if r.Outcome != core.OutcomeRan || r.Code == core.CodeOK || r.Signature == "" {
		return false
	}
	switch r.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	default:
		return r.Status >= 400 && r.Status < 600
	}
}
