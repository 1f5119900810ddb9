package operator

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"

	"github.com/gin-gonic/gin"

	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
	"gooseberrylane.example/plugins/frontend/api"
	"gooseberrylane.example/plugins/frontend/internal/web"
)

// Numbers of changes in one answer.
const (
	defaultHistory = 100
	maxHistory     = 1000
)

// problems collects the problems of a request.
type problems []core.Problem

func (p *problems) add(path, format string, args ...any) {
	*p = append(*p, core.Problem{Path: path, Detail: fmt.Sprintf(format, args...)})
}

// asError returns one error for all problems, or nil when there are none.
func (p problems) asError(code core.Code) error {
	if len(p) == 0 {
		return nil
	}
	return &core.Error{Code: code, Detail: "the request was refused", Problems: p}
}

// withOperations returns a handler that requires a configuration plug-in that accepts changes.
func (f *frontEnd) withOperations(handle func(*gin.Context, kinds.Operations)) gin.HandlerFunc {
	return func(c *gin.Context) {
		if f.Operations == nil {
			web.WriteError(c, core.Errorf(core.CodeNotFound, "the configuration plug-in of this VM does not accept changes"), 0)
			return
		}
		handle(c, f.Operations)
	}
}

func (f *frontEnd) plan(c *gin.Context, operations kinds.Operations) {
	var intent config.Intent
	if err := web.ReadJSON(c, f.settings.MaxBodyBytes, &intent); err != nil {
		web.WriteError(c, err, 0)
		return
	}
	plan, err := operations.Plan(c.Request.Context(), intent)
	answer(c, http.StatusCreated, plan, err)
}

func (f *frontEnd) getPlan(c *gin.Context, operations kinds.Operations) {
	id, err := planID(c)
	if err != nil {
		web.WriteError(c, err, 0)
		return
	}
	plan, err := operations.GetPlan(c.Request.Context(), id)
	answer(c, http.StatusOK, plan, err)
}

func (f *frontEnd) confirm(c *gin.Context, operations kinds.Operations) {
	id, err := planID(c)
	if err != nil {
		web.WriteError(c, err, 0)
		return
	}
	var body api.ConfirmRequest
	if err := web.ReadJSON(c, f.settings.MaxBodyBytes, &body); err != nil {
		web.WriteError(c, err, 0)
		return
	}
	var found problems
	if !config.ValidName(body.Operator) {
		found.add("operator", "must have 1 to 128 letters, digits or ._:-")
	}
	if err := found.asError(core.CodeBadRequest); err != nil {
		web.WriteError(c, err, 0)
		return
	}
	change, err := operations.Confirm(c.Request.Context(), id, body.Operator)
	answer(c, http.StatusOK, change, err)
}

// planID returns the plan ID of the path. Its form is checked because it becomes part of a key in the store.
func planID(c *gin.Context) (config.PlanID, error) {
	id := c.Param("id")
	if !config.ValidName(id) {
		return "", core.Errorf(core.CodeBadName, "plan ID %q", id)
	}
	return config.PlanID(id), nil
}

func (f *frontEnd) history(c *gin.Context, operations kinds.Operations) {
	var found problems
	after := unsigned(c, "after", 0, &found)
	limit := unsigned(c, "limit", defaultHistory, &found)
	if limit < 1 || limit > maxHistory {
		found.add("limit", "must be 1 to %d", maxHistory)
	}
	rejectUnknown(c, &found, "after", "limit")
	if err := found.asError(core.CodeBadRequest); err != nil {
		web.WriteError(c, err, 0)
		return
	}
	changes, err := operations.History(c.Request.Context(), core.Revision(after), int(limit))
	page := api.History{Changes: changes}
	if page.Changes == nil {
		page.Changes = []config.Change{}
	}
	if n := len(changes); n > 0 && (n == int(limit) || changes[n-1].Revision < f.State.Load().Config.Revision) {
		page.Next = changes[n-1].Revision
	}
	answer(c, http.StatusOK, page, err)
}

func (f *frontEnd) progress(c *gin.Context, operations kinds.Operations) {
	var found problems
	revision := unsigned(c, "revision", uint64(f.State.Load().Config.Revision), &found)
	rejectUnknown(c, &found, "revision")
	if err := found.asError(core.CodeBadRequest); err != nil {
		web.WriteError(c, err, 0)
		return
	}
	progress, err := operations.Progress(c.Request.Context(), core.Revision(revision))
	answer(c, http.StatusOK, progress, err)
}

// unsigned returns the value of a query parameter, or fallback when it is absent.
func unsigned(c *gin.Context, name string, fallback uint64, found *problems) uint64 {
	text, ok := c.GetQuery(name)
	if !ok {
		return fallback
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		found.add(name, "must be a non-negative integer, got %q", text)
		return fallback
	}
	return value
}

// rejectUnknown reports unknown query parameters, because a misspelt one would otherwise be ignored.
func rejectUnknown(c *gin.Context, found *problems, known ...string) {
	for _, name := range slices.Sorted(maps.Keys(c.Request.URL.Query())) {
		if !slices.Contains(known, name) {
			found.add(name, "unknown parameter")
		}
	}
}

func answer(c *gin.Context, status int, body any, err error) {
	if err != nil {
		web.WriteError(c, err, 0)
		return
	}
	c.JSON(status, body)
}
