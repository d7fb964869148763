package standin

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"curlewspool/internal/part"
	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
	"curlewspool/internal/worker"
)

// What the users added to the rules: see docs/design.md.
const (
	forgottenAfter = 75 * time.Second // without an answer once all troubles are over
	beginWithin    = 4 * time.Minute  // a class's largest jobs
	leastServed    = 0.5              // of a class, of a team, of a class's largest jobs
	leftAfter      = 90 * time.Second // waiting once all troubles are over, though a machine has room
)

// History is what users and machines saw of jobs on a day.
type History struct {
	Calm time.Duration // when all troubles were over
	jobs map[string]*past
}

// past is that of one job.
type past struct {
	asked   time.Duration // first attempt to submit
	known   time.Duration // the latest answer
	silence time.Duration // the longest without, after the troubles
	first   map[int]bool  // tasks that have started, and how many are done
	ended   map[int]bool
	begun   time.Duration // as many had started as may be there at once; 0: not yet
	may     int
	idle    time.Duration // since when it has waited beside room for it; 0: it does not
	left    time.Duration // the longest such time
	on      time.Duration // how long after its cancellation was confirmed some of it was seen on a machine
	late    int           // its tasks that came to be on a machine after that
	ordered int           // launches of its tasks that reached a machine after that
}

func (h *History) job(id string) *past {
	if h.jobs == nil {
		h.jobs = map[string]*past{}
	}
	if h.jobs[id] == nil {
		h.jobs[id] = &past{first: map[int]bool{}, ended: map[int]bool{}, may: math.MaxInt}
	}
	return h.jobs[id]
}

func (h *History) asked(id string, now time.Duration) {
	if p := h.job(id); p.asked == 0 {
		p.asked = max(now, 1)
	}
}

func (h *History) answered(id string, now time.Duration) {
	p := h.job(id)
	p.hush(h.Calm, now)
	p.known = now
}

func (p *past) hush(calm, now time.Duration) {
	if p.known > 0 {
		p.silence = max(p.silence, now-max(p.known, calm))
	}
}

func (h *History) started(t worker.Task, now time.Duration) {
	p := h.job(t.Job)
	p.first[t.Index] = true
	if p.begun == 0 && len(p.first) >= p.may {
		p.begun = now
	}
}

func (h *History) done(t worker.Task) { h.job(t.Job).ended[t.Index] = true }

// atOnce is how many tasks of a job its team's limit allows at once.
func atOnce(j *wire.Job, t *settings.Team) int {
	n := j.Tasks
	if t != nil && t.CoresMax > 0 && j.Cores > 0 {
		n = min(n, int(t.CoresMax/j.Cores+1e-9))
	}
	if t != nil && t.GPUsMax > 0 && j.GPUs > 0 {
		n = min(n, int(t.GPUsMax/j.GPUs+1e-9))
	}
	return n
}

// Judge tells what of the addition to the rules the day broke, when it ended now;
// jobs are all that were accepted and not cancelled. What was submitted so late that
// it could not begin in time by the end is not judged by that.
func (h *History) Judge(jobs map[string]*wire.Job, now time.Duration) (wrong []string) {
	type share struct{ served, all int }
	shares, most := map[string]*share{}, map[string]int{}
	for _, j := range jobs {
		most[j.Class] = max(most[j.Class], j.Tasks)
	}
	count := func(what string, served bool) {
		if shares[what] == nil {
			shares[what] = &share{}
		}
		shares[what].all++
		if served {
			shares[what].served++
		}
	}
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		j, p := jobs[id], h.job(id)
		p.hush(h.Calm, now)
		if p.left > leftAfter {
			wrong = append(wrong, fmt.Sprintf("left waiting: %s for %v beside room for it", id, p.left.Round(time.Second)))
		}
		if p.silence > forgottenAfter {
			wrong = append(wrong, fmt.Sprintf("forgotten: %s for %v", id, p.silence.Round(time.Second)))
		}
		served := len(p.ended) == j.Tasks
		count("class "+j.Class, served)
		count("team "+j.Team, served)
		if j.Tasks < most[j.Class] {
			continue
		}
		count("largest of class "+j.Class, served)
		if len(j.Needs) > 0 {
			continue // they begin when others are done
		}
		begun := p.begun
		if begun == 0 {
			begun = now
		}
		if begun-p.asked > beginWithin {
			wrong = append(wrong, fmt.Sprintf("begins late: %s, %d of %d tasks after %v", id, len(p.first), j.Tasks, (begun-p.asked).Round(time.Second)))
		}
	}
	for _, what := range slices.Sorted(maps.Keys(shares)) {
		if s := shares[what]; float64(s.served) < leastServed*float64(s.all) {
			wrong = append(wrong, fmt.Sprintf("not served: %s, %d of %d", what, s.served, s.all))
		}
	}
	return wrong
}

