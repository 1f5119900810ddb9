package configuration

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"gooseberrylane.example/coord/config"
	"gooseberrylane.example/core"
	"gooseberrylane.example/standins/platform"
)

// confirmed is the outcome of one confirm, as returned to its operator.
type confirmed struct {
	plan     config.PlanID
	base     core.Revision
	accepted bool
	revision core.Revision
}

// historyModel is the sequential model of the change log: a confirm is accepted only as the change right after its base,
// or if it was accepted before, and refused only if another change has that position. The state is the list of plans.
var historyModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		plans := strings.Fields(state.(string))
		if list, ok := output.([]string); ok {
			return strings.Join(list, " ") == strings.Join(plans, " "), state
		}
		c := output.(confirmed)
		taken := len(plans) > int(c.base)
		switch {
		case !c.accepted:
			return taken && plans[c.base] != string(c.plan), state
		case c.revision != c.base+1:
			return false, state
		case taken:
			return plans[c.base] == string(c.plan), state
		default:
			return len(plans) == int(c.base), strings.TrimSpace(state.(string) + " " + string(c.plan))
		}
	},
}

// recorder records operations. It orders calls and returns by a counter instead of a clock.
type recorder struct {
	counter atomic.Int64
	mu      sync.Mutex
	all     []porcupine.Operation
}

func (r *recorder) record(operator int, call int64, output any) {
	end := r.counter.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, porcupine.Operation{ClientId: operator, Call: call, Output: output, Return: end})
}

// confirm confirms a plan at random VMs until its outcome is known, and records it as one operation.
func (cl *cluster) confirm(r *recorder, operator int, random *rand.Rand, plan *config.Plan) (bool, error) {
	call := r.counter.Add(1)
	for cl.ctx.Err() == nil {
		change, err := untilAvailable(cl.ctx, func() (config.Change, error) {
			return cl.vms[random.IntN(len(cl.vms))].operations.Confirm(cl.ctx, plan.ID, fmt.Sprintf("op-%d", operator))
		})
		switch codeOf(err) {
		case core.CodeNotKnownYet:
			continue
		case core.CodeOK, core.CodeBaseMoved:
			r.record(operator, call, confirmed{plan: plan.ID, base: plan.Base, accepted: err == nil, revision: change.Revision})
			return err == nil, nil
		}
		return false, err
	}
	return false, cl.ctx.Err()
}

// operate plans and confirms until n confirms of an operator have a known outcome. Some accepted plans are confirmed
// again.
func (cl *cluster) operate(r *recorder, operator, n int) error {
	random := rand.New(rand.NewPCG(seed, uint64(operator)))
	for done := 0; done < n; {
		plan, err := untilAvailable(cl.ctx, func() (config.Plan, error) {
			return cl.vms[random.IntN(len(cl.vms))].operations.Plan(cl.ctx, putIntent(fmt.Sprintf("service-%d-%d", operator, done)))
		})
		if err != nil {
			return err
		}
		accepted, err := cl.confirm(r, operator, random, &plan)
		if err != nil {
			return err
		}
		done++
		if accepted && random.IntN(4) == 0 {
			if _, err := cl.confirm(r, operator, random, &plan); err != nil {
				return err
			}
		}
	}
	return nil
}

// TestRacingConfirmsGiveOneHistory guards against two operators whose confirms are both accepted for the same revision,
// and against a change that takes effect twice or not at all after a lost answer.
func TestRacingConfirmsGiveOneHistory(t *testing.T) {
	const operators, confirms = 4, 50
	cl := newCluster(t, 6)
	cl.startAll()
	cl.platform.SetFaults(platform.Faults{LostAnswerShare: 0.4, ErrorShare: 0.25, StaleShare: 0.2})
	r := &recorder{}
	errs := make([]error, operators)
	var wait sync.WaitGroup
	for operator := range operators {
		wait.Go(func() { errs[operator] = cl.operate(r, operator, confirms) })
	}
	wait.Wait()
	cl.platform.SetFaults(platform.Faults{})
	for _, err := range errs {
		cl.c.Assert(err, qt.IsNil)
	}
	history := cl.history()
	var plans []string
	services := make(map[core.ServiceName]bool)
	for i := range history {
		cl.c.Assert(history[i].Revision, qt.Equals, core.Revision(i+1))
		plans = append(plans, string(history[i].Plan))
		services[history[i].Intent.Operations[0].PutService.Name] = true
	}
	r.record(operators, r.counter.Add(1), plans)
	cl.c.Logf("%d confirms, %d accepted, %d refused calls", len(r.all)-1, len(plans), cl.platform.Counts().Refused)
	cl.c.Assert(porcupine.CheckOperations(historyModel, r.all), qt.IsTrue)
	cl.awaitAll(core.Revision(len(plans)))
	for _, v := range cl.vms {
		set := v.app.State.Load().Config
		cl.c.Assert(set.Services, qt.HasLen, len(services))
		for name := range services {
			cl.c.Assert(set.Services[name], qt.IsNotNil)
		}
	}
	cl.checkLogs()
}
