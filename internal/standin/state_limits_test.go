package standin

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
)

// upgrade restarts the controllers, one each few seconds, with settings that name limits
// which the state service will have later; until its turn each says it is of the version
// before.
func (s *Sim) upgrade(at, every float64, next *settings.NextLimits) (done float64) {
	for i, n := range s.all {
		h := s.Nodes[n]
		h.Old = true
		s.At(at+every*float64(i), func() {
			if h.up {
				h.Crash()
			}
			h.Old = false
			h.set.Deployment.State.Next = next
			if err := h.set.LimitByNext(); err != nil {
				s.broken("settings refused: %v", err)
			}
			s.after(2500*time.Millisecond, h.Start)
		})
	}
	return at + every*float64(len(s.all)) + 3
}

// The state service's limits come down without notice some time after an upgrade: a quarter
// of the size of values, a third of the changes in a transaction, two thirds of the rate.
// An array of 20,000 tasks runs all the while on 220 machines, whose rosters are larger than
// a value may be by then; machines come and go, jobs are accepted and cancelled. No value or
// transaction is too large, whatever else happens then, and no machine is lost or kept.
func TestLimitsComeDown(t *testing.T) {
	t.Parallel()
	const down = 50.0
	moments := map[string]func(s *Sim){
		"in a rush, machines die and others come": func(s *Sim) {
			arrays(s, "wk-rush", down-3, 12, 6, 4)
			s.At(down-1, func() { s.someDie(20) })
			s.At(down+4, func() { s.someDie(10) })
		},
		"in an outage, after late writes": func(s *Sim) {
			s.late(down-12, down-2, 0.3, 2, 12, "/multi")
			s.At(down-2, func() { s.State.Outage(9 * time.Second) })
		},
		"as owners change": func(s *Sim) { s.quick(down-1, 0.3, s.leader); s.quick(down+0.5, 8, s.owner) },
		"before the last is new, all end": func(s *Sim) {
			s.crash(31, 70, "n2")
			s.crash(down-1, down+1.5, "n0", "n1")
		},
	}
	kb, ops, rate := 0.5, 4, 50.0
	for i, moment := range slices.Sorted(maps.Keys(moments)) {
		s := New(uint64(3400 + i))
		s.API()
		for _, n := range s.all {
			s.Nodes[n].set.Deployment.State.ValueKB = 2
			s.Nodes[n].set.Deployment.Limits.CoreShare = 0.4
		}
		s.State.valueKB = 2
		s.history.Calm = 120 * time.Second
		s.watchWaiting()
		r := rand.New(rand.NewPCG(uint64(i), 17))
		fleet(s, 220, 0)
		s.Cloud.Left["small/a/false"] = 30
		s.Submit(6, Spec("wk-large", wire.Array, 20000, 1, 4, nil))
		for k := range 30 {
			id, at := fmt.Sprintf("wk-%d", k), 8+3*float64(k)
			s.Submit(at, Spec(id, wire.Array, 1+k%4, 1, 5, nil))
			if k%5 == 0 {
				s.Abort(at+4*r.Float64(), id)
			}
		}
		s.At(20, func() { s.someDie(5) })
		s.upgrade(25, 6, &settings.NextLimits{ValueKB: &kb, TxnOps: &ops, WriteRPS: &rate})
		for k := range 4 { // pipelines, once all are new
			s.submitOnceAccepted(75+float64(k), Spec(fmt.Sprintf("wk-a%d", k), wire.Array, 2, 1, 4, nil))
			s.submitOnceAccepted(76+float64(k), Spec(fmt.Sprintf("wk-b%d", k), wire.Array, 2, 1, 4, After(fmt.Sprintf("wk-a%d", k))))
		}
		s.At(down, func() { s.State.Lower(kb, ops, rate) })
		s.At(110, func() { s.someDie(6) })
		moments[moment](s)
		s.Start()
		s.Run(280)
		for _, wrong := range s.verdict(true) {
			t.Errorf("%s: %s", moment, wrong)
		}
		for _, what := range s.State.TooLarge {
			t.Errorf("%s: refused as too large: %s", moment, what)
		}
		if got, want := s.leader().Node.Describe().Machines, len(s.upWorkers()); got != want {
			t.Errorf("%s: %d machines are known, %d are up", moment, got, want)
		}
		told(t, s, wire.Done, "wk-large", "wk-b0", "wk-b3")
	}
}

// someDie ends some of the machines.
func (s *Sim) someDie(n int) {
	up := s.upWorkers()
	for i := range min(n, len(up)) {
		up[i*len(up)/n].Die()
	}
}
