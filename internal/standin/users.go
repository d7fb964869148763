package standin

import (
	"strconv"
	"strings"
	"time"

	"curlewspool/internal/wire"
	"curlewspool/internal/worker"
)

// Spec makes a submission with the usual fields; edit changes it.
func Spec(id, shape string, tasks int, cores, estimate float64, edit func(s *wire.Submission)) *wire.Submission {
	p := func(s string) *string { return &s }
	f := func(v float64) *float64 { return &v }
	n, no := uint64(tasks), false
	yes := true
	s := &wire.Submission{ID: p(id), Trade: p("class"), Crew: p("red"), Shape: p(shape), Rank: p("standard"), Pieces: &n, Cores: f(cores),
		GPUs: f(0), Memory: f(1), Kit: p("img"), PullGb: f(0.5), Together: &no, Apart: &no, Loaners: &yes, Reckon: f(estimate), Mark: f(0), Stow: f(0)}
	if edit != nil {
		edit(s)
	}
	return s
}

// API connects the controllers' outer interface to the network.
func (s *Sim) API() {
	for _, name := range s.all {
		h := s.Nodes[name]
		serve := func(method, path string, body []byte, reply func(int, any)) {
			user := func(status int, b any, _ int) { reply(status, b) }
			switch {
			case path == "/v1/report":
				r := &wire.Report{}
				if wire.Decode(body, r) != nil {
					reply(400, nil)
					return
				}
				h.Node.Report(r, reply)
			case method == "POST" && path == "/v2/runs":
				h.Node.Submit(body, 0, user)
			case method == "POST":
				h.Node.Abort(strings.TrimSuffix(strings.TrimPrefix(path, "/v2/runs/"), "/abort"), user)
			default:
				h.Node.Poll(strings.TrimPrefix(path, "/v2/runs/"), user)
			}
		}
		s.serve[s.addr("api-"+name)] = func(method, path string, body []byte, reply func(int, any)) {
			if h.Full && h.up { // no free socket: the connection fails at once
				reply(0, nil)
				return
			}
			h.step(h.life, func() { serve(method, path, body, reply) })
		}
	}
}

// api is where a controller serves users and workers.
func (s *Sim) api(name string) string { return s.Nodes[name].set.API }

func (s *Sim) anyNode() string {
	n := s.names()
	if len(n) == 0 {
		return s.api("n0")
	}
	return s.api(n[s.rnd.IntN(len(n))])
}

// Submit submits at a time given in seconds, repeats until it is accepted,
// and then polls until the job is over.
func (s *Sim) Submit(at float64, sub *wire.Submission) {
	s.At(at, func() { s.submit(sub, 0) })
}

func (s *Sim) submit(sub *wire.Submission, tries int) {
	id := *sub.ID
	s.history.asked(id, s.now)
	if j, bad := sub.Check(); bad == "" && s.jobs[id] == nil {
		s.jobs[id], s.subs[id] = j, sub
		s.history.job(id).may = atOnce(j, s.S.Team(j.Team))
	}
	s.call(s.addr("user"), s.anyNode(), "POST", "/v2/runs", sub, nil, 5*time.Second, func(status int) {
		switch status {
		case 200, 201:
			s.Trace("%s accepted", id)
			s.history.answered(id, s.now)
			if s.told[id] == "" { // else a cancellation's answer came first
				s.told[id] = wire.Pending
				s.onTold(id, wire.Pending)
			}
			s.poll(id)
		case 400, 422:
			s.Trace("%s refused with %d", id, status)
		default:
			if s.State.Down {
				s.inVain[id]++
			}
			if tries == 30 { // gives up: nobody has told them of anything
				return
			}
			s.after(time.Second, func() { s.submit(sub, tries+1) })
		}
	})
}

// Ask makes one request and traces its status.
func (s *Sim) Ask(at float64, method, path string, body any) {
	s.At(at, func() {
		s.call(s.addr("user"), s.anyNode(), method, path, body, nil, 5*time.Second, func(status int) {
			s.Trace("%s %s -> %d", method, path, status)
		})
	})
}

