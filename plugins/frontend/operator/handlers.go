package operator

import (
	"fmt"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"unicode/utf8"

	"github.com/gin-gonic/gin"

	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
	"gooseberrylane.example/plugins/frontend/api"
	"gooseberrylane.example/plugins/frontend/internal/web"
)

// Limits of the fields of a request.
const (
	maxOperations   = 1000
	maxReasonBytes  = 1000
	defaultHistory  = 100
	operatorPattern = "1 to 128 letters, digits or ._:@-"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:@-]{0,127}$`)

// problems collects the faults of a request.
type problems []core.Problem

func (p *problems) add(path, format string, args ...any) {
	*p = append(*p, core.Problem{Path: path, Detail: fmt.Sprintf(format, args...)})
}

// refused returns the error for all problems, or nil when there are none.
func (p problems) refused(code core.Code) error {
	if len(p) == 0 {
		return nil
	}
	return &core.Error{Code: code, Detail: "the request was refused", Problems: p}
}

// operations returns the part that changes the configuration, or answers the request with an error.
func (f *frontEnd) operations(c *gin.Context) (kinds.Operations, bool) {
	if f.Operations == nil {
		web.WriteError(c, core.Errorf(core.CodeNotFound, "the configuration plug-in of this VM takes no changes"), 0)
		return nil, false
	}
	return f.Operations, true
}

func (f *frontEnd) plan(c *gin.Context) {
	var intent config.Intent
	if err := web.ReadJSON(c, f.settings.MaxBodyBytes, &intent); err != nil {
		web.WriteError(c, err, 0)
		return
	}
	if err := checkIntent(&intent); err != nil {
		web.WriteError(c, err, 0)
		return
	}
	operations, ok := f.operations(c)
	if !ok {
		return
	}
	plan, err := operations.Plan(c.Request.Context(), intent)
	answer(c, http.StatusCreated, plan, err)
}

// checkIntent checks what does not depend on the configuration in force and returns all problems at once.
func checkIntent(intent *config.Intent) error {
	var found problems
	if !namePattern.MatchString(intent.Operator) {
		found.add("operator", "want %s", operatorPattern)
	}
	if len(intent.Reason) > maxReasonBytes || !utf8.ValidString(intent.Reason) {
		found.add("reason", "want at most %d bytes of UTF-8", maxReasonBytes)
	}
	if n := len(intent.Operations); n == 0 || n > maxOperations {
		found.add("operations", "want 1 to %d operations, got %d", maxOperations, n)
	}
	for i := range intent.Operations {
		if n := fieldsSet(&intent.Operations[i]); n != 1 {
			found.add(fmt.Sprintf("operations[%d]", i), "want exactly one operation, got %d", n)
		}
	}
	return found.refused(core.CodeInvalidIntent)
}

func fieldsSet(op *config.Operation) int {
	n := 0
	for _, set := range []bool{
		op.PutService != nil, op.DeleteService != "", op.PutGroup != nil, op.DeleteGroup != nil,
		op.PutRule != nil, op.AddLayout != nil, op.SetDraining != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

func (f *frontEnd) getPlan(c *gin.Context) {
	id, err := planID(c)
	if err != nil {
		web.WriteError(c, err, 0)
		return
	}
	operations, ok := f.operations(c)
	if !ok {
		return
	}
	plan, err := operations.GetPlan(c.Request.Context(), id)
	answer(c, http.StatusOK, plan, err)
}

func (f *frontEnd) confirm(c *gin.Context) {
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
	if !namePattern.MatchString(body.Operator) {
		found.add("operator", "want %s", operatorPattern)
	}
	if err := found.refused(core.CodeBadRequest); err != nil {
		web.WriteError(c, err, 0)
		return
	}
	operations, ok := f.operations(c)
	if !ok {
		return
	}
	change, err := operations.Confirm(c.Request.Context(), id, body.Operator)
	answer(c, http.StatusOK, change, err)
}

// planID returns the plan ID of the path. Its form is checked because it becomes part of a key of the platform.
func planID(c *gin.Context) (config.PlanID, error) {
	id := c.Param("id")
	if !namePattern.MatchString(id) {
		return "", core.Errorf(core.CodeBadName, "plan ID %q", id)
	}
	return config.PlanID(id), nil
}

func (f *frontEnd) history(c *gin.Context) {
	var found problems
	after := unsigned(c, "after", 0, &found)
	limit := unsigned(c, "limit", uint64(min(defaultHistory, f.settings.MaxHistory)), &found)
	if limit < 1 || limit > uint64(f.settings.MaxHistory) {
		found.add("limit", "want 1 to %d", f.settings.MaxHistory)
	}
	onlyKnown(c, &found, "after", "limit")
	if err := found.refused(core.CodeBadRequest); err != nil {
		web.WriteError(c, err, 0)
		return
	}
	operations, ok := f.operations(c)
	if !ok {
		return
	}
	changes, err := operations.History(c.Request.Context(), core.Revision(after), int(limit))
	page := api.History{Changes: changes}
	if page.Changes == nil {
		page.Changes = []config.Change{}
	}
	if len(changes) == int(limit) {
		page.Next = changes[len(changes)-1].Revision
	}
	answer(c, http.StatusOK, page, err)
}

func (f *frontEnd) progress(c *gin.Context) {
	var found problems
	revision := unsigned(c, "revision", uint64(f.State.Load().Config.Revision), &found)
	onlyKnown(c, &found, "revision")
	if err := found.refused(core.CodeBadRequest); err != nil {
		web.WriteError(c, err, 0)
		return
	}
	operations, ok := f.operations(c)
	if !ok {
		return
	}
	progress, err := operations.Progress(c.Request.Context(), core.Revision(revision))
	answer(c, http.StatusOK, progress, err)
}

// unsigned returns a number of the URL's query part, or fallback when it is absent.
func unsigned(c *gin.Context, name string, fallback uint64, found *problems) uint64 {
	text, ok := c.GetQuery(name)
	if !ok {
		return fallback
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		found.add(name, "want a whole number that is not negative, got %q", text)
		return fallback
	}
	return value
}

// onlyKnown reports parameters that the path does not have, as a misspelt one would be ignored in silence.
func onlyKnown(c *gin.Context, found *problems, known ...string) {
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
