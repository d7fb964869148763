package simulator

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
	"curlewspool/internal/shard"
)

// What the users added to the rules: see docs/design.md.
const (
	maxSilence             = 75 * time.Second // without an answer once all troubles are over
	maxStartDelay          = 4 * time.Minute  // a class's largest jobs
	minServedShare         = 0.5              // of a class, of a team, of a class's largest jobs
	maxWaitDespiteCapacity = 90 * time.Second // waiting once all troubles are over, though a machine has room
)

// JobHistories is what users and machines saw of jobs on a day.
type JobHistories struct {
	FaultsOver time.Duration // when all troubles were over
	jobs       map[string]*jobHistory
}

// jobHistory is that of one job.
type jobHistory struct {
	submittedAt               time.Duration // first attempt to submit
	lastAnswerAt              time.Duration // the latest answer
	longestSilence            time.Duration // the longest without, after the troubles
	startedTasks              map[int]bool  // tasks that have started, and how many are done
	completedTasks            map[int]bool
	fullyStartedAt            time.Duration // as many had started as may be there at once; 0: not yet
	maxConcurrent             int
	waitingSince              time.Duration // since when it has waited beside room for it; 0: it does not
	longestWait               time.Duration // the longest such time
	presentAfterCancellation  time.Duration // how long after its cancellation was confirmed some of it was seen on a machine
	startsAfterCancellation   int           // its tasks that came to be on a machine after that
	launchesAfterCancellation int           // launches of its tasks that reached a machine after that
}

func (h *JobHistories) job(id string) *jobHistory {
	if h.jobs == nil {
		h.jobs = map[string]*jobHistory{}
	}
	if h.jobs[id] == nil {
		h.jobs[id] = &jobHistory{startedTasks: map[int]bool{}, completedTasks: map[int]bool{}, maxConcurrent: math.MaxInt}
	}
	return h.jobs[id]
}

func (h *JobHistories) recordSubmission(id string, now time.Duration) {
	if p := h.job(id); p.submittedAt == 0 {
		p.submittedAt = max(now, 1)
	}
}

func (h *JobHistories) recordAnswer(id string, now time.Duration) {
	p := h.job(id)
	p.extendSilence(h.FaultsOver, now)
	p.lastAnswerAt = now
}

func (p *jobHistory) extendSilence(calm, now time.Duration) {
	if p.lastAnswerAt > 0 {
		p.longestSilence = max(p.longestSilence, now-max(p.lastAnswerAt, calm))
	}
}

func (h *JobHistories) recordStart(t agent.TaskID, now time.Duration) {
	p := h.job(t.Job)
	p.startedTasks[t.Index] = true
	if p.fullyStartedAt == 0 && len(p.startedTasks) >= p.maxConcurrent {
		p.fullyStartedAt = now
	}
}

func (h *JobHistories) recordCompletion(t agent.TaskID) { h.job(t.Job).completedTasks[t.Index] = true }

// maxConcurrentTasks is how many tasks of a job its team's limit allows at once.
func maxConcurrentTasks(j *protocol.Job, t *settings.Team) int {
	n := j.Tasks
	if t != nil && t.CoresMax > 0 && j.Cores > 0 {
		n = min(n, int(t.CoresMax/j.Cores+1e-9))
	}
	if t != nil && t.GPUsMax > 0 && j.GPUs > 0 {
		n = min(n, int(t.GPUsMax/j.GPUs+1e-9))
	}
	return n
}

// Violations tells what of the addition to the rules the day broke, when it ended now;
// jobs are all that were accepted and not cancelled. What was submitted so late that
// it could not begin in time by the end is not judged by that.
func (h *JobHistories) Violations(jobs map[string]*protocol.Job, now time.Duration) (wrong []string) {
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
		p.extendSilence(h.FaultsOver, now)
		if p.longestWait > maxWaitDespiteCapacity {
			wrong = append(wrong, fmt.Sprintf("left waiting: %s for %v beside room for it", id, p.longestWait.Round(time.Second)))
		}
		if p.longestSilence > maxSilence {
			wrong = append(wrong, fmt.Sprintf("forgotten: %s for %v", id, p.longestSilence.Round(time.Second)))
		}
		served := len(p.completedTasks) == j.Tasks
		count("class "+j.Class, served)
		count("team "+j.Team, served)
		if j.Tasks < most[j.Class] {
			continue
		}
		count("largest of class "+j.Class, served)
		if len(j.Dependencies) > 0 {
			continue // they begin when others are done
		}
		begun := p.fullyStartedAt
		if begun == 0 {
			begun = now
		}
		if begun-p.submittedAt > maxStartDelay {
			wrong = append(wrong, fmt.Sprintf("begins late: %s, %d of %d tasks after %v", id, len(p.startedTasks), j.Tasks, (begun-p.submittedAt).Round(time.Second)))
		}
	}
	for _, what := range slices.Sorted(maps.Keys(shares)) {
		if s := shares[what]; float64(s.served) < minServedShare*float64(s.all) {
			wrong = append(wrong, fmt.Sprintf("not served: %s, %d of %d", what, s.served, s.all))
		}
	}
	return wrong
}

