package standin

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
	"curlewspool/internal/worker"
)

// What the users added to the rules: see docs/design.md.
const (
	forgottenAfter = 75 * time.Second // without an answer once all troubles are over
	beginWithin    = 4 * time.Minute  // a class's largest jobs
	leastServed    = 0.5              // of a class, of a team, of a class's largest jobs
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
		if s.told[id] != "" && s.aborted[id] == 0 && j.Shape != wire.Service {
			jobs[id] = j
		}
	}
	return s.history.Judge(jobs, s.now)
}
