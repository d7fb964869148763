package standin

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"curlewspool/internal/wire"
	"curlewspool/internal/worker"
)

// Worker is a stand-in for a machine and its worker.
type Worker struct {
	s      *Sim
	id     string
	addr   string
	typ    wire.MachineType
	zone   string
	spot   bool
	rented time.Duration
	up     bool
	gone   bool
	Hung   bool
	Rate   float64 // of its steady clock; 0: exact
	Faulty bool

	session, seq, token uint64
	begun               time.Duration // of the session, or sent time of the last answered report
	notice              time.Duration
	noticed             bool
	node                int
	busy                bool
	timer               int
	lastSent            time.Duration
	tasks               []*task
	life                int
}

type task struct {
	worker.Task
	try      uint64
	state    string
	cause    string
	saved    bool
	on       bool // has its image and has not exited
	kept     bool // its result was there already
	progress time.Duration
	since    time.Duration
	gen      int
}

// AddWorker puts a running machine there.
func (s *Sim) AddWorker(typ, zone string, spot bool) *Worker {
	s.Cloud.n++
	id := s.addr(fmt.Sprintf("i-%03d", s.Cloud.n))
	w := &Worker{s: s, id: id, zone: zone, spot: spot, rented: s.now, up: true, session: 1, begun: s.now}
	for _, t := range s.Cloud.Types {
		if t.Name == typ {
			w.typ = t
		}
	}
	s.Workers[id] = w
	w.addr = s.listen("w-"+id, w.serve)
	s.after(10*time.Millisecond, w.report)
	s.after(time.Second, w.lease)
	return w
}

// ID is the machine's name.
func (w *Worker) ID() string { return w.id }

// Addr is its address, for cuts.
func (w *Worker) Addr() string { return w.addr }

func (s *Sim) workerIDs() []string {
	return slices.Sorted(maps.Keys(s.Workers))
}

func (w *Worker) vanish() {
	w.leave("machine gone")
	w.gone, w.up, w.tasks = true, false, nil
	w.s.unlisten(w.addr)
}

// Die takes the machine away without a word.
func (w *Worker) Die() {
	w.s.Trace("%s dies", w.id)
	w.vanish()
}

// Back ends the machine and has it back under its name after a while: with no
// tasks, no token, and numbers from the beginning.
func (w *Worker) Back(d time.Duration) {
	if w.gone {
		return
	}
	w.s.Trace("%s ends and will be back", w.id)
	w.leave("machine gone")
	w.life++
	w.up, w.tasks = false, nil
	w.timer++
	w.s.after(d, func() {
		if w.gone || w.up {
			return
		}
		w.up, w.busy, w.session, w.seq, w.token, w.begun = true, false, 1, 0, 0, w.s.now
		w.report()
	})
}

// Notice announces that the machine will be taken, and takes it.
func (w *Worker) Notice(d time.Duration) {
	w.s.Trace("%s gets a spot notice", w.id)
	w.noticed, w.notice = true, w.s.now+d
	w.changed()
	w.s.after(d, func() {
		if !w.gone {
			w.s.Trace("%s is taken", w.id)
			w.vanish()
		}
	})
}

func (w *Worker) lease() {
	if w.gone {
		return
	}
	// A machine that hangs may resume only within its lease.
	if w.up && time.Duration(float64(w.s.now-w.begun)*rate(w.Rate)) > time.Duration(w.s.S.Deployment.Workers.Lease*float64(time.Second)) {
		if len(w.tasks) > 0 {
			w.s.Trace("%s lease over, kills %d", w.id, len(w.tasks))
		}
		w.leave("killed")
		w.tasks = nil
		w.session++
		w.begun = w.s.now
		w.seq = 0
	}
	w.s.after(100*time.Millisecond, w.lease)
}

