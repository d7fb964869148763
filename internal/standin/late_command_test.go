package standin

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"curlewspool/internal/wire"
)

// The last commands of an owner get no answer and are carried out once, up to 16 s
// later: before the next owner's first command, between its commands, or after them,
// launches of what the next owner has begun elsewhere, halts and reaps of what it has
// just begun. A machine that has seen only the old owner's token still takes them.
func TestCommandOfDeposedOwnerArrivesLate(t *testing.T) {
	t.Parallel()
	const at = 14.0
	ends := map[string]func(s *Sim, n string){
		"ends":    func(s *Sim, n string) { s.crash(at, at+25, n) },
		"is back": func(s *Sim, n string) { s.crash(at, at+0.4, n) },
		"is refused": func(s *Sim, n string) {
			s.Refuse(n, "state", true)
			s.At(at+20, func() { s.Refuse(n, "state", false) })
		},
		"is isolated":  func(s *Sim, n string) { s.after(20*time.Second, s.Isolate(n)) },
		"stands still": func(s *Sim, n string) { s.Nodes[n].Freeze(14*time.Second, true) },
	}
	low := func(x *wire.Submission) { x.Rank = text("best_effort") }
	high := func(x *wire.Submission) { x.Rank = text("high") }
	seed, held := uint64(2800), 0
	for _, how := range slices.Sorted(maps.Keys(ends)) {
		for _, late := range []float64{0.2, 0.7, 1.5, 3, 6, 11, 16} {
			for _, cut := range []bool{false, true} { // a third of the machines from all others
				seed++
				s := judged(seed, 70)
				w := fleet(s, 6, 0)
				s.Cloud.Left["small/a/false"] = 4
				s.Submit(5, Spec("wk-1", wire.Array, 20, 1, 2.5, nil))  // ends and begins all the time
				s.Submit(6, Spec("wk-2", wire.Array, 20, 1, 3.1, low))  // is stopped for
				s.Submit(13, Spec("wk-3", wire.Gang, 2, 3, 5, high))    // these
				s.Submit(13.3, Spec("wk-4", wire.Array, 6, 1, 4, high)) //
				s.Submit(8, Spec("wk-5", wire.Array, 4, 0.5, 60, nil))
				s.Submit(13.5, Spec("wk-6", wire.Array, 4, 0.5, 60, nil))
				s.Abort(13.8, "wk-5")
				s.Abort(13.9, "wk-6")
				s.At(at-1, func() {
					n := s.largest().name
					s.Late = append(s.Late, func(from, path string, _ []byte) (time.Duration, bool) {
						ok := path == "/orders" && from == n && s.now.Seconds() < at+1
						if ok {
							held++
						}
						return time.Duration(late * (0.8 + 0.2*s.rnd.Float64()) * float64(time.Second)), ok
					})
					s.At(at, func() { ends[how](s, n) })
					for i, x := range w {
						for _, o := range s.all {
							if cut && i%3 == 0 && o != n {
								s.cutFor(at-0.5, at+12, [][2]string{{x.Addr(), o}, {x.Addr(), s.api(o)}})
							}
						}
					}
				})
				s.Start()
				s.Run(230)
				what := fmt.Sprintf("its owner %s, commands %v s late, machines cut %v (seed %d)", how, late, cut, seed)
				for _, wrong := range s.verdict(false) {
					t.Errorf("%s: %s", what, wrong)
				}
				told(t, s, wire.Done, "wk-1", "wk-2", "wk-3", "wk-4")
				told(t, s, wire.Withdrawn, "wk-5", "wk-6")
			}
		}
	}
	if held < 100 {
		t.Errorf("only %d commands were late", held)
	}
}
