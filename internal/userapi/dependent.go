package userapi

import (
	"curlewspool/internal/dependency"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file has what is particular to jobs that need others.

func dependencyOutcome(status protocol.JobStatus) dependency.Outcome {
	switch status {
	case protocol.JobDone:
		return dependency.OutcomeDone
	case protocol.JobCancelled:
		return dependency.OutcomeCancelled
	}
	return dependency.OutcomeUnknown
}

// dependentSubmission is a submission that needs others, while they are looked for.
type dependentSubmission struct {
	service       *Service
	job           *protocol.Job
	timing        submissionTiming
	reply         Reply
	unresolved    int  // needed jobs of which nothing is known yet
	hasUnfinished bool // some of them is not done
	answered      bool // it has been answered
}

// submitDependent takes a job that needs others, each of which must have been accepted.
// One that lives by the cache was, however old the cache is; for any other the state
// service is asked, so that "never accepted" is newer than the request.
func (in *Service) submitDependent(job *protocol.Job, st submissionTiming, reply Reply) {
	d := &dependentSubmission{service: in, job: job, timing: st, reply: reply, unresolved: len(job.Dependencies)}
	if !in.host.SupportsDependencies() {
		in.replyKnownOr(job.ID, reply, func() { replyUnavailable(reply, "a controller of the version before is up") })
		return
	}
	for _, need := range job.Dependencies {
		switch {
		case need == job.ID:
			d.reject("it needs itself")
		case in.isLive(need):
			d.acceptLive(need)
		default:
			in.lookUp(need, &lookup{job: need,
				onLive:        func() { d.acceptLive(need) },
				onFinished:    func(f shard.FinalRecord) { d.acceptFinished(need, f) },
				onUnknown:     func() { d.reject("it needs a job that was never accepted: " + need) },
				onUnavailable: d.failUnavailable,
			})
		}
	}
}

// reject answers that the job can never run, unless it was accepted before.
func (d *dependentSubmission) reject(why string) {
	if !d.answered {
		d.answered = true
		d.service.replyKnownOr(d.job.ID, d.reply, func() { d.reply(422, &protocol.ErrorResponse{Error: why}, 0) })
	}
}

func (d *dependentSubmission) failUnavailable() {
	if !d.answered {
		d.answered = true
		replyUnavailable(d.reply, "state service not reachable")
	}
}

func (d *dependentSubmission) acceptLive(need string) {
	if rec := d.service.host.Job(need); rec != nil && rec.Job.Shape == protocol.ShapeService {
		d.reject("it needs a service: " + need)
		return
	}
	d.hasUnfinished = true
	d.markAccepted()
}

func (d *dependentSubmission) acceptFinished(need string, f shard.FinalRecord) {
	d.hasUnfinished = d.hasUnfinished || f.Status != protocol.JobDone
	d.markAccepted()
}

// markAccepted: one more of the needed jobs was accepted. When all were, the job is stored: to
// wait, or as any other if they are all done already.
func (d *dependentSubmission) markAccepted() {
	d.unresolved--
	if d.unresolved > 0 || d.answered {
		return
	}
	d.answered = true
	if !d.hasUnfinished {
		d.service.placeAndStore(d.job, d.timing, d.reply)
		return
	}
	d.timing.placedAt = d.service.env.Now()
	d.service.storeJob(&d.timing, &shard.JobRecord{Job: *d.job, AcceptedAt: d.service.host.WallSeconds()}, d.reply)
}

// resolveLive answers for a job that lives. One that waits is withdrawn as soon as one that it
// needs is, directly or through others, whether or not that is written in its own record
// yet: the end of the one that was cancelled decides for all, by one key. The cache was
// proven after the question, so whatever was confirmed before it no longer lives there,
// and its end is read.
func (in *Service) resolveLive(k *lookup) {
	graph := in.host.Dependencies()
	unread := graph.UnreadUpstream(k.job)
	switch {
	case graph.IsCancelled(k.job):
		k.onFinished(shard.FinalRecord{Status: protocol.JobCancelled, Tasks: in.taskCount(k.job), CancelledWith: graph.CancellationCause(k.job)})
	case len(unread) == 0:
		k.onLive()
	default:
		in.readOutcomes(unread, func(ok bool) {
			k.attempts++
			switch {
			case !ok || k.attempts > 3:
				k.onUnavailable()
			case in.isLive(k.job):
				in.resolveLive(k)
			default:
				in.lookUp(k.job, k)
			}
		})
	}
}

func (in *Service) taskCount(id string) int {
	if rec := in.host.Job(id); rec != nil {
		return rec.Job.Tasks
	}
	return 0
}

// maxListedDependencies keeps the answer to a question small.
const maxListedDependencies = 100

// openDependencies lists what a job still waits for.
func (in *Service) openDependencies(id string) []string {
	open := in.host.Dependencies().UnmetNeeds(id)
	return open[:min(len(open), maxListedDependencies)]
}

// readOutcomes reads how jobs ended that no longer live; false: not all could be read.
func (in *Service) readOutcomes(ids []string, done func(ok bool)) {
	left, all := len(ids), true
	for _, id := range ids {
		in.FetchOutcome(id, func(ok bool) {
			left--
			all = all && ok
			if left == 0 {
				done(all)
			}
		})
	}
}

// FetchOutcome reads how a job ended that no longer lives. The answer is remembered.
func (in *Service) FetchOutcome(id string, done func(ok bool)) {
	if f, known := in.finished.Get(id); known {
		in.host.Dependencies().RecordOutcome(id, dependencyOutcome(f.Status))
		done(true)
		return
	}
	in.readOutcome(id, func(_ shard.FinalRecord, err error) { done(err == nil) })
}

// CancelWithDependency stores that a job which waits is withdrawn with one that it needs.
func (in *Service) CancelWithDependency(id string, done func(ok bool)) {
	in.storeCancellation(id, in.host.Dependencies().CancellationCause(id), done, func() bool { return true })
}
