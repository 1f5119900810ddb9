package operator

import (
	"net/http"
	"sort"
	"time"

	"github.com/gin-gonic/gin"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel"
	"gooseberrylane.example/plugins/frontend/api"
	"gooseberrylane.example/plugins/frontend/internal/web"
)

// Values of the query parameter upstreams of GET /v1/status.
const (
	upstreamsAll  = "all"
	upstreamsHeld = "held"
	upstreamsNone = "none"
)

func (f *frontEnd) status(c *gin.Context) {
	var found problems
	filter := c.DefaultQuery("upstreams", upstreamsAll)
	if filter != upstreamsAll && filter != upstreamsHeld && filter != upstreamsNone {
		found.add("upstreams", "must be %s, %s or %s", upstreamsAll, upstreamsHeld, upstreamsNone)
	}
	rejectUnknown(c, &found, "upstreams")
	if err := found.asError(core.CodeBadRequest); err != nil {
		web.WriteError(c, err, 0)
		return
	}
	c.JSON(http.StatusOK, statusOf(f.Identity, f.State.Load(), f.Clock.Now(), filter))
}

// statusOf describes one view, so that all parts of a status belong to the same moment.
func statusOf(identity kernel.Identity, view *core.View, now time.Time, filter string) api.Status {
	status := api.Status{
		VM: identity.VM, Incarnation: identity.Incarnation, Domain: identity.Domain,
		Ready: view.Ready, Stale: view.Stale, Revision: view.Config.Revision,
		Members: make([]api.Member, 0, len(view.Members.All)), Upstreams: []api.Upstream{},
	}
	if self := view.Members.Self; self.Name != "" {
		// Membership may raise the incarnation while the process runs.
		status.Incarnation = self.Incarnation
	}
	if !view.LastPlatformContact.IsZero() {
		age := now.Sub(view.LastPlatformContact).Milliseconds()
		status.PlatformAgeMS = &age
	}
	for _, vm := range view.Members.All {
		status.Members = append(status.Members, api.Member{
			Name: vm.Name, Incarnation: vm.Incarnation, Domain: vm.Domain, PeerAddress: vm.PeerAddress, State: vm.State.String(),
		})
	}
	for id, upstream := range view.Config.Upstreams() {
		held := view.Ownership.Held[id]
		if filter == upstreamsAll || (filter == upstreamsHeld && held) {
			status.Upstreams = append(status.Upstreams, upstreamOf(view, upstream, now))
		}
	}
	sort.Slice(status.Upstreams, func(i, j int) bool { return status.Upstreams[i].ID < status.Upstreams[j].ID })
	return status
}

func upstreamOf(view *core.View, upstream *core.Upstream, now time.Time) api.Upstream {
	body := api.Upstream{
		ID: upstream.ID, Domain: upstream.Domain, Owner: view.Ownership.Owner.Value(upstream.ID),
		Held: view.Ownership.Held[upstream.ID], Draining: upstream.Draining,
	}
	state := view.State(upstream.ID)
	if state == nil {
		return body
	}
	body.Draining = body.Draining || state.DrainSince.Load() != 0
	body.Ejected = state.EjectedUntil.Load() > now.UnixNano()
	body.InFlight = state.InFlight.Load()
	body.Sent, body.Failed, body.Shed = state.Sent.Load(), state.Failed.Load(), state.Shed.Load()
	body.LatencyUS = state.Latency().Microseconds()
	body.Window = state.Window()
	if first := state.FirstUsed.Load(); first != 0 {
		at := time.Unix(0, first).UTC()
		body.FirstUsed = &at
	}
	return body
}
