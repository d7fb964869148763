package standin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"curlewspool/internal/part"
	"curlewspool/internal/wire"
)

// What days of several tests are made of: failures, questions of users, what is looked for.

// judged is a deployment whose users see whether jobs wait beside room, once all troubles are
// over, in seconds.
func judged(seed uint64, calm float64) *Sim {
	s := New(seed)
	s.API()
	s.history.Calm = time.Duration(calm * float64(time.Second))
	s.watchWaiting()
	return s
}

// late has a share of the requests to a path get no answer for a time, and be carried
// out from least to most seconds later.
func (s *Sim) late(from, to, share, least, most float64, paths ...string) {
	s.Late = append(s.Late, func(_, path string, _ []byte) (time.Duration, bool) {
		now := s.now.Seconds()
		if now < from || now >= to || !slices.Contains(paths, path) || s.rnd.Float64() >= share {
			return 0, false
		}
		return time.Duration((least + (most-least)*s.rnd.Float64()) * float64(time.Second)), true
	})
}

// repeated has a share of the orders to machines arrive again, least to most seconds
// after they were carried out.
func (s *Sim) repeated(from, to, share, least, most float64) {
	s.At(from, func() {
		s.Twice = func(to string) time.Duration {
			if !strings.Contains(to, "w-i-") || s.rnd.Float64() >= share {
				return 0
			}
			return time.Duration((least + (most-least)*s.rnd.Float64()) * float64(time.Second))
		}
	})
	s.At(to, func() { s.Twice = nil })
}

func theLeader(s *Sim) []string { return []string{s.leader().name} }

func theLargest(s *Sim) []string { return []string{s.largest().name} }

func both(s *Sim) []string { return []string{s.leader().name, s.largest().name} }

// largest is the owner of most machines but the leader.
func (s *Sim) largest() *Host {
	best, most := s.leader(), -1
	for _, n := range s.names() {
		all := 0
		for _, p := range s.Nodes[n].Node.Describe().Parts {
			all += p.Machines
		}
		if h := s.Nodes[n]; h != s.leader() && all > most {
			best, most = h, all
		}
	}
	return best
}

// mute lets machines reach no controller for a time, while direct commands reach them.
func (s *Sim) mute(from, to float64, w ...*Worker) {
	s.At(from, func() {
		for _, x := range w {
			s.Trace("%s reaches nobody", x.id)
		}
	})
	s.Late = append(s.Late, func(by, path string, _ []byte) (time.Duration, bool) {
		now := s.now.Seconds()
		return time.Hour, now >= from && now < to && path == "/v1/report" && slices.ContainsFunc(w, func(x *Worker) bool { return x.addr == by })
	})
}

// slowLinks has messages from and to machines take up to so many seconds each way.
func (s *Sim) slowLinks(from, to, most float64) {
	s.At(from, func() {
		s.Lag = func(a, b string) time.Duration {
			if !strings.Contains(a+b, "w-i-") {
				return 0
			}
			return time.Duration(most * s.rnd.Float64() * float64(time.Second))
		}
	})
	s.At(to, func() { s.Lag = nil })
}

// partDies ends all machines that a controller answers.
func (s *Sim) partDies(h *Host, w []*Worker) {
	for _, x := range w {
		if s.holder(x) == h {
			x.Die()
		}
	}
}

// again has a user ask about a job, submit it once more, or cancel it, at one
// controller. What it says must agree with all that was said before the question.
func (s *Sim) again(node, what string, sub *wire.Submission) {
	id, out, asked, known := *sub.ID, &wire.JobState{}, s.now, s.told[*sub.ID] != ""
	method, path, body := "POST", "/v2/runs", any(sub)
	switch what {
	case "ask":
		method, path, body = "GET", "/v2/runs/"+id, nil
	case "cancel":
		path, body = "/v2/runs/"+id+"/abort", nil
		s.aborted[id] = max(s.aborted[id], 1)
	}
	s.call(s.addr("user"), s.api(node), method, path, body, out, 5*time.Second, func(status int) {
		switch {
		case status == 400 || status == 404 || status == 422:
			if known { // else nobody was told that it is accepted
				s.broken("forgotten: %s, %s at %s gets %d", id, what, node, status)
			}
		case status/100 != 2, s.endedAt[id] > asked && out.Status != s.told[id]:
		case what == "cancel" && out.Status == wire.Withdrawn && s.aborted[id] <= 1:
			s.cancelled(id)
			s.tell(id, out.Status)
		default:
			s.tell(id, out.Status)
		}
	})
}

