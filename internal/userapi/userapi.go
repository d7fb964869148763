// Package userapi handles the requests of users: submissions, status queries and cancellations
// (PROTOCOL, "Users -> controller nodes"). Every controller serves every user. The key-value store
// is the source of truth: a job was accepted if and only if the store has its record or its
// outcome.
//
//   - userapi.go: the Service, and its cache of finished jobs and cancellations.
//   - submit.go, dependencies.go, cancel.go, replies.go: request handlers and responses.
//   - lookup.go: lookups of a job's state, with confirmation by the store.
//   - latency.go: latencies of submissions, by stage.
package userapi

import (
	"fmt"
	"time"

	"curlewspool/internal/dependency"
	"curlewspool/internal/dispatch"
	"curlewspool/internal/env"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
	"curlewspool/internal/shard"
)

// Controller is the part of the controller that the service depends on.
type Controller interface {
	Store() *kvstore.Store
	Settings() *settings.Settings
	// WallSeconds returns the wall-clock time in seconds since the Unix epoch.
	WallSeconds() float64
	// MachineTypes returns the machine types of the cloud's catalog, by name. The map is empty until
	// the catalog is known.
	MachineTypes() map[string]*protocol.MachineType
	// Job returns the record of a live job, or nil if the job is not known.
	Job(id string) *shard.JobRecord
	// JobProgress returns the task counts of a live job.
	JobProgress(id string) TaskCounts
	// PlanShards asks the leader to choose the shards of a job's chunks.
	PlanShards(job *protocol.Job, done func(placement dispatch.Placement))
	// AnnounceChange notifies the other controllers that a job's record changed.
	AnnounceChange(id string)
	// AnnounceCancelled notifies the other controllers that a job's cancellation is stored. cause
	// is the dependency whose cancellation also cancelled the job, or empty.
	AnnounceCancelled(id, cause string)
	// IsReservedJobID reports whether a job ID is reserved, so that users may not use it.
	IsReservedJobID(id string) bool
	// RemoteTasks returns the tasks of a job that are offloaded to partner clusters.
	RemoteTasks(id string) []protocol.RemoteTasks
	// Dependencies returns the dependency graph of waiting jobs.
	Dependencies() *dependency.Graph
	// SupportsDependencies reports whether every live controller supports jobs with dependencies.
	SupportsDependencies() bool
}

// TaskCounts holds the progress of a live job.
type TaskCounts struct {
	Done, Running int
	Started       bool // at least one task has been started
}

// Service handles the requests of users. It may be used only on the controller's event loop.
type Service struct {
	controller Controller
	env        env.Environment
	finished   *shard.FinalCache
	// cancellations lists the latest cancellations that this controller learned of, oldest first.
	// It contains all cancellations that the controller learned of at or after
	// cancellationsCompleteSince.
	cancellations              []cancellation
	cancellationsCompleteSince time.Duration

	pendingLookups  []*lookup
	isCheckingBatch bool // a batch of lookups is being checked

	latencies SubmissionLatencies
}

// finishedJobsPerMB is the number of finished jobs that are cached per MB of the machine's memory. The
// cache takes about half a percent of that memory. The store has the outcomes of all finished jobs.
const finishedJobsPerMB = 20

// New returns a service with empty caches.
func New(controller Controller, environment env.Environment) *Service {
	capacity := int(finishedJobsPerMB * controller.Settings().Deployment.Limits.RAM)
	return &Service{
		controller:                 controller,
		env:                        environment,
		finished:                   shard.NewFinalCache(capacity),
		cancellationsCompleteSince: environment.Now(),
	}
}

// Latencies returns the latencies of the submissions accepted so far.
func (s *Service) Latencies() *SubmissionLatencies { return &s.latencies }

// String returns a line with the numbers of cached finished jobs and of pending lookups.
func (s *Service) String() string {
	return fmt.Sprintf("%d ended jobs in memory, %d look-ups wait", s.finished.Len(), len(s.pendingLookups))
}

// RecordFinished caches the outcome of a job and passes it to the dependency graph. The outcome
// must already be in the store.
func (s *Service) RecordFinished(job string, outcome shard.FinalRecord) {
	if _, known := s.finished.Get(job); !known && outcome.Status == protocol.JobCancelled {
		s.recordCancellation(job)
	}
	s.finished.Add(job, outcome)
	s.controller.Dependencies().RecordOutcome(job, dependencyOutcome(outcome.Status))
}

// cancellation is a cancelled job and the time at which this controller learned of the cancellation.
// Before that time, this controller cannot have reported the job as cancelled.
type cancellation struct {
	job       string
	learnedAt time.Duration
}

// maxCancellations bounds the list of cancellations. When the list is full, its older half is
// dropped.
const maxCancellations = 2048

// recordCancellation records that this controller learned of a cancellation now.
func (s *Service) recordCancellation(job string) {
	if len(s.cancellations) >= maxCancellations {
		const dropped = maxCancellations / 2
		s.cancellationsCompleteSince = s.cancellations[dropped-1].learnedAt + 1
		s.cancellations = append(s.cancellations[:0], s.cancellations[dropped:]...)
	}
	s.cancellations = append(s.cancellations, cancellation{job, s.env.Now()})
}

// CancelledSince returns the jobs whose cancellation this controller learned of at the given time
// or later. The controller cannot have reported these jobs as cancelled before that time. ok is false
// if some of the cancellations since the given time may be missing.
func (s *Service) CancelledSince(since time.Duration) (jobs []string, ok bool) {
	if since < s.cancellationsCompleteSince {
		return nil, false
	}
	for _, c := range s.cancellations {
		if c.learnedAt >= since {
			jobs = append(jobs, c.job)
		}
	}
	return jobs, true
}

// isLive reports whether the job is live according to the cache. A job whose record cannot be decoded
// also counts as live, and can be cancelled. Otherwise its users would never get a response.
func (s *Service) isLive(job string) bool {
	_, cached := s.controller.Store().Get(shard.JobKey(job))
	return cached || s.controller.Job(job) != nil
}

// taskCount returns the number of tasks of a live job, or 0 if the job's record is not known.
func (s *Service) taskCount(job string) int {
	if record := s.controller.Job(job); record != nil {
		return record.Job.Tasks
	}
	return 0
}
