package federation

import (
	"curlewspool/internal/protocol"
	"curlewspool/internal/remotelease"
)

// Paths of requests between partners. All are POST requests with CBOR bodies of at most
// protocol.MaxBodyBytes. The caller is identified by its certificate.
const (
	PathOffers   = "/v1/offers"   // home's leader asks the host's leader for capacity
	PathLeases   = "/v1/loans"    // home's leader asks the host's leader to accept a remote lease
	PathStates   = "/v1/states"   // home's leader asks the host's leader for the states of remote leases
	PathRenewals = "/v1/renewals" // a host controller asks home's leader to renew remote leases
)

// Maximum numbers of entries in one request. maxLeases is also the maximum number of remote leases
// that this cluster hosts for one home.
const (
	maxResourceRequests = 16
	maxLeases           = 400
)

// maxTasks is the maximum number of tasks that a host accepts from one home. The limit bounds the
// memory of the owner of a hosted job's shard, which needs about a byte per task.
const maxTasks = 1 << 16

// Bounds of the term that a host accepts, in milliseconds.
const (
	minTermMillis = 1000
	maxTermMillis = 3600_000
)

// ResourceRequest describes a chunk that waits at home. Tasks is the number of its tasks.
type ResourceRequest struct {
	Job   protocol.Job `cbor:"j"`
	Tasks int          `cbor:"n"`
}

// OffersRequest is the body of PathOffers.
type OffersRequest struct {
	Requests   []ResourceRequest `cbor:"w"`
	KeptOffers []uint64          `cbor:"k"` // earlier offers that home may still use; the host drops the others
}

// Offer is the host's answer to one ResourceRequest. The host holds the offered capacity for a short
// time.
type Offer struct {
	ID     uint64 `cbor:"id"` // 0: no offer, and Reason says why
	Tasks  int    `cbor:"n"`  // number of tasks that could start now within home's share of the cores
	Reason string `cbor:"y,omitempty"`
}

// OffersResponse contains one offer for each request, in their order.
type OffersResponse struct {
	Offers []Offer `cbor:"o"`
}

// LeaseRequest is the body of PathLeases. It asks the host to accept a remote lease, and may be
// repeated.
type LeaseRequest struct {
	ID         string       `cbor:"id"` // ID of the hosted job, see remotelease.Key.JobID
	Job        protocol.Job `cbor:"j"`
	Offer      uint64       `cbor:"of"`
	Done       [][2]int     `cbor:"d,omitempty"`
	TermMillis int64        `cbor:"tm"`
}

// StatesRequest is the body of PathStates. It asks for the states of the remote leases in Leases. The
// leases in End have ended at home, so the host stops their tasks. The host releases a lease in Recall
// as soon as none of its tasks is on a machine.
type StatesRequest struct {
	Leases []string `cbor:"l"`
	End    []string `cbor:"e,omitempty"`
	Recall []string `cbor:"r,omitempty"`
}

// LeaseStatus is the status of a remote lease at the host.
type LeaseStatus string

// Statuses of a remote lease at the host.
const (
	StatusUnknown     LeaseStatus = "unknown"
	StatusUnavailable LeaseStatus = "later" // the host cannot determine the status now
	StatusQueued      LeaseStatus = "queued"
	StatusRunning     LeaseStatus = "running"
	StatusFinished    LeaseStatus = "over" // the outcome is stored durably in the host's store; no task is left at the host, and Done is final
)

// LeaseState is the state of a remote lease at the host. Running is the number of running tasks, and
// Done has the ranges of finished tasks. Tasks are numbered from 0 within the lease.
type LeaseState struct {
	Status  LeaseStatus `cbor:"s"`
	Running int         `cbor:"r"`
	Done    [][2]int    `cbor:"d,omitempty"`
}

// StatesResponse contains one state for each remote lease in StatesRequest.Leases, in their order.
type StatesResponse struct {
	States []LeaseState `cbor:"s"`
}

// RenewalsRequest is the body of PathRenewals. It asks home's leader to renew the listed remote leases.
type RenewalsRequest struct {
	MachineLeaseMillis int64    `cbor:"lm"` // length of a machine lease in the host cluster
	Leases             []string `cbor:"l"`
}

// RenewalsResponse answers a RenewalsRequest. The remote leases in Hold are renewed for one term from
// when the request was sent. The tasks of the leases in End must be stopped. A lease in neither list
// is not renewed, and home has not ended it yet; the host may ask for it again.
type RenewalsResponse struct {
	Hold []string `cbor:"h"`
	End  []string `cbor:"e"`
}

// newHostedJob returns the job that the host stores for a remote lease. The name of the home cluster
// is part of the job's team and class, so that these match no team or class of the host. The job's
// priority is below that of every user's job, and its zone is cleared. The job has only the tasks of
// the lease, numbered from 0.
func newHostedJob(id, home string, job *protocol.Job) protocol.Job {
	hosted := *job
	hosted.ID = id
	hosted.Team = "@" + home
	hosted.Class = "@" + home + "/" + job.Class
	hosted.Priority = -1
	hosted.Zone = ""
	return hosted
}

// Limits on the fields of a job that a partner offloads to this cluster.
const (
	maxAmount      = 1e9
	maxImageLength = 1024
	maxClassLength = 256
	maxTypes       = 64
)

// invalidJobReason returns the reason why a job that a partner wants to offload is invalid. The reason
// is "" if the job is valid.
func invalidJobReason(job *protocol.Job) string {
	switch {
	case job.Tasks < 1 || job.Tasks > maxTasks:
		return "number of tasks"
	case !hasValidAmounts(job):
		return "an amount"
	case job.Cores <= 0 && job.GPUs <= 0: // the partner's share of the cores would not limit such a job
		return "neither cores nor GPUs"
	case job.Shape != protocol.ShapeArray && job.Shape != protocol.ShapeGang && job.Shape != protocol.ShapeService:
		return "shape"
	case job.Zone != "":
		return "zone: it names one of its home"
	case len(job.Image) > maxImageLength || len(job.Class) > maxClassLength || len(job.MachineTypes) > maxTypes:
		return "field too long"
	}
	return ""
}

// hasValidAmounts reports whether all amounts of a job are numbers in the supported range.
func hasValidAmounts(job *protocol.Job) bool {
	amounts := []float64{
		job.Cores, job.GPUs, job.MemoryGB, job.ImageGB,
		job.Estimate, job.CheckpointInterval, job.CheckpointDuration, job.Deadline,
	}
	for _, amount := range amounts {
		isValid := amount >= 0 && amount < maxAmount
		if !isValid { // NaN is not valid either
			return false
		}
	}
	return true
}

// parseLeaseID parses the ID of a hosted job, which identifies the job's remote lease. ok is false if
// id is not the ID of a hosted job of the given home cluster.
func parseLeaseID(id, home string) (key remotelease.Key, ok bool) {
	parsedHome, key, ok := remotelease.ParseJobID(id)
	return key, ok && parsedHome == home
}
