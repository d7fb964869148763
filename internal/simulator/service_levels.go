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
	if history := h.job(id); history.submittedAt == 0 {
		history.submittedAt = max(now, 1)
	}
}

func (h *JobHistories) recordAnswer(id string, now time.Duration) {
	history := h.job(id)
	history.extendSilence(h.FaultsOver, now)
	history.lastAnswerAt = now
}

func (p *jobHistory) extendSilence(calm, now time.Duration) {
	if p.lastAnswerAt > 0 {
		p.longestSilence = max(p.longestSilence, now-max(p.lastAnswerAt, calm))
	}
}

func (h *JobHistories) recordStart(t agent.TaskID, now time.Duration) {
	history := h.job(t.Job)
	history.startedTasks[t.Index] = true
	if history.fullyStartedAt == 0 && len(history.startedTasks) >= history.maxConcurrent {
		history.fullyStartedAt = now
	}
}

func (h *JobHistories) recordCompletion(t agent.TaskID) { h.job(t.Job).completedTasks[t.Index] = true }

// maxConcurrentTasks is how many tasks of a job its team's limit allows at once.
func maxConcurrentTasks(job *protocol.Job, t *settings.Team) int {
	n := job.Tasks
	if t != nil && t.CoresMax > 0 && job.Cores > 0 {
		n = min(n, int(t.CoresMax/job.Cores+1e-9))
	}
	if t != nil && t.GPUsMax > 0 && job.GPUs > 0 {
		n = min(n, int(t.GPUsMax/job.GPUs+1e-9))
	}
	return n
}

// Violations tells what of the addition to the rules the day broke, when it ended now;
// jobs are all that were accepted and not cancelled. What was submitted so late that
// it could not begin in time by the end is not judged by that.
func (h *JobHistories) Violations(jobs map[string]*protocol.Job, now time.Duration) (wrong []string) {
	type share struct{ served, all int }
	shares, most := map[string]*share{}, map[string]int{}
	for _, job := range jobs {
		most[job.Class] = max(most[job.Class], job.Tasks)
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
		job, history := jobs[id], h.job(id)
		history.extendSilence(h.FaultsOver, now)
		if history.longestWait > maxWaitDespiteCapacity {
			wrong = append(wrong, fmt.Sprintf("left waiting: %s for %v beside room for it", id, history.longestWait.Round(time.Second)))
		}
		if history.longestSilence > maxSilence {
			wrong = append(wrong, fmt.Sprintf("forgotten: %s for %v", id, history.longestSilence.Round(time.Second)))
		}
		served := len(history.completedTasks) == job.Tasks
		count("class "+job.Class, served)
		count("team "+job.Team, served)
		if job.Tasks < most[job.Class] {
			continue
		}
		count("largest of class "+job.Class, served)
		if len(job.Dependencies) > 0 {
			continue // they begin when others are done
		}
		begun := history.fullyStartedAt
		if begun == 0 {
			begun = now
		}
		if begun-history.submittedAt > maxStartDelay {
			wrong = append(wrong, fmt.Sprintf("begins late: %s, %d of %d tasks after %v", id, len(history.startedTasks), job.Tasks, (begun-history.submittedAt).Round(time.Second)))
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
	for id, job := range c.jobs {
		if c.reportedStatus[id] != "" && c.cancelledAt[id] == 0 && job.Shape != protocol.ShapeService && !c.hasCancelledDependency(id, 0) {
			jobs[id] = job
		}
	}
	return c.histories.Violations(jobs, c.now)
}
