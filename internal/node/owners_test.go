package node

import (
	"testing"
	"time"

	"curlewspool/internal/world"
)

// ahead is a world whose time of day is off.
type ahead struct {
	quiet
	by time.Duration
}

func (w *ahead) Wall() time.Time { return w.quiet.Wall().Add(w.by) }

// A key is taken by force, and its record says by the taker's time of day until when the
// owner before may answer; another controller reads it later by its own. However far the
// two are off within skew_ms, it waits for at least as long as that owner may go on. (With
// skew_ms left out of mayAnswer no day found it: the record says twice a grant's life,
// which hides differences of less than a half of one.)
func TestMayAnswerWithClocksApart(t *testing.T) {
	n := five()
	n.s.Deployment.Workers.Lease, n.s.Deployment.Workers.Cancel, n.s.Deployment.State.RPS = 20, 60, 200
	n.s.Grants.Life, n.s.Grants.Renew = 1, 0.08
	life := n.grantLife()
	for _, skew := range []float64{0, 0.4, 0.9, 3} {
		off := time.Duration(skew * float64(life))
		n.s.Deployment.SkewMs = float64(off.Milliseconds())
		for _, taker := range []time.Duration{-off, 0, off} {
			for _, reader := range []time.Duration{-off, 0, off} {
				n.w = &ahead{by: taker}
				until := n.Wall() + 2*life.Seconds()
				for _, since := range []float64{0, 0.3, 0.8, 1.1, 9} { // lives since the taking
					gone := time.Duration(since * float64(life))
					n.w = &ahead{by: reader + gone}
					got, want := n.mayAnswer(until), life-gone
					if got < want-time.Millisecond || got > life {
						t.Errorf("skew %.1f lives, taker %v, reader %v: %.1f lives after the taking it waits for %v, want %v at least and %v at most", skew, taker, reader, since, got, max(want, 0), life)
					}
				}
			}
		}
	}
	n.s.Deployment.SkewMs = 0
	n.w = &ahead{}
	if got := n.mayAnswer(n.Wall() - 100); got != 2*n.renewEvery() {
		t.Errorf("long after it waits for %v, want two renewals, %v", got, world.Seconds(2*n.s.RenewEvery()))
	}
}
