package shard

import "curlewspool/internal/settings"

// guaranteeBoost is added to the score of jobs of teams within their guarantee, which places these
// jobs ahead of all others.
const guaranteeBoost = 1e9

// scoreInput is the input to the score of a queued job. Times are in seconds.
type scoreInput struct {
	priority  int
	deadlines []float64 // seconds after the job's acceptance, see Controller.Deadlines
	age       float64   // time since the job's acceptance
	estimate  float64   // estimated runtime of a task
	shortness float64   // the shortest estimate in the queue divided by this job's estimate; see remainingEstimate
}

// queueScore returns the weighted priority of a queued job (DESIGN, "Parts rerank at each queue
// or end event"; paper, section 4, "Local-Scheduler"):
//
//	WA·age + WWM·(shortest estimate / own estimate) + Deadline
//
// A further term for the user's priority is added, which is not in the paper. PROTOCOL lets jobs of
// a higher priority preempt others, so jobs of a higher priority must also be ahead of the
// others in the queue.
func queueScore(weights *settings.ScoreSettings, job scoreInput) float64 {
	score := weights.Aging*job.age + weights.Priority*float64(job.priority)
	if job.estimate > 0 {
		score += weights.ShortJobWeight * job.shortness
	}
	return score + weights.DeadlineMin + deadlineRise(weights, job)
}

// deadlineRise returns how far the Deadline term is above its minimum (paper, section 4, the
// Deadline heuristics, where ext is the expected end and t the start of the rise). The term rises
// linearly while the expected end moves from deadline - k·estimate to the deadline, where k is
// ScoreSettings.DeadlineRiseEstimates. Once the job is late, the term is at its minimum. If there
// are several deadlines, the first that the job can still meet counts; this rule is not in the
// paper.
func deadlineRise(weights *settings.ScoreSettings, job scoreInput) float64 {
	expectedEnd := job.age + job.estimate
	for _, deadline := range job.deadlines {
		if expectedEnd > deadline {
			continue // the job is late for this deadline
		}
		riseStart := deadline - weights.DeadlineRiseEstimates*job.estimate
		if expectedEnd <= riseStart || deadline <= riseStart {
			return 0
		}
		return (weights.DeadlineMax - weights.DeadlineMin) * (expectedEnd - riseStart) / (deadline - riseStart)
	}
	return 0
}

// remainingEstimate returns the job's estimate, in seconds, that scoreInput.shortness compares with
// those of other jobs. For arrays it is the sum of the estimates of all tasks queued here, because
// the user waits for the last task. The paper has no such sum.
func (q *QueuedJob) remainingEstimate() float64 {
	if q.isGang() {
		return q.Record.Job.Estimate
	}
	return q.Record.Job.Estimate * float64(max(q.idleTasks, 1))
}

// ageOf returns the seconds since a job was accepted.
func (s *Shard) ageOf(job *QueuedJob) float64 {
	return s.controller.WallSeconds() - job.Record.AcceptedAt
}

// scoreJob sets the score of a queued job, given the shortest remaining estimate in the queue.
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

// lateStartBoost returns the score boost of a job of which no task has started here. The boost rises
// linearly while the job's age grows from a quarter to a half of the time within which jobs should
// start (score.begin). With the full boost the job is ahead of all jobs that were accepted later. As
// the head of the queue it then reserves capacity that other jobs release. The boost does not let
// the job preempt other jobs, because its priority is unchanged.
//
// The boost ends when the first task has started. In a run in which it lasted until all tasks of the
// largest arrays of a class had started, 25,000 tasks of the lowest priority ran ahead of
// higher-priority arrays, which preempted them 90,000 times.
//
// Users require that even the largest jobs of a class start within four minutes, whatever is
// submitted later. The boost is the smallest exception to the queue order that meets this
// requirement. (Incident inc-2185: a gang of three waited 349 s behind arrays, and an array of
// the lowest priority waited 474 s.)
func (s *Shard) lateStartBoost(job *QueuedJob, age float64) float64 {
	if job.placedTasks > 0 || job.localDone > 0 || job.lastStartedAt > 0 {
		return 0
	}
	weights := &s.controller.Settings().Score
	rise := min(max(4*age/weights.StartWithin-1, 0), 1)
	return weights.LateStartWeight * rise
}
