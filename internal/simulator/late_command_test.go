package simulator

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"curlewspool/internal/protocol"
)

// The last commands of an owner get no answer and are carried out once, up to 16 s
// later: before the next owner's first command, between its commands, or after them,
// launches of what the next owner has begun elsewhere, halts and reaps of what it has
// just begun. A machine that has seen only the old owner's token still takes them.
func TestDeposedOwnerCommandArrivesLate(t *testing.T) {
	t.Parallel()
	const at = 14.0
	ends := map[string]func(s *Cluster, n string){
		"ends":    func(s *Cluster, n string) { s.crashFor(at, at+25, n) },
		"is back": func(s *Cluster, n string) { s.crashFor(at, at+0.4, n) },
		"is refused": func(s *Cluster, n string) {
			s.SetRefusal(n, "state", true)
			s.At(at+20, func() { s.SetRefusal(n, "state", false) })
		},
		"is isolated":  func(s *Cluster, n string) { s.after(20*time.Second, s.IsolateController(n)) },
		"stands still": func(s *Cluster, n string) { s.Controllers[n].Pause(14*time.Second, true) },
	}
	low := func(x *protocol.Submission) { x.Priority = stringPointer("best_effort") }
	high := func(x *protocol.Submission) { x.Priority = stringPointer("high") }
	seed, held := uint64(2800), 0
	for _, how := range slices.Sorted(maps.Keys(ends)) {
		for _, late := range []float64{0.2, 0.7, 1.5, 3, 6, 11, 16} {
			for _, cut := range []bool{false, true} { // a third of the machines from all others
				seed++
				s := newMonitoredCluster(seed, 70)
				w := addMachines(s, 6, 0)
				s.Cloud.Capacity["small/a/false"] = 4
				s.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 20, 1, 2.5, nil))  // ends and begins all the time
				s.Submit(6, NewSubmission("wk-2", protocol.ShapeArray, 20, 1, 3.1, low))  // is stopped for
				s.Submit(13, NewSubmission("wk-3", protocol.ShapeGang, 2, 3, 5, high))    // these
				s.Submit(13.3, NewSubmission("wk-4", protocol.ShapeArray, 6, 1, 4, high)) //
				s.Submit(8, NewSubmission("wk-5", protocol.ShapeArray, 4, 0.5, 60, nil))
				s.Submit(13.5, NewSubmission("wk-6", protocol.ShapeArray, 4, 0.5, 60, nil))
				s.Cancel(13.8, "wk-5")
				s.Cancel(13.9, "wk-6")
				s.At(at-1, func() {
					n := s.largestOwner().name
					s.DelayedRequests = append(s.DelayedRequests, func(from, path string, _ []byte) (time.Duration, bool) {
						ok := path == "/orders" && from == n && s.now.Seconds() < at+1
						if ok {
							held++
						}
						return time.Duration(late * (0.8 + 0.2*s.random.Float64()) * float64(time.Second)), ok
					})
					s.At(at, func() { ends[how](s, n) })
					for i, x := range w {
						for _, o := range s.controllerNames {
							if cut && i%3 == 0 && o != n {
								s.cutLinksFor(at-0.5, at+12, [][2]string{{x.Address(), o}, {x.Address(), s.apiAddress(o)}})
							}
						}
					}
				})
				s.Start()
				s.Run(230)
				what := fmt.Sprintf("its owner %s, commands %v s late, machines cut %v (seed %d)", how, late, cut, seed)
				for _, wrong := range s.checkDay(false) {
					t.Errorf("%s: %s", what, wrong)
				}
				expectStatus(t, s, protocol.JobDone, "wk-1", "wk-2", "wk-3", "wk-4")
				expectStatus(t, s, protocol.JobCancelled, "wk-5", "wk-6")
			}
		}
	}
	if held < 100 {
		t.Errorf("only %d commands were late", held)
	}
}
