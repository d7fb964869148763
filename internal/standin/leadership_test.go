package standin

import (
	"testing"
	"time"

	"curlewspool/internal/wire"
)

// Leaders and owners that end, are back, or are alone, around an election.

// The leader ends; while another is chosen, and after, a second controller and a third
// end and are back within a fraction of a second. Whenever that is, somebody leads, all
// parts are owned within a lease and a half, no rule breaks and all is done.
func TestBackInMidElection(t *testing.T) {
	for i := range 32 {
		s := judged(uint64(1300+i), 30)
		workday(s)
		ids := append(burst(s, 11, 4, 6, 4), "wk-1", "wk-2")
		at := 12 + 0.3*float64(i)
		s.At(12, func() {
			old := s.leader()
			old.Crash()
			s.after(time.Duration(200+200*i)*time.Millisecond, old.Start) // at once, or well after the election
		})
		next := func(k int) func() *Host {
			return func() *Host { return s.Nodes[s.names()[k%len(s.names())]] }
		}
		s.quick(at, 0.25, next(i))
		s.quick(at+0.15, 0.1, next(i+1))
		s.At(at+1.5*s.S.Deployment.Workers.Lease, func() {
			parts := map[int32]string{}
			for _, n := range s.names() {
				for _, p := range s.Nodes[n].Node.Describe().Parts {
					parts[int32(p.Part)] = n
				}
			}
			if len(parts) != len(s.all) || !s.leader().up {
				t.Errorf("%.1f s after the leader's end two others: parts %v", at-12, parts)
			}
		})
		s.Start()
		s.Run(130)
		for _, b := range append(s.Broken, s.Judge()...) {
			t.Errorf("%.1f s after the leader's end two others: %s", at-12, b)
		}
		told(t, s, wire.Done, ids...)
		told(t, s, wire.Withdrawn, "wk-3")
	}
}

// The leader, or the owner of most machines, is alone with its workers and users for a
// moment, for longer than a lease and for a minute; jobs are cancelled, accepted and done
// through the others. No rule breaks, and all is known again and served.
func TestAlone(t *testing.T) {
	for i, who := range []func(*Sim) []string{theLeader, theLargest} {
		for k, length := range []float64{3, 20, 60} {
			s := New(uint64(1360 + 10*i + k))
			s.API()
			s.history.Calm = time.Duration((11 + length) * float64(time.Second))
			s.watchWaiting()
			workday(s)
			ids := append(burst(s, 14, 4, 6, 4), "wk-1", "wk-2", "wk-5")
			s.At(11, func() { s.after(time.Duration(length*float64(time.Second)), s.Isolate(who(s)[0])) })
			s.Submit(8, Spec("wk-4", wire.Array, 6, 1, 90, nil))
			s.Submit(16, Spec("wk-5", wire.Gang, 2, 3, 6, nil))
			s.Abort(12.5, "wk-4")
			s.Start()
			s.Run(200)
			for _, b := range append(s.Broken, s.Judge()...) {
				t.Errorf("alone for %v s (%d): %s", length, i, b)
			}
			told(t, s, wire.Done, ids...)
			told(t, s, wire.Withdrawn, "wk-3", "wk-4")
		}
	}
}
