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

// Service levels that must hold in addition to the invariants; see docs/design.md.
const (
	// maxUnansweredTime is the longest permitted time without an answer to a job's user after all
	// faults have ended.
	maxUnansweredTime = 75 * time.Second

	// maxStartDelay is the longest permitted time from the submission of a job until as many of
	// its tasks have started as its team's limit allows to run at once. It applies to the largest
	// jobs of each class.
	maxStartDelay = 4 * time.Minute

	// minServedShare is the share of jobs that must be done in each group. The groups are the jobs
	// of a class, the jobs of a team, and the largest jobs of a class.
	minServedShare = 0.5

	// maxWaitDespiteCapacity is the longest permitted wait of a job for which there is free
	// capacity, after all faults have ended.
	maxWaitDespiteCapacity = 90 * time.Second
)

// JobHistories are the histories of jobs as users and machines observed them in a run.
type JobHistories struct {
	FaultsEndedAt time.Duration // time at which all faults have ended
	jobs          map[string]*jobHistory
}

// jobHistory is the history of one job.
type jobHistory struct {
	submittedAt       time.Duration // time of the first attempt to submit it
	lastAnswerAt      time.Duration
	longestUnanswered time.Duration // longest time without an answer after all faults have ended

	startedTasks   map[int]bool
	completedTasks map[int]bool
	maxConcurrent  int           // number of tasks that the team's limit allows at once
	fullyStartedAt time.Duration // when maxConcurrent tasks had started; 0 before that

	waitingSince time.Duration // start of the current wait despite free capacity; 0: none
	longestWait  time.Duration // longest wait despite free capacity

	// What followed the confirmation of the job's cancellation.
	terminationDelay          time.Duration // how long tasks stayed on machines of the home cluster
	startsAfterCancellation   int           // number of tasks that started
	launchesAfterCancellation int           // number of launch commands that reached a machine
}

// job returns the history of a job and creates it if there is none.
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
	history.recordUnansweredTime(h.FaultsEndedAt, now)
	history.lastAnswerAt = now
}

// recordUnansweredTime records the time without an answer until now. It starts at the last
// answer or, if that is later, at the end of all faults.
func (h *jobHistory) recordUnansweredTime(faultsEndedAt, now time.Duration) {
	if h.lastAnswerAt > 0 {
		h.longestUnanswered = max(h.longestUnanswered, now-max(h.lastAnswerAt, faultsEndedAt))
	}
}

func (h *JobHistories) recordStart(task agent.TaskID, now time.Duration) {
	history := h.job(task.Job)
	history.startedTasks[task.Index] = true
	if history.fullyStartedAt == 0 && len(history.startedTasks) >= history.maxConcurrent {
		history.fullyStartedAt = now
	}
}

func (h *JobHistories) recordCompletion(task agent.TaskID) {
	h.job(task.Job).completedTasks[task.Index] = true
}

// maxConcurrentTasks returns the number of tasks of a job that its team's limit allows at once.
func maxConcurrentTasks(job *protocol.Job, team *settings.Team) int {
	count := job.Tasks
	if team != nil && team.CoresMax > 0 && job.Cores > 0 {
		count = min(count, int(team.CoresMax/job.Cores+roundingError))
	}
	if team != nil && team.GPUsMax > 0 && job.GPUs > 0 {
		count = min(count, int(team.GPUsMax/job.GPUs+roundingError))
	}
	return count
}

// servedShare counts the jobs of a group and how many of them had all their tasks done.
type servedShare struct{ served, all int }

// servedShares holds a servedShare for each group of jobs, by the name of the group.
type servedShares map[string]*servedShare

func (s servedShares) count(group string, served bool) {
	if s[group] == nil {
		s[group] = &servedShare{}
	}
	s[group].all++
	if served {
		s[group].served++
	}
}

// violations describes the groups in which a smaller share of jobs than minServedShare was served.
func (s servedShares) violations() (violations []string) {
	for _, group := range slices.Sorted(maps.Keys(s)) {
		if share := s[group]; float64(share.served) < minServedShare*float64(share.all) {
			violations = append(violations, fmt.Sprintf("not served: %s, %d of %d", group, share.served, share.all))
		}
	}
	return violations
}

// Violations describes the service levels that were missed in a run that ends now. jobs are
// all jobs that were accepted and not cancelled. A job that has not started yet counts as late
// only if it was submitted more than maxStartDelay ago.
func (h *JobHistories) Violations(jobs map[string]*protocol.Job, now time.Duration) (violations []string) {
	largest := map[string]int{} // tasks of the largest job, by class
	for _, job := range jobs {
		largest[job.Class] = max(largest[job.Class], job.Tasks)
	}
	shares := servedShares{}
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		job, history := jobs[id], h.job(id)
		history.recordUnansweredTime(h.FaultsEndedAt, now)
		violations = append(violations, history.delayViolations(id)...)
		served := len(history.completedTasks) == job.Tasks
		shares.count("class "+job.Class, served)
		shares.count("team "+job.Team, served)
		if job.Tasks < largest[job.Class] {
			continue
		}
		shares.count("largest of class "+job.Class, served)
		violations = append(violations, history.startViolations(job, now)...)
	}
	return append(violations, shares.violations()...)
}

// delayViolations returns a violation if the job waited for longer than maxWaitDespiteCapacity
// despite free capacity, and one if its user was without an answer for longer than
// maxUnansweredTime.
func (h *jobHistory) delayViolations(id string) (violations []string) {
	if h.longestWait > maxWaitDespiteCapacity {
		violations = append(violations, fmt.Sprintf("left waiting: %s for %v despite free capacity", id, h.longestWait.Round(time.Second)))
	}
	if h.longestUnanswered > maxUnansweredTime {
		violations = append(violations, fmt.Sprintf("forgotten: %s for %v", id, h.longestUnanswered.Round(time.Second)))
	}
	return violations
}

// startViolations describes the start of a job, one of the largest of its class, if it took longer
// than maxStartDelay. Jobs with dependencies are not checked, because they start when their
// dependencies are done.
func (h *jobHistory) startViolations(job *protocol.Job, now time.Duration) (violations []string) {
	if len(job.Dependencies) > 0 {
		return nil
	}
	startedAt := h.fullyStartedAt
	if startedAt == 0 {
		startedAt = now
	}
	if delay := startedAt - h.submittedAt; delay > maxStartDelay {
		violations = append(violations, fmt.Sprintf("begins late: %s, %d of %d tasks after %v", job.ID, len(h.startedTasks), job.Tasks, delay.Round(time.Second)))
	}
	return violations
}

// ServiceLevelViolations describes the service levels that were missed until now. No fault may be
// active after the time histories.FaultsEndedAt.
func (c *Cluster) ServiceLevelViolations() []string {
	jobs := map[string]*protocol.Job{}
	for id, job := range c.jobs {
		isAccepted := c.reportedStatus[id] != ""
		isCancelled := c.cancellations[id].requested || c.hasCancelledDependency(id, 0)
		if isAccepted && !isCancelled && job.Shape != protocol.ShapeService {
			jobs[id] = job
		}
	}
	return c.histories.Violations(jobs, c.now)
}