func (w *Worker) body() *wire.Report {
	w.seq++
	r := &wire.Report{Machine: w.id, Address: w.addr, Type: w.typ.Name, Zone: w.zone, Spot: w.spot, Session: w.session, Seq: w.seq, Token: w.token,
		Tasks: []wire.TaskReport{}}
	if w.noticed {
		left := max(0, (w.notice - w.s.now).Seconds())
		r.Notice = &left
	}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, wire.TaskReport{Task: t.String(), Try: t.try, State: t.state, Cause: t.cause, Saved: t.saved})
	}
	return r
}

// changed reports soon, at most every half second.
func (w *Worker) changed() {
	w.timer++
	n := w.timer
	w.s.after(max(0, w.lastSent+500*time.Millisecond-w.s.now), func() {
		if n == w.timer {
			w.report()
		}
	})
}

func (w *Worker) next(d time.Duration) {
	w.timer++
	n := w.timer
	w.s.after(d, func() {
		if n == w.timer {
			w.report()
		}
	})
}

func (w *Worker) report() {
	if w.gone || !w.up || w.busy {
		return
	}
	if w.Hung {
		w.next(time.Second)
		return
	}
	names := w.s.all
	to := names[w.node%len(names)]
	w.busy = true
	sent, session, life := w.s.now, w.session, w.life
	w.lastSent = sent
	r := w.body()
	out := &answer{}
	period := time.Duration(w.s.S.Deployment.Workers.Report * float64(time.Second))
	w.s.call(w.addr, w.s.api(to), "POST", "/v1/report", r, out, 4*time.Second, func(status int) {
		if w.gone || life != w.life {
			return
		}
		w.busy = false
		switch {
		case status == 200:
			if out.Token < w.token || session != w.session {
				w.next(period)
				return
			}
			raised := out.Token > w.token
			w.token = out.Token
			w.begun = max(w.begun, sent)
			w.next(period)
			if w.exec(out.Orders) || raised {
				w.changed()
			}
		case status == 421 && out.Owner != "" && out.Owner != to:
			for i, n := range names {
				if n == out.Owner {
					w.node = i
				}
			}
			w.next(100 * time.Millisecond)
		default:
			w.node++
			w.next(time.Second)
		}
	})
}

type answer struct {
	Token  uint64         `cbor:"baton"`
	Orders []wire.Command `cbor:"orders"`
	Owner  string         `cbor:"foreman"`
}

func (w *Worker) serve(method, path string, body []byte, reply func(int, any)) {
	if w.gone || !w.up {
		return
	}
	if w.Hung {
		w.s.after(time.Second, func() { w.serve(method, path, body, reply) })
		return
	}
	if path == "/status" {
		reply(200, w.body())
		return
	}
	var c wire.Commands
	if wire.Decode(body, &c) != nil || c.Token == 0 || c.Session == 0 {
		reply(400, nil)
		return
	}
	if c.Token < w.token || c.Session != w.session {
		reply(409, w.body())
		return
	}
	w.token = c.Token
	w.exec(c.Orders)
	reply(200, w.body())
}

func (w *Worker) find(piece string, try uint64) *task {
	for _, t := range w.tasks {
		if t.String() == piece && t.try == try {
			return t
		}
	}
	return nil
}

func (w *Worker) exec(orders []wire.Command) bool {
	did := false
	for _, o := range orders {
		t := w.find(o.Task, o.Try)
		switch o.Verb {
		case wire.Launch:
			if t == nil {
				w.launch(o)
				did = true
			}
		case wire.Halt:
			if t != nil && t.state != wire.Ended {
				w.halt(t, o.Grace)
				did = true
			}
		case wire.Reap:
			if t != nil && t.state == wire.Ended {
				for i := range w.tasks {
					if w.tasks[i] == t {
						w.tasks = append(w.tasks[:i:i], w.tasks[i+1:]...)
						break
					}
				}
			}
		}
	}
	return did
}

