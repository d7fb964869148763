package standin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"curlewspool/internal/lead"
	"curlewspool/internal/wire"
)

// keepReports keeps a copy of each report that is sent from one time to another; or, of
// the last two seconds, holds back a third of them themselves.
func (s *Sim) keepReports(from, to float64, holdBack bool) *[][]byte {
	kept := new([][]byte)
	s.Late = append(s.Late, func(_, path string, body []byte) (time.Duration, bool) {
		if now := s.now.Seconds(); path == "/v1/report" && now >= from && now < to {
			hold := holdBack && now > to-2 && s.rnd.IntN(3) == 0
			if !holdBack || hold {
				*kept = append(*kept, slices.Clone(body))
			}
			return time.Hour, hold
		}
		return 0, false
	})
	return kept
}

// onLeader calls f each time that a new leader has begun, from a time on.
func (s *Sim) onLeader(from float64, f func()) {
	s.At(from, func() {
		last := s.State.data[lead.Leader].Stamp
		var look func()
		look = func() {
			if now := s.State.data[lead.Leader].Stamp; now != last && now != 0 {
				last = now
				f()
			}
			s.after(time.Millisecond, look)
		}
		look()
	})
}

// Old reports reach the controllers just as a new leader begins, before it has heard of
// any machine: to each controller in turn and to all at once, a moment after it begins
// up to some seconds later. They list what has ended since, and do not list what has
// begun since; some are of a session that is over. Nothing runs twice, nothing that is
// done begins again, and no end that they show is told of a job that has moved on. On
// half of the days they are no copies: the last reports before the leader's end are held
// back and come then for the first time.
func TestOldReportsAsANewLeaderBegins(t *testing.T) {
	t.Parallel()
	seed, sent := uint64(2600), 0
	for _, whom := range []string{"n0", "n1", "n2", "all"} {
		for _, after := range []float64{0.001, 0.02, 0.1, 0.5, 2, 6} {
			for _, heldBack := range []bool{false, true} {
				back := 0.3
				if heldBack {
					back = 9
				}
				seed++
				s := judged(seed, 60)
				w := fleet(s, 8, 0)
				s.Submit(5, Spec("wk-1", wire.Array, 12, 1, 4, nil))  // done by then
				s.Submit(6, Spec("wk-2", wire.Array, 12, 1, 30, nil)) // runs all the while
				s.Submit(7, Spec("wk-3", wire.Gang, 2, 2, 5, nil))
				s.Submit(12, Spec("wk-4", wire.Array, 30, 1, 7, nil)) // begins where the first ones ended
				s.Submit(15, Spec("wk-5", wire.Gang, 2, 2, 12, nil))
				s.Submit(8, Spec("wk-6", wire.Array, 3, 1, 60, nil))
				s.Abort(15, "wk-6")
				s.cutFor(11.5, 28, s.links(w[0])) // its session ends meanwhile
				kept := s.keepReports(5, 16, heldBack)
				s.onLeader(16, func() {
					s.after(time.Duration(after*float64(time.Second)), func() {
						for _, n := range s.names() {
							if whom != "all" && whom != n {
								continue
							}
							for _, body := range *kept {
								sent++
								s.after(s.latency(), func() { s.serve[s.api(n)]("POST", "/v1/report", body, func(int, any) {}) })
							}
						}
					})
				})
				s.quick(18, back, s.leader)
				s.quick(26, 0.3, s.owner)
				s.quick(29, back, s.leader)
				s.Start()
				s.Run(230)
				what := fmt.Sprintf("to %s, %v s after a leader begins, held back %v (seed %d)", whom, after, heldBack, seed)
				for _, wrong := range s.verdict(false) {
					t.Errorf("%s: %s", what, wrong)
				}
				told(t, s, wire.Done, "wk-1", "wk-2", "wk-3", "wk-4", "wk-5")
				told(t, s, wire.Withdrawn, "wk-6")
				if n := s.startedOnce("wk-1"); n != 12 {
					t.Errorf("%s: %d of 12 tasks that were done started once only", what, n)
				}
			}
		}
	}
	if sent < 500 {
		t.Errorf("only %d old reports", sent)
	}
}
