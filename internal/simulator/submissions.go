package simulator

import (
	"curlewspool/internal/protocol"
)

// NewSubmission makes a submission with the usual fields; edit changes it.
func NewSubmission(id string, shape protocol.JobShape, tasks int, cores, estimate float64, edit func(submission *protocol.Submission)) *protocol.Submission {
	p := func(s string) *string { return &s }
	f := func(v float64) *float64 { return &v }
	n, no := uint64(tasks), false
	yes := true
	submission := &protocol.Submission{ID: p(id), Class: p("class"), Team: p("red"), Shape: &shape, Priority: p("standard"), Tasks: &n, Cores: f(cores),
		GPUs: f(0), MemoryGB: f(1), Image: p("img"), ImageGB: f(0.5), SingleZone: &no, SpreadZones: &no, AllowSpot: &yes, Estimate: f(estimate), CheckpointInterval: f(0), CheckpointDuration: f(0)}
	if edit != nil {
		edit(submission)
	}
	return submission
}

// DependsOn makes a job need others.
func DependsOn(needs ...string) func(submission *protocol.Submission) {
	return func(submission *protocol.Submission) { submission.Dependencies = needs }
}
