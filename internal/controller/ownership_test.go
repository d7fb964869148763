package controller

import (
	"testing"
	"time"

	"curlewspool/internal/env"
)

// skewedEnvironment is a world whose time of day is off.
type skewedEnvironment struct {
	recordingEnvironment
	by time.Duration
}

func (w *skewedEnvironment) Wall() time.Time { return w.recordingEnvironment.Wall().Add(w.by) }

// A key is taken by force, and its record says by the taker's time of day until when the
// owner before may answer; another controller reads it later by its own. However far the
// two are off within skew_ms, it waits for at least as long as that owner may go on. (With
// skew_ms left out of mayAnswer no day found it: the record says twice a grant's life,
// which hides differences of less than a half of one.)
func TestPreviousOwnerTimeLeftUnderClockSkew(t *testing.T) {
	n := newFiveControllers()
	n.settings.Deployment.Workers.Lease, n.settings.Deployment.Workers.Cancel, n.settings.Deployment.State.RPS = 20, 60, 200
	n.settings.Grants.Life, n.settings.Grants.Renew = 1, 0.08
	life := n.storeLeaseTTL()
	for _, skew := range []float64{0, 0.4, 0.9, 3} {
		off := time.Duration(skew * float64(life))
		n.settings.Deployment.SkewMs = float64(off.Milliseconds())
		for _, taker := range []time.Duration{-off, 0, off} {
			for _, reader := range []time.Duration{-off, 0, off} {
				n.env = &skewedEnvironment{by: taker}
				until := n.WallSeconds() + 2*life.Seconds()
				for _, since := range []float64{0, 0.3, 0.8, 1.1, 9} { // lives since the taking
					gone := time.Duration(since * float64(life))
					n.env = &skewedEnvironment{by: reader + gone}
					got, want := n.previousOwnerTimeLeft(until), life-gone
					if got < want-time.Millisecond || got > life {
						t.Errorf("skew %.1f lives, taker %v, reader %v: %.1f lives after the taking it waits for %v, want %v at least and %v at most", skew, taker, reader, since, got, max(want, 0), life)
					}
				}
			}
		}
	}
	n.settings.Deployment.SkewMs = 0
	n.env = &skewedEnvironment{}
	if got := n.previousOwnerTimeLeft(n.WallSeconds() - 100); got != 2*n.leaseRenewInterval() {
		t.Errorf("long after it waits for %v, want two renewals, %v", got, env.Seconds(2*n.settings.RenewEvery()))
	}
}