func (s *Sim) poll(id string) {
	out, asked := &wire.JobState{}, s.now
	s.call(s.addr("user"), s.anyNode(), "GET", "/v2/runs/"+id, nil, out, 2*time.Second, func(status int) {
		switch {
		case status == 200 && s.endedAt[id] > asked && out.Status != s.told[id]:
			// Answered before the other, for all that anyone can tell: they crossed.
		case status == 404:
			s.broken("forgotten: %s gets 404", id)
		case status == 200:
			s.history.answered(id, s.now)
			s.tell(id, out.Status)
		}
		if was := s.told[id]; was != wire.Done && was != wire.Withdrawn {
			s.after(2*time.Second, func() { s.poll(id) })
		} else {
			s.after(20*time.Second, func() { s.poll(id) }) // it must stay so
		}
	})
}

func (s *Sim) tell(id, status string) {
	was := s.told[id]
	if cancel := time.Duration(s.S.Deployment.Workers.Cancel * float64(time.Second)); (status == wire.Pending || status == wire.Running) && s.cancelledAbove(id, cancel) {
		s.broken("orphaned: %s is called %s", id, status)
	}
	if (was == wire.Done || was == wire.Withdrawn) && status != was {
		s.broken("went_back: %s was %s, is %s", id, was, status)
	}
	if status == was {
		return
	}
	if status == wire.Done {
		for i := 0; i < s.jobs[id].Tasks; i++ {
			if !s.finished[worker.Task{Job: id, Index: i}] {
				s.broken("not_done: %s/%d", id, i)
			}
		}
	}
	if status == wire.Withdrawn && s.aborted[id] == 0 && !s.cancelledAbove(id, 0) {
		s.broken("went_back: %s was not cancelled", id)
	}
	s.told[id] = status
	if status == wire.Done || status == wire.Withdrawn {
		s.endedAt[id] = s.now
	}
	if status != wire.Pending {
		s.Trace("%s is %s", id, status)
	}
	s.onTold(id, status)
}

func (s *Sim) onTold(id, status string) {
	if s.OnTold != nil {
		s.OnTold(id, status)
	}
}

// Abort cancels at a time given in seconds.
func (s *Sim) Abort(at float64, id string) { s.At(at, func() { s.abort(id) }) }

func (s *Sim) abort(id string) {
	if s.aborted[id] == 0 {
		s.aborted[id] = 1 // asked for
	}
	out := &wire.JobState{}
	s.call(s.addr("user"), s.anyNode(), "POST", "/v2/runs/"+id+"/abort", nil, out, 5*time.Second, func(status int) {
		if status != 200 {
			s.after(time.Second, func() { s.abort(id) })
			return
		}
		if out.Status == wire.Withdrawn && s.aborted[id] <= 1 {
			s.cancelled(id)
		}
		s.tell(id, out.Status)
	})
}

// cancelled: its user was told so now.
func (s *Sim) cancelled(id string) {
	s.aborted[id] = s.now
	var look func()
	look = func() {
		if len(s.On(id)) > 0 {
			s.history.job(id).on = s.now - s.aborted[id]
			s.after(200*time.Millisecond, look)
		}
	}
	look()
	s.after(time.Duration(s.S.Deployment.Workers.Cancel*float64(time.Second)), func() {
		s.each(func(w *Worker, t *task) {
			if _, o := w.s.origin(t.Task); o.Job == id && t.on {
				s.broken("ran_cancelled: %s is still on %s", t, w.id)
			}
		})
	})
}