// ServiceLevelViolations applies it to the day; all troubles must be over by Calm.
func (c *Cluster) ServiceLevelViolations() []string {
	jobs := map[string]*protocol.Job{}
	for id, j := range c.jobs {
		if c.reportedStatus[id] != "" && c.cancelledAt[id] == 0 && j.Shape != protocol.ShapeService && !c.hasCancelledDependency(id, 0) {
			jobs[id] = j
		}
	}
	return c.histories.Violations(jobs, c.now)
}

// monitorWaitingJobs follows, once all troubles are over, which jobs wait beside room for them.
func (c *Cluster) monitorWaitingJobs() {
	c.after(2*time.Second, c.monitorWaitingJobs)
	if c.now < c.histories.FaultsOver {
		return
	}
	for id, j := range c.jobs {
		p := c.histories.job(id)
		was := c.reportedStatus[id]
		if was == "" || was == protocol.JobDone || was == protocol.JobCancelled || c.cancelledAt[id] > 0 || c.FailingJobs[id] || c.hasOpenDependencies(j) || !c.hasCapacityFor(j) {
			p.waitingSince = 0
			continue
		}
		if p.waitingSince == 0 {
			p.waitingSince = c.now
		}
		p.longestWait = max(p.longestWait, c.now-p.waitingSince)
	}
}

// hasCapacityFor tells whether some of a job waits, of a gang all, though machines that fit
// have room for one more task, for a gang's all, and its team is under its limit.
func (c *Cluster) hasCapacityFor(j *protocol.Job) bool {
	on, there, done := 0, map[string]int{}, 0
	var cores, gpus float64
	free := map[*Machine]*protocol.MachineType{}
	for _, id := range c.machineIDs() {
		w := c.Machines[id]
		left := w.machineType
		for _, t := range w.attempts {
			o := c.jobByID(t.Job)
			if t.state == protocol.TaskEnded || o == nil {
				continue
			}
			left.Cores, left.GPUs, left.MemoryGB = left.Cores-o.Cores, left.GPUs-o.GPUs, left.MemoryGB-o.MemoryGB
			if o.Team == j.Team {
				cores, gpus = cores+o.Cores, gpus+o.GPUs
			}
			if t.Job == j.ID {
				on++
				there[w.zone]++
			}
		}
		if w.running && !w.deleted && !w.Hung && !w.Faulty && !w.evictionAnnounced && !c.inboundPartitioned[w.address] {
			free[w] = &left
		}
	}
	for i := range j.Tasks {
		if c.completedTasks[agent.TaskID{Job: j.ID, Index: i}] {
			done++
		}
	}
	need := 1.0
	if j.Shape == protocol.ShapeGang {
		need = float64(j.Tasks)
		if on > 0 {
			return false // it comes to be there, or goes
		}
	}
	team := c.Settings.Team(j.Team)
	if on+done >= j.Tasks || team.CoresMax > 0 && cores+need*j.Cores > team.CoresMax || team.GPUsMax > 0 && gpus+need*j.GPUs > team.GPUsMax {
		return false
	}
	zones := map[string]int{}
	for w, left := range free {
		n := 0
		if shard.CanRunOn(j, &w.machineType, w.zone, w.spot) {
			n = max(0, left.TasksThatFit(j, int(need)))
		}
		switch {
		case j.SingleZone && on > 0 && there[w.zone] == 0:
		case j.SpreadZones && there[w.zone] >= shard.MaxPerZone(j):
		default:
			zones[w.zone] += n
		}
	}
	return float64(shard.MaxPlaceable(j, zones)) >= need
}
