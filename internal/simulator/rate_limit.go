package simulator

import "time"

// rateLimit is a token bucket, which limits a rate but allows bursts.
type rateLimit struct {
	perSecond, burst float64
	tokens           float64
	refilledAt       time.Duration
	Used             int // number of tokens taken
	Refused          int // number of requests that found too few tokens
}

// newRateLimit returns a rate limit with a full bucket.
func newRateLimit(perSecond, burst float64) rateLimit {
	return rateLimit{perSecond: perSecond, burst: burst, tokens: burst}
}

// take takes n tokens. If fewer are available, it takes none and returns false.
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
