// Package federation lends queued work to partner clusters and borrows theirs:
// offers, the hand-over, renewals, results, and what may be taken back when
// (docs/federation.md). The rules of time are those of package loan.
package federation

import (
	"curlewspool/internal/protocol"
	"curlewspool/internal/remotelease"
)

// Paths of the partners' listener, all POST, with CBOR bodies of at most
// wire.MaxBody. The caller is known by its certificate.
const (
	PathOffers   = "/v1/offers"   // home asks the host's leader for room
	PathLeases   = "/v1/loans"    // home hands one loan over
	PathStates   = "/v1/states"   // home asks how its loans are
	PathRenewals = "/v1/renewals" // a controller of the host asks home's leader
)

// Limits of one request.
const (
	maxResourceRequests = 16
	maxLeases           = 400
)

// maxTasks bounds what a host keeps in memory for one home: a byte or so each,
// in every controller that runs them.
const maxTasks = 1 << 16

// ResourceRequest is work that waits at home.
type ResourceRequest struct {
	Job   protocol.Job `cbor:"j"`
	Tasks int          `cbor:"n"`
}

// OffersRequest is the body of PathOffers.
type OffersRequest struct {
	Requests   []ResourceRequest `cbor:"w"`
	KeptOffers []uint64          `cbor:"k"` // earlier offers that may still be used; the others are void
}

// Offer answers one want: room that is held for a moment.
type Offer struct {
	ID     uint64 `cbor:"id"` // 0: none
	Tasks  int    `cbor:"n"`  // that would start now
	Reason string `cbor:"y,omitempty"`
}

// OffersResponse has one offer for each want.
type OffersResponse struct {
	Offers []Offer `cbor:"o"`
}

// LeaseRequest hands a loan over. It may be repeated.
type LeaseRequest struct {
	ID     string       `cbor:"id"` // of the borrowed job, see loan.Key.ID
	Job    protocol.Job `cbor:"j"`
	Offer  uint64       `cbor:"of"`
	Done   [][2]int     `cbor:"d,omitempty"`
	TermMs int64        `cbor:"tm"`
}

// StatesRequest is the body of PathStates. Loans in End are over at home; those in
// Recall are wanted back if nothing of them has started.
type StatesRequest struct {
	Leases []string `cbor:"l"`
	End    []string `cbor:"e,omitempty"`
	Recall []string `cbor:"r,omitempty"`
}

// States of a loan at the host.
const (
	StateUnknown     = "unknown"
	StateUnavailable = "later" // cannot be told now
	StateQueued      = "queued"
	StateRunning     = "running"
	StateFinished    = "over" // durable: nothing of it is left, Done is final
)

// LeaseState tells how a loan is. Tasks are numbered from 0 within the loan.
type LeaseState struct {
	State   string   `cbor:"s"`
	Running int      `cbor:"r"`
	Done    [][2]int `cbor:"d,omitempty"`
}

// StatesResponse has one state for each loan asked for.
type StatesResponse struct {
	States []LeaseState `cbor:"s"`
}

// RenewalsRequest asks whether loans may go on.
type RenewalsRequest struct {
	LeaseMs int64    `cbor:"lm"` // of the host's machines
	Leases  []string `cbor:"l"`
}

// RenewalsResponse splits them: Hold may go on for the term of the loan from
// when the question was sent, End are to be stopped. What is in neither is not
// known now.
type RenewalsResponse struct {
	Hold []string `cbor:"h"`
	End  []string `cbor:"e"`
}

// Reply answers one request; retry is the Retry-After in seconds, 0: none.
type Reply func(status int, body any, retry int)

// borrowedJob is a loan's job as the host keeps it: nobody's rank, no team of
// the host, the whole loan as tasks from 0.
func borrowedJob(id, home string, j *protocol.Job) protocol.Job {
	b := *j
	b.ID, b.Team, b.Class = id, "@"+home, "@"+home+"/"+j.Class
	b.Priority, b.Zone = -1, ""
	return b
}

// invalidReason tells what is wrong with a job that a partner wants to lend.
func invalidReason(j *protocol.Job) string {
	ok := func(v float64) bool { return v >= 0 && v < 1e9 }
	switch {
	case j.Tasks < 1 || j.Tasks > maxTasks:
		return "number of tasks"
	case !ok(j.Cores) || !ok(j.GPUs) || !ok(j.MemoryGB) || !ok(j.ImageGB) || !ok(j.Estimate) || !ok(j.CheckpointInterval) || !ok(j.CheckpointDuration) || !ok(j.Deadline):
		return "an amount"
	case j.Cores <= 0 && j.GPUs <= 0: // the share is counted in these
		return "neither cores nor GPUs"
	case j.Shape != protocol.ShapeArray && j.Shape != protocol.ShapeGang && j.Shape != protocol.ShapeService:
		return "shape"
	case j.Zone != "":
		return "zone: it names one of its home"
	case len(j.Image) > 1024 || len(j.Class) > 256 || len(j.MachineTypes) > 64:
		return "field too long"
	}
	return ""
}

// parseKeyOf reads a loan's name, if it is of that home.
func parseKeyOf(id, home string) (remotelease.Key, bool) {
	h, k, ok := remotelease.ParseJobID(id)
	return k, ok && h == home
}
