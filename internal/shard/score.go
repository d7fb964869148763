package shard

import "curlewspool/internal/settings"

// guaranteeBoost puts the jobs of teams within their guarantee ahead of all others.
const guaranteeBoost = 1e9

// scoreInput is what the score of a queued job depends on; times are in seconds.
type scoreInput struct {
	priority  int
	deadlines []float64 // after the job's acceptance, see Controller.Deadlines
	age       float64   // since the job's acceptance
	estimate  float64   // of a task's run time
	shortness float64   // the shortest queued estimate over the job's own
}

// queueScore is the weighted priority of a queued job (DESIGN, "Parts rerank at each queue
// or end event"; paper, section 4, "Local-Scheduler"):
//
//	WA·age + WWM·(shortest estimate / own estimate) + Deadline
//
// The term of the user's priority is ours: PROTOCOL lets a higher one preempt, so it must
// also be ahead in the queue.
func queueScore(weights *settings.ScoreSettings, job scoreInput) float64 {
	score := weights.Aging*job.age + weights.Priority*float64(job.priority)
	if job.estimate > 0 {
		score += weights.Short * job.shortness
	}
	return score + weights.DeadlineMin + deadlineRise(weights, job)
}

// deadlineRise is by how much the Deadline term is above its minimum (paper, section 4:
// the Deadline heuristics, with ext the expected end, t the start of the rise). It rises
// linearly from when the expected end passes deadline - k·estimate to max at the deadline,
// and is at the minimum once the job is late. Ours: of several deadlines the first that
// the job can still meet counts.
func deadlineRise(weights *settings.ScoreSettings, job scoreInput) float64 {
	expectedEnd := job.age + job.estimate
	for _, deadline := range job.deadlines {
		if expectedEnd > deadline {
			continue // late
		}
		riseStart := deadline - weights.K*job.estimate
		if expectedEnd <= riseStart || deadline <= riseStart {
			return 0
		}
		return (weights.DeadlineMax - weights.DeadlineMin) * (expectedEnd - riseStart) / (deadline - riseStart)
	}
	return 0
}

// remainingEstimate is the estimate that the shortness term compares, in seconds: of an
// array, what is queued of it here, since its user waits for the last task (ours).
func (q *QueuedJob) remainingEstimate() float64 {
	if q.isGang() {
		return q.Record.Job.Estimate
	}
	return q.Record.Job.Estimate * float64(max(q.idleTasks, 1))
}

// ageOf is how many seconds ago a job was accepted.
func (s *Shard) ageOf(job *QueuedJob) float64 {
	return s.controller.WallSeconds() - job.Record.AcceptedAt
}

// scoreJob sets the score of a queued job. shortest is the shortest remaining estimate in
// the queue.
func (s *Shard) scoreJob(job *QueuedJob, shortest float64) {
	const shortestPossible = 1e-9 // seconds
	spec := &job.Record.Job
	age := s.ageOf(job)
	job.score = queueScore(&s.controller.Settings().Score, scoreInput{
		priority:  spec.Priority,
		deadlines: s.controller.Deadlines(spec),
		age:       age,
		estimate:  spec.Estimate,
		shortness: shortest / max(job.remainingEstimate(), shortestPossible),
	})
	job.score += s.lateStartBoost(job, age)
	if s.withinGuarantee(spec.Team) {
		job.score += guaranteeBoost
	}
}

// lateStartBoost is what the score of a job gains of which nothing has started here,
// rising from a quarter to a half of the time within which jobs are to begin (score.begin):
// by then it is ahead of all that came after it and reserves, as the head, what others
// free. It preempts nothing by this: its priority stays what it is. Once some of it has
// started it is like any other. (Tried until all of a class's largest arrays had started:
// 25,000 tasks of the lowest priority went ahead of arrays of higher ones, which preempted
// them, 90,000 times.)
//
// It is the smallest exception that works for the users' rule that a class's largest jobs,
// too, begin within four minutes whatever comes meanwhile. (Incident inc-2185: a gang of
// three waited for 349 s behind arrays, an array of the lowest priority for 474 s.)
func (s *Shard) lateStartBoost(job *QueuedJob, age float64) float64 {
	if job.placedTasks > 0 || job.localDone > 0 || job.lastStartedAt > 0 {
		return 0
	}
	weights := &s.controller.Settings().Score
	rise := min(max(4*age/weights.Begin-1, 0), 1)
	return weights.BeginWeight * rise
}
