//go:build !linux

package kernel

import (
	"errors"
	"time"
)

// sinceBoot is available on Linux only.
func sinceBoot() (time.Duration, error) { return 0, errors.ErrUnsupported }
