package simulator

import "curlewspool/internal/protocol"

// SubmissionOption modifies a submission that NewSubmission returns.
type SubmissionOption func(submission *protocol.Submission)

// NewSubmission returns a submission of class "class" and team red, with standard priority. Each
// task uses 1 GB of memory and an image of 0.5 GB, and may run on any machine. The estimate is in
// seconds. nil options are ignored.
func NewSubmission(id string, shape protocol.JobShape, tasks int, cores, estimate float64, options ...SubmissionOption) *protocol.Submission {
	submission := &protocol.Submission{
		ID:                 &id,
		Class:              new("class"),
		Team:               new("red"),
		Shape:              &shape,
		Priority:           new("standard"),
		Tasks:              new(uint64(tasks)),
		Cores:              &cores,
		GPUs:               new(0.0),
		MemoryGB:           new(1.0),
		Image:              new("img"),
		ImageGB:            new(0.5),
		SingleZone:         new(false),
		SpreadZones:        new(false),
		AllowSpot:          new(true),
		Estimate:           &estimate,
		CheckpointInterval: new(0.0),
		CheckpointDuration: new(0.0),
	}
	for _, option := range options {
		if option != nil {
			option(submission)
		}
	}
	return submission
}

// DependsOn makes the job depend on other jobs.
func DependsOn(jobs ...string) SubmissionOption {
	return func(submission *protocol.Submission) { submission.Dependencies = jobs }
}
