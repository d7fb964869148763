package simulator

import "time"

// rateLimit is a token bucket: a limit a second that allows bursts.
type rateLimit struct {
	perSecond, burst float64
	tokens           float64
	refilledAt       time.Duration
	Used             int // tokens that were taken
	Refused          int // requests that found too few
}

// newRateLimit returns a limit whose bucket is full.
func newRateLimit(perSecond, burst float64) rateLimit {
	return rateLimit{perSecond: perSecond, burst: burst, tokens: burst}
}

// take takes n tokens at a moment; false, and none, if there are fewer.
func (l *rateLimit) take(now time.Duration, n int) bool {
	l.tokens = min(l.burst, l.tokens+l.perSecond*(now-l.refilledAt).Seconds())
	l.refilledAt = now
	if l.tokens < float64(n) {
		l.Refused++
		return false
	}
	l.tokens -= float64(n)
	l.Used += n
	return true
}