// odd has users repeat submissions of a job, also with other fields, and submit jobs
// that lack a field or can never run.
func (s *Sim) odd(from, to float64, sub *wire.Submission) {
	n := 0
	for at := from; at < to; at += 0.7 {
		n++
		other, none, never := *sub, *sub, *sub
		other.Pieces, other.Reckon = nil, nil
		none.ID, never.ID = text(fmt.Sprintf("wk-x%d", n)), text(fmt.Sprintf("wk-y%d", n))
		lacks := []func(){func() { none.Kit = nil }, func() { none.Cores = nil }, func() { none.Together = nil }, func() { none.Rank = text("urgent") }, func() { none.Yard = text("") }}
		lacks[n%len(lacks)]()
		cores, many, gang, yes := 4096.0, uint64(9), wire.Gang, true
		hopeless := []func(){func() { never.Cores = &cores }, func() { never.Crew = text("nobody") }, func() { never.Builds = []string{"none"} },
			func() { never.Crew, never.Shape, never.Pieces = text("blue"), &gang, &many },
			func() { never.Shape, never.Pieces, never.Apart, never.Together = &gang, &many, &yes, &yes },
			func() { never.Shape, never.Pieces, never.Apart, never.Yard = &gang, &many, &yes, text("b") }}
		hopeless[n%len(hopeless)]()
		s.At(at, func() {
			node := s.all[n%len(s.all)]
			s.again(node, "submit", sub)
			s.again(node, "submit", &other)
			refused := func(x *wire.Submission, want int) {
				s.call(s.addr("user"), s.api(node), "POST", "/v2/runs", x, nil, 5*time.Second, func(status int) {
					if status != want && status != 503 && status != 429 && status != 0 {
						s.broken("accepted though it can't run: %s gets %d", *x.ID, status)
					}
				})
			}
			refused(&none, 400)
			refused(&never, 422)
		})
	}
}

// startedOnce counts the tasks of a job that started once only.
func (s *Sim) startedOnce(id string) (n int) {
	for i := range s.jobs[id].Tasks {
		if strings.Count(s.Text(), fmt.Sprintf("starts %s/%d\n", id, i)) == 1 {
			n++
		}
	}
	return n
}

// slowAt has the state service carry out requests at once and answer those for the path
// up to so many seconds late.
func (s *Sim) slowAt(path string, r *rand.Rand, from, to, most float64) {
	s.At(from, func() {
		s.State.Slow = func(p string) time.Duration {
			if !strings.HasPrefix(p, path) {
				return 0
			}
			return time.Duration((0.2 + (most-0.2)*r.Float64()) * float64(time.Second))
		}
	})
	s.At(to, func() { s.State.Slow = nil })
}

// uncurrent lists what controllers have in their caches that the state service does not
// have, or has otherwise, and what their parts have of jobs that are over, when all has
// been calm for long.
func (s *Sim) uncurrent() (wrong []string) {
	for _, n := range s.names() {
		l := s.Nodes[n].Node.Ledger()
		mine := 0
		for _, k := range s.State.keys("a/") {
			mine++
			if e, ok := l.Get(k); !ok || e.Stamp != s.State.data[k].Stamp {
				wrong = append(wrong, fmt.Sprintf("%s has not %s as it is", n, k))
			}
		}
		if l.Loaded() && l.Cached() > mine {
			wrong = append(wrong, fmt.Sprintf("%s has %d keys, there are %d", n, l.Cached(), mine))
		}
		for _, p := range s.Nodes[n].Node.Describe().Parts {
			if p.Jobs > len(s.State.keys(part.JobKey(""))) {
				wrong = append(wrong, fmt.Sprintf("part %d of %s has %d jobs, there are %d", p.Part, n, p.Jobs, len(s.State.keys(part.JobKey("")))))
			}
		}
	}
	return wrong
}