// Judge applies it to the day; all troubles must be over by Calm.
func (s *Sim) Judge() []string {
	jobs := map[string]*wire.Job{}
	for id, j := range s.jobs {
		if s.told[id] != "" && s.aborted[id] == 0 && j.Shape != wire.Service && !s.cancelledAbove(id, 0) {
			jobs[id] = j
		}
	}
	return s.history.Judge(jobs, s.now)
}

// watchWaiting follows, once all troubles are over, which jobs wait beside room for them.
func (s *Sim) watchWaiting() {
	s.after(2*time.Second, s.watchWaiting)
	if s.now < s.history.Calm {
		return
	}
	for id, j := range s.jobs {
		p := s.history.job(id)
		was := s.told[id]
		if was == "" || was == wire.Done || was == wire.Withdrawn || s.aborted[id] > 0 || s.Mistaken[id] || s.waitsForOthers(j) || !s.roomBeside(j) {
			p.idle = 0
			continue
		}
		if p.idle == 0 {
			p.idle = s.now
		}
		p.left = max(p.left, s.now-p.idle)
	}
}

// roomBeside tells whether some of a job waits, of a gang all, though machines that fit
// have room for one more task, for a gang's all, and its team is under its limit.
func (s *Sim) roomBeside(j *wire.Job) bool {
	on, there, done := 0, map[string]int{}, 0
	var cores, gpus float64
	free := map[*Worker]*wire.MachineType{}
	for _, id := range s.workerIDs() {
		w := s.Workers[id]
		left := w.typ
		for _, t := range w.tasks {
			o := s.job(t.Job)
			if t.state == wire.Ended || o == nil {
				continue
			}
			left.Cores, left.GPUs, left.Memory = left.Cores-o.Cores, left.GPUs-o.GPUs, left.Memory-o.Memory
			if o.Team == j.Team {
				cores, gpus = cores+o.Cores, gpus+o.GPUs
			}
			if t.Job == j.ID {
				on++
				there[w.zone]++
			}
		}
		if w.up && !w.gone && !w.Hung && !w.Faulty && !w.noticed && !s.deaf[w.addr] {
			free[w] = &left
		}
	}
	for i := range j.Tasks {
		if s.finished[worker.Task{Job: j.ID, Index: i}] {
			done++
		}
	}
	need := 1.0
	if j.Shape == wire.Gang {
		need = float64(j.Tasks)
		if on > 0 {
			return false // it comes to be there, or goes
		}
	}
	team := s.S.Team(j.Team)
	if on+done >= j.Tasks || team.CoresMax > 0 && cores+need*j.Cores > team.CoresMax || team.GPUsMax > 0 && gpus+need*j.GPUs > team.GPUsMax {
		return false
	}
	zones := map[string]int{}
	for w, left := range free {
		n := 0
		if part.Allows(j, &w.typ, w.zone, w.spot) {
			n = max(0, left.Fits(j, int(need)))
		}
		switch {
		case j.OneZone && on > 0 && there[w.zone] == 0:
		case j.Spread && there[w.zone] >= part.Half(j):
		default:
			zones[w.zone] += n
		}
	}
	return float64(part.Holds(j, zones)) >= need
}
