package simulator

import "curlewspool/internal/protocol"

func ofClass(class string) SubmissionOption {
	return func(submission *protocol.Submission) { submission.Class = &class }
}

func ofTeam(team string) SubmissionOption {
	return func(submission *protocol.Submission) { submission.Team = &team }
}

func withPriority(priority string) SubmissionOption {
	return func(submission *protocol.Submission) { submission.Priority = &priority }
}

// withDeadline lets a job be done within a time after its submission, in seconds.
func withDeadline(seconds float64) SubmissionOption {
	return func(submission *protocol.Submission) { submission.Deadline = &seconds }
}

// withCheckpoints lets tasks make checkpoints; both times in seconds.
func withCheckpoints(interval, duration float64) SubmissionOption {
	return func(submission *protocol.Submission) {
		submission.CheckpointInterval, submission.CheckpointDuration = &interval, &duration
	}
}

// bestEffort is a priority that is preempted by all others, with checkpoints so that
// little is lost.
func bestEffort(checkpointInterval, checkpointDuration float64) SubmissionOption {
	return func(submission *protocol.Submission) {
		withPriority("best_effort")(submission)
		withCheckpoints(checkpointInterval, checkpointDuration)(submission)
	}
}

// inZone binds a job to a zone.
func inZone(zone string) SubmissionOption {
	return func(submission *protocol.Submission) { submission.Zone = &zone }
}

// inSingleZone lets a job be in one zone only, whichever.
func inSingleZone(submission *protocol.Submission) { submission.SingleZone = new(true) }

// spreadOverZones lets at most half of a job be in one zone.
func spreadOverZones(submission *protocol.Submission) { submission.SpreadZones = new(true) }
