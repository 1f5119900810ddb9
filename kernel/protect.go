package kernel

import (
	"fmt"
	"log/slog"
	"runtime/debug"

	"gooseberrylane.example/core"
)

// maxStackBytes bounds the stack in a log line.
const maxStackBytes = 4 << 10

// Protect runs f and returns a panic as an error with CodeInternal, so that one unexpected value ends one piece of work and not
// the process. work names what was interrupted.
func Protect(log *slog.Logger, work string, f func()) (err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		stack := debug.Stack()
		log.Error("work_panicked", "work", work, "cause", fmt.Sprint(cause), "stack", string(stack[:min(len(stack), maxStackBytes)]))
		err = core.Errorf(core.CodeInternal, "%s failed with an internal error", work)
	}()
	f()
	return nil
}