// started checks the rules at the moment a task comes to be on a machine.
func (s *Sim) started(w *Worker, t *task, job *wire.Job) {
	s.Trace("  %s starts %s", w.id, t)
	zones := map[string]int{}
	cores, gpus := 0.0, 0.0
	home, whose := s.origin(t.Task)
	s.each(func(o *Worker, x *task) {
		j := o.s.job(x.Job)
		if !x.on || j == nil {
			return
		}
		if _, theirs := o.s.origin(x.Task); x != t && theirs == whose {
			s.broken("ran_twice: %s on %s and %s", t, o.id, w.id)
		}
		if x.Job == t.Job {
			zones[o.zone]++
		}
		if j.Team == job.Team {
			cores += j.Cores
			gpus += j.GPUs
		}
	})
	s.history.started(whose, s.now)
	home.checkNeeds(t, whose.Job)
	team := s.S.Team(job.Team)
	if team.CoresMax > 0 && cores > team.CoresMax+1e-9 || team.GPUsMax > 0 && gpus > team.GPUsMax+1e-9 {
		s.broken("quota: %s uses %v cores", job.Team, cores)
	}
	if job.OneZone && len(zones) > 1 || job.Spread && zones[w.zone] > (job.Tasks+1)/2 || w.spot && !job.Spot || job.Zone != "" && job.Zone != w.zone {
		s.broken("wrong_place: %s on %s", t, w.id)
	}
	if at := home.aborted[whose.Job]; at > 1 {
		home.history.job(whose.Job).late++
		if s.now > at+time.Duration(s.S.Deployment.Workers.Cancel*float64(time.Second)) {
			s.broken("ran_cancelled: %s starts", t)
		}
	}
}

func (s *Sim) done(t worker.Task, w *Worker) {
	home, whose := s.origin(t)
	if home.finished == nil {
		home.finished = map[worker.Task]bool{}
	}
	home.finished[whose] = true
	s.history.done(whose)
	if s.OnEnd != nil && len(s.history.job(whose.Job).ended) == home.jobs[whose.Job].Tasks {
		s.OnEnd(whose.Job)
	}
	s.Trace("  %s done", t)
}

// gang starts the tasks of an attempt when all wait.
func (s *Sim) gang(job *wire.Job, try uint64) {
	type at struct {
		w *Worker
		t *task
	}
	var all []at
	for _, id := range s.workerIDs() {
		for _, t := range s.Workers[id].tasks {
			if t.Job == job.ID && t.try == try && t.state == wire.Waiting {
				all = append(all, at{s.Workers[id], t})
			}
		}
	}
	if len(all) < job.Tasks {
		return
	}
	s.Trace("  gang %s runs with %s tasks", job.ID, strconv.Itoa(len(all)))
	takes := RunTime(job, 0)
	for _, a := range all {
		a.t.gen++ // no longer waits
		a.t.state, a.t.since = wire.Running, s.now
		if home, whose := s.origin(a.t.Task); home.finished[whose] {
			takes, a.t.kept = 0, true // its result is there from before
		}
		a.w.changed()
	}
	s.watchGang(job, try, takes)
}

// watchGang ends a gang together: done, or gone with a lost mate.
func (s *Sim) watchGang(job *wire.Job, try uint64, takes time.Duration) {
	started := s.now
	var check func()
	check = func() {
		n := 0
		var left []func(cause string)
		for _, id := range s.workerIDs() {
			w := s.Workers[id]
			for _, t := range w.tasks {
				if t.Job == job.ID && t.try == try && t.on {
					n++
					left = append(left, func(cause string) { w.end(t, cause) })
				}
			}
		}
		switch {
		case n == 0:
		case n < job.Tasks:
			for _, f := range left {
				f(wire.MatesGone)
			}
		case s.now-started >= takes:
			for _, f := range left {
				f(wire.Done)
			}
		default:
			s.after(500*time.Millisecond, check)
		}
	}
	s.after(500*time.Millisecond, check)
}

// On lists the machines that run a task of a job now.
func (s *Sim) On(job string) []string {
	var out []string
	for _, id := range s.workerIDs() {
		for _, t := range s.Workers[id].tasks {
			if t.Job == job && t.on {
				out = append(out, id)
				break
			}
		}
	}
	return out
}

// Told is what a job's user was told last.
func (s *Sim) Told(id string) string { return s.told[id] }
