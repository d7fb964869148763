package simulator

import (
	"net/http"
	"time"

	"curlewspool/internal/protocol"
)

// Paths of the user API.
const (
	pathJobs     = "/v2/runs"
	pathJob      = "/v2/runs/"
	cancelSuffix = "/abort"
)

// Timeouts, intervals and retries of users' requests.
const (
	userTimeout          = 5 * time.Second
	pollTimeout          = 2 * time.Second
	pollInterval         = 2 * time.Second
	finishedPollInterval = 20 * time.Second // these polls check that a finished job keeps its status
	userRetryInterval    = time.Second
	maxSubmitRetries     = 30
)

// cancellation is the state of a user's request to cancel a job.
type cancellation struct {
	requested   bool
	confirmedAt time.Duration // 0 if it is not confirmed
}

func (c cancellation) isConfirmed() bool { return c.confirmedAt > 0 }

// requestAsUser makes one request as a user, to a random running controller.
func (c *Cluster) requestAsUser(method, path string, in, out any, timeout time.Duration, done func(status int)) {
	c.request(c.address(userHost), c.randomControllerAddress(), method, path, in, out, timeout, done)
}

// randomControllerAddress returns the API address of a random running controller, or of the first
// controller if none is running.
func (c *Cluster) randomControllerAddress() string {
	running := c.runningControllers()
	if len(running) == 0 {
		return c.apiAddress(c.controllerNames[0])
	}
	return c.apiAddress(running[c.random.IntN(len(running))])
}

// Submit submits a job at a time in seconds since the start of the run, retries failed requests,
// and polls the job's status once it is accepted.
func (c *Cluster) Submit(at float64, submission *protocol.Submission) {
	c.At(at, func() { c.submitOnce(submission, 0) })
}

// submitOnce makes one request to submit a job. retries is the number of earlier requests.
func (c *Cluster) submitOnce(submission *protocol.Submission, retries int) {
	id := *submission.ID
	c.histories.recordSubmission(id, c.now)
	c.recordJob(submission)
	c.requestAsUser(http.MethodPost, pathJobs, submission, nil, userTimeout, func(status int) {
		switch status {
		case http.StatusOK, http.StatusCreated:
			c.handleAcceptance(id)
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			c.Trace("%s refused with %d", id, status)
		default:
			c.retrySubmit(submission, retries)
		}
	})
}

// recordJob records a job that a user submits, if it is valid and new.
func (c *Cluster) recordJob(submission *protocol.Submission) {
	id := *submission.ID
	job, err := submission.Validate()
	if err != nil || c.jobs[id] != nil {
		return
	}
	c.jobs[id] = job
	c.submissions[id] = submission
	c.histories.job(id).maxConcurrent = maxConcurrentTasks(job, c.Settings.Team(job.Team))
}

// handleAcceptance records that a job was accepted and starts to poll its status. The job may
// have a status already, because the answer to a cancellation can arrive before the one to
// the submission.
func (c *Cluster) handleAcceptance(id string) {
	c.Trace("%s accepted", id)
	c.histories.recordAnswer(id, c.now)
	if c.reportedStatus[id] == "" {
		c.reportedStatus[id] = protocol.JobPending
		c.notifyStatus(id, protocol.JobPending)
	}
	c.pollStatus(id)
}

// retrySubmit submits a job again after userRetryInterval, at most maxSubmitRetries times.
func (c *Cluster) retrySubmit(submission *protocol.Submission, retries int) {
	if c.State.Unavailable {
		c.failedSubmissions[*submission.ID]++
	}
	if retries == maxSubmitRetries {
		return
	}
	c.after(userRetryInterval, func() { c.submitOnce(submission, retries+1) })
}

// pollStatus requests a job's status, now and at regular intervals.
func (c *Cluster) pollStatus(id string) {
	state, askedAt := &protocol.JobState{}, c.now
	c.requestAsUser(http.MethodGet, pathJob+id, nil, state, pollTimeout, func(status int) {
		switch {
		case status == http.StatusOK && c.finishReportedAt[id] > askedAt && state.Status != c.reportedStatus[id]:
			// Another answer reported the outcome after this request was made: this answer may be older.
		case status == http.StatusNotFound:
			c.reportViolation(RuleAcceptedJobKnown, "%s gets 404", id)
		case status == http.StatusOK:
			c.histories.recordAnswer(id, c.now)
			c.recordStatus(id, state.Status)
		}
		interval := pollInterval
		if isFinished(c.reportedStatus[id]) {
			interval = finishedPollInterval
		}
		c.after(interval, func() { c.pollStatus(id) })
	})
}

// isFinished reports whether a job's status is final.
func isFinished(status protocol.JobStatus) bool {
	return status == protocol.JobDone || status == protocol.JobCancelled
}

// recordStatus records a status that was reported to a user and checks the invariants that concern it.
func (c *Cluster) recordStatus(id string, status protocol.JobStatus) {
	before := c.reportedStatus[id]
	c.checkDependentsCancelled(id, status)
	c.checkOutcomeFinal(id, before, status)
	if status == before {
		return
	}
	switch status {
	case protocol.JobDone:
		c.checkAllTasksCompleted(id)
	case protocol.JobCancelled:
		c.checkCancellationRequested(id)
	}
	c.reportedStatus[id] = status
	if isFinished(status) {
		c.finishReportedAt[id] = c.now
	}
	if status != protocol.JobPending {
		c.Trace("%s is %s", id, status)
	}
	c.notifyStatus(id, status)
}

func (c *Cluster) notifyStatus(id string, status protocol.JobStatus) {
	if c.OnStatusReported != nil {
		c.OnStatusReported(id, status)
	}
}

// Cancel cancels a job at a time in seconds since the start of the run. It retries until the
// request succeeds.
func (c *Cluster) Cancel(at float64, id string) { c.At(at, func() { c.requestCancellation(id) }) }

func (c *Cluster) requestCancellation(id string) {
	c.recordCancellationRequest(id)
	state := &protocol.JobState{}
	c.requestAsUser(http.MethodPost, pathJob+id+cancelSuffix, nil, state, userTimeout, func(status int) {
		if status != http.StatusOK {
			c.after(userRetryInterval, func() { c.requestCancellation(id) })
			return
		}
		c.recordCancellationAnswer(id, state.Status)
	})
}

func (c *Cluster) recordCancellationRequest(id string) {
	requested := c.cancellations[id]
	requested.requested = true
	c.cancellations[id] = requested
}

// recordCancellationAnswer records the status in the answer to a cancellation.
func (c *Cluster) recordCancellationAnswer(id string, status protocol.JobStatus) {
	if status == protocol.JobCancelled && !c.cancellations[id].isConfirmed() {
		c.recordCancellationConfirmed(id)
	}
	c.recordStatus(id, status)
}

// ReportedStatus returns the status that was last reported to a job's user, or "" if the job's
// acceptance was not reported yet.
func (c *Cluster) ReportedStatus(id string) protocol.JobStatus { return c.reportedStatus[id] }