func (w *Worker) launch(o wire.Command) {
	key, _ := worker.ParseTask(o.Task)
	t := &task{Task: key, try: o.Try}
	w.tasks = append(w.tasks, t)
	if home, whose := w.s.origin(key); home.aborted[whose.Job] > 1 {
		home.history.job(whose.Job).ordered++
	}
	job := w.s.job(key.Job)
	refuse := func(cause string) { t.state, t.cause = wire.Ended, cause }
	if job == nil || key.Index >= job.Tasks {
		refuse(wire.Unknown)
		return
	}
	cores, mem, gpus := w.typ.Cores, w.typ.Memory, w.typ.GPUs
	for _, x := range w.tasks {
		if j := w.s.job(x.Job); x != t && x.state != wire.Ended && j != nil {
			if x.Task == key {
				refuse(wire.Busy)
				return
			}
			cores, mem, gpus = cores-j.Cores, mem-j.Memory, gpus-j.GPUs
		}
	}
	if cores < job.Cores-1e-9 || mem < job.Memory-1e-9 || gpus < job.GPUs-1e-9 {
		refuse(wire.Full)
		return
	}
	t.state = wire.Pulling
	w.then(t, time.Duration(job.ImageGb/w.typ.Fetch*float64(time.Second)), func() {
		if w.Faulty || w.s.Mistaken[key.Job] {
			w.s.Failed = append(w.s.Failed, key)
			w.end(t, wire.Failed)
			return
		}
		t.on = true
		w.sight(t, "start")
		w.s.started(w, t, job)
		if job.Shape == wire.Gang {
			t.state = wire.Waiting
			w.then(t, time.Duration(w.s.S.Deployment.Workers.GangWait*float64(time.Second)), func() { w.end(t, wire.Incomplete) })
			w.changed()
			w.s.gang(job, t.try)
			return
		}
		w.run(t, job)
	})
}

// then does f later unless the task has moved on or the machine is gone; a
// hung machine goes on when it resumes.
func (w *Worker) then(t *task, d time.Duration, f func()) {
	t.gen++
	n := t.gen
	var try func()
	try = func() {
		if w.gone || t.gen != n || w.find(t.String(), t.try) != t {
			return
		}
		if w.Hung {
			w.s.after(time.Second, try)
			return
		}
		f()
	}
	w.s.after(d, try)
}

// RunTime is how long a task really takes: a little off its estimate.
func RunTime(job *wire.Job, index int) time.Duration {
	return time.Duration(job.Estimate * (0.9 + 0.05*float64(index%5)) * float64(time.Second))
}

func (w *Worker) run(t *task, job *wire.Job) {
	t.state, t.since = wire.Running, w.s.now
	w.changed()
	if job.Shape == wire.Service {
		return
	}
	left := time.Duration(float64(RunTime(job, t.Index))*rate(w.s.Overruns[job.Class])*(1+w.s.Apart[job.Class]*float64(t.Index))) - t.progress
	if home, whose := w.s.origin(t.Task); home.finished[whose] {
		left, t.kept = 0, true // its result is there from before
	}
	w.then(t, left, func() { w.end(t, wire.Done) })
}

func (w *Worker) end(t *task, cause string) {
	t.gen++
	switch {
	case t.kept && cause == wire.Done:
		w.sight(t, "kept")
	case t.on:
		w.sight(t, cause)
	}
	t.state, t.cause, t.on = wire.Ended, cause, false
	if cause == wire.Done {
		w.s.done(t.Task, w)
	}
	w.changed()
}

func (w *Worker) halt(t *task, grace *float64) {
	job := w.s.job(t.Job)
	if t.state == wire.Running && job.Mark > 0 && grace != nil && *grace >= job.Save {
		t.state = wire.Flushing
		w.then(t, time.Duration(job.Save*float64(time.Second)), func() { t.saved = true; w.end(t, wire.Halted) })
		return
	}
	if t.state == wire.Flushing && grace != nil && *grace > 0 {
		return
	}
	w.end(t, wire.Halted)
}
