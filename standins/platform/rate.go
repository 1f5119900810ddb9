package platform

import "time"

// rateLimiter is a token bucket that holds the tokens of one second.
type rateLimiter struct {
	tokens float64
	last   time.Time
}

// allow takes one token and reports whether there was one. A rate of 0 means no limit.
func (l *rateLimiter) allow(now time.Time, rate float64) bool {
	if rate <= 0 {
		return true
	}
	if l.last.IsZero() {
		l.tokens = rate
	} else {
		l.tokens = min(l.tokens+rate*now.Sub(l.last).Seconds(), rate)
	}
	l.last = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
