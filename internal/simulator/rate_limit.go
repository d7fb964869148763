package simulator

import (
	"time"
)

// rateLimit is a limit a second that allows bursts.
type rateLimit struct {
	perSecond, burst float64
	tokens           float64
	refilledAt       time.Duration
	Used             int
	Refused          int
}

func newRateLimit(rate, burst float64) rateLimit {
	return rateLimit{perSecond: rate, burst: burst, tokens: burst}
}

// take uses n of the budget; false if it has less.
func (b *rateLimit) take(now time.Duration, n int) bool {
	b.tokens = min(b.burst, b.tokens+b.perSecond*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < float64(n) {
		b.Refused++
		return false
	}
	b.tokens -= float64(n)
	b.Used += n
	return true
}
