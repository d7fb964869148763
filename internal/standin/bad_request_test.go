package standin

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/part"
	"curlewspool/internal/wire"
)

// Users send jobs that lack a field or can never run, repeat submissions of jobs that
// run and that are done, also with other fields, and cancel jobs that are done, at every
// controller: while all is well, while the state service is down, refuses one alone or
// answers late, and while controllers begin. They get 400, 422, 503 or the known state;
// nothing of it is accepted, then or later.
func TestBadRequestsAtEveryNode(t *testing.T) {
	t.Parallel()
	for seed := uint64(2900); seed < 2906; seed++ {
		s := judged(seed, 75)
		r := rand.New(rand.NewPCG(seed, 11))
		fleet(s, 4, 0)
		runs := Spec("wk-runs", wire.Array, 4, 1, 60, nil)
		done := Spec("wk-done", wire.Array, 2, 1, 2, nil)
		gone := Spec("wk-gone", wire.Array, 2, 1, 60, nil)
		s.Submit(5, runs)
		s.Submit(5, done)
		s.Submit(6, gone)
		s.Abort(9, "wk-gone")
		answers := map[string]int{}
		s.OnAnswer = func(method, path string, status int) {
			if strings.HasPrefix(path, "/v2/runs") {
				answers[fmt.Sprintf("%s %d", method, status)]++
			}
		}
		s.odd(0.2, 70, runs)
		for i := range 160 {
			sub := []*wire.Submission{runs, done, gone}[i%3]
			what := []string{"submit", "ask", "submit", "cancel"}[r.IntN(4)]
			if what == "cancel" && sub == runs {
				what = "ask"
			}
			s.At(12+0.4*float64(i), func() { s.again(s.all[i/3%3], what, sub) })
		}
		s.At(20, func() { s.State.Outage(9 * time.Second) })
		s.refuseFor(33, 41, theLeader)
		s.slowAt("/", r, 44, 50, 1.5)
		s.quick(52, 0.3, s.leader)
		s.crash(58, 60, s.all...)
		s.Start()
		s.Run(140)
		for _, wrong := range s.verdict(false) {
			t.Errorf("seed %d: %s", seed, wrong)
		}
		told(t, s, wire.Done, "wk-runs", "wk-done")
		told(t, s, wire.Withdrawn, "wk-gone")
		for _, change := range s.State.log {
			if strings.HasPrefix(change.Put, part.JobKey("wk-x")) || strings.HasPrefix(change.Put, part.JobKey("wk-y")) {
				t.Errorf("seed %d: %s was stored", seed, change.Put)
			}
		}
		for _, want := range []string{"POST 200", "POST 400", "POST 422", "POST 503", "GET 200"} {
			if answers[want] == 0 {
				t.Errorf("seed %d: no %s among %v", seed, want, answers)
			}
		}
	}
}
