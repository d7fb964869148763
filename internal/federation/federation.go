// Package federation offloads queued chunks to partner clusters and hosts jobs of partner clusters.
// It exchanges offers, remote leases, renewals and results, and decides when a chunk returns to its
// home cluster (docs/federation.md). The cluster to which a user submitted a job is the job's
// home, and a partner that runs a part of the job under a remote lease is the host. Package
// remotelease has the timing rules.
//
//   - federation.go: the Broker and its interfaces to the controller and to partners;
//     messages.go: the messages between partners.
//   - policy.go: which chunks are offloaded, and how much is offered; ranges.go: task ranges.
//   - home_leases.go, home_offers.go, home_renewals.go: what a cluster does as home.
//   - host_offers.go, host_leases.go, host_states.go, host_renewals.go: what it does as host.
//   - events.go, view.go: events, counters and the view for operators.
package federation

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/httpreply"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
	"curlewspool/internal/remotelease"
	"curlewspool/internal/settings"
	"curlewspool/internal/shard"
)

// Controller is the part of the controller that the broker uses.
type Controller interface {
	Now() time.Duration
	// WallSeconds returns the Unix time in seconds.
	WallSeconds() float64
	Rand() *rand.Rand
	Settings() *settings.Settings
	Store() *kvstore.Store
	// IsLeader reports whether this controller is the leader and its store lease is valid.
	IsLeader() bool
	// LeaderCondition returns a condition of transactions that holds only while this controller is
	// the leader.
	LeaderCondition() protocol.Condition
	// Job returns the record of a live job, or nil if the job is unknown.
	Job(id string) *shard.JobRecord
	// StoredProgress returns the stored progress of a job: the ranges of finished tasks, and the
	// number of running ones.
	StoredProgress(id string) (done [][2]int, running int)
	// WaitingChunks lists the chunks of this cluster's jobs that wait for capacity.
	WaitingChunks() []*WaitingChunk
	// StartableCounter returns a function that counts how many tasks of a hosted job could start
	// now in each shard. It does not count capacity for which a job of this cluster waits.
	StartableCounter() func(job *protocol.Job) []int
	// TotalCores returns the number of cores of all machines.
	TotalCores() float64
	// PlaceFederatedJob chooses a shard for a hosted job, or for a chunk that returns from a
	// partner.
	PlaceFederatedJob(job *protocol.Job, rank int) int
	// RequestOffload asks the owner of a chunk's shard to offload the chunk.
	RequestOffload(order *shard.OffloadCommand)
	// EachHostedJob calls visit for each hosted job in the shards that this controller owns.
	EachHostedJob(visit func(owner *shard.Shard, record *shard.JobRecord, validity *remotelease.Validity))
	// AnnounceChange notifies the other controllers of a change to a job's record.
	AnnounceChange(id string)
}

// PartnerClient sends requests to the controllers of partners.
type PartnerClient interface {
	// CallPartner sends a request and calls done with the HTTP status of the response, or with 0
	// if there was no response. The partner identifies this cluster by this cluster's certificate.
	CallPartner(partner, addr, path string, in, out any, timeout time.Duration, done func(status int))
}

// Reply sends the response to a request of a partner.
type Reply = httpreply.Func

// Broker runs the federation protocol for one controller. It must be used only from the
// controller's event loop.
type Broker struct {
	controller Controller
	client     PartnerClient
	settings   *settings.Federation

	offloadedJobs map[string]bool // live jobs with offloaded chunks
	hostedJobs    map[string]bool // live jobs that this cluster hosts

	partners     map[string]*partner
	partnerNames []string // keys of partners, in the order of the settings

	// State that only the leader uses, for chunks that this cluster offloads.
	fencingToken      uint64 // fencing token of this controller's leadership
	renewals          *remotelease.Renewals
	homeLeases        map[remotelease.Key]*homeLease
	retryAfter        map[jobChunk]time.Duration // by chunk: when a partner may be asked again to run it
	commandedOffloads map[uint64]time.Duration   // offers under which this leader has recently commanded an offload, by offer ID: until when the partner must keep the offer

	// State that only the leader uses, for jobs that this cluster hosts.
	heldOffers      map[uint64]*heldOffer
	lastOfferNumber uint64
	pendingReleases map[string]bool // jobs for which a write of requestRelease is in flight
	finished        *shard.FinalCache

	Counters Counters
	events   eventLog
}

// jobChunk identifies a chunk of a job.
type jobChunk struct {
	job   string
	index int
}

// partner is the state of the communication with a partner cluster.
type partner struct {
	settings     *settings.Partner
	addressIndex int

	isRequestingOffers   bool
	isRequestingStates   bool
	isRequestingRenewals bool
	nextOffersAt         time.Duration
	nextStatesAt         time.Duration
	nextRenewalAt        time.Duration

	emptyOffers int             // grows with each offer request that yields no offer and each refused lease, see maxEmptyOffers
	endedLeases map[string]bool // IDs of remote leases that have ended here and of which the partner must still be notified
}

// maxFinishedLeases is the maximum number of finished hosted jobs whose outcomes are cached in memory.
// The store has the outcomes of all finished hosted jobs.
const maxFinishedLeases = 4096

// New returns a broker for the partners in the settings.
func New(controller Controller, client PartnerClient, federation *settings.Federation) *Broker {
	b := &Broker{
		controller:        controller,
		client:            client,
		settings:          federation,
		offloadedJobs:     map[string]bool{},
		hostedJobs:        map[string]bool{},
		partners:          map[string]*partner{},
		renewals:          remotelease.NewRenewals(controller.Now()),
		homeLeases:        map[remotelease.Key]*homeLease{},
		retryAfter:        map[jobChunk]time.Duration{},
		commandedOffloads: map[uint64]time.Duration{},
		heldOffers:        map[uint64]*heldOffer{},
		pendingReleases:   map[string]bool{},
		finished:          shard.NewFinalCache(maxFinishedLeases),
	}
	for i := range federation.Partners {
		p := &federation.Partners[i]
		b.partnerNames = append(b.partnerNames, p.Name)
		b.partners[p.Name] = &partner{
			settings:     p,
			addressIndex: controller.Rand().IntN(len(p.Addresses)),
			endedLeases:  map[string]bool{},
		}
	}
	return b
}

// IsHostedJobID reports whether id has the form of a hosted job's ID. Users may not submit jobs
// with such IDs.
func IsHostedJobID(id string) bool { return strings.HasPrefix(id, remotelease.HostedJobIDPrefix) }

// JobChanged must be called when the record of a live job changes. When the job is no longer live, it
// must be called with a nil record.
func (b *Broker) JobChanged(id string, record *shard.JobRecord) {
	if record != nil && record.RemoteLease != nil {
		b.hostedJobs[id] = true
		return
	}
	if b.hostedJobs[id] {
		delete(b.hostedJobs, id)
		delete(b.pendingReleases, id)
	}
	if record != nil && len(record.OffloadedChunks) > 0 {
		b.offloadedJobs[id] = true
		return
	}
	delete(b.offloadedJobs, id)
}

// Reset must be called before the store's cache is loaded again. It forgets the jobs that were passed
// to JobChanged.
func (b *Broker) Reset() {
	b.offloadedJobs = map[string]bool{}
	b.hostedJobs = map[string]bool{}
}

// StartLeadership resets the leader's state for a leadership with the given fencing token. Earlier
// leaders confirmed their leadership before each renewal, so none of them has renewed a remote lease
// after this call. The new Renewals therefore use the time of this call as their bound.
func (b *Broker) StartLeadership(fencingToken uint64) {
	b.fencingToken = fencingToken
	b.renewals = remotelease.NewRenewals(b.controller.Now())
	b.homeLeases = map[remotelease.Key]*homeLease{}
	b.heldOffers = map[uint64]*heldOffer{}
	b.commandedOffloads = map[uint64]time.Duration{}
}

// Tick must be called periodically. It advances the remote leases and sends the requests to
// partners that are due.
func (b *Broker) Tick() {
	now := b.controller.Now()
	if b.controller.IsLeader() {
		b.advanceHomeLeases(now)
		for _, name := range b.partnerNames {
			b.requestStates(b.partners[name], now)
			b.requestOffers(b.partners[name], now)
		}
	}
	for _, name := range b.partnerNames {
		b.requestRenewals(b.partners[name], now)
	}
}

// reportInterval returns the time between two reports of an agent.
func (b *Broker) reportInterval() time.Duration {
	return env.Seconds(b.controller.Settings().Deployment.Workers.Report)
}

// jitter returns a random duration between three quarters and five quarters of pause.
func (b *Broker) jitter(pause time.Duration) time.Duration {
	return pause*3/4 + time.Duration(b.controller.Rand().Int64N(int64(pause/2)+1))
}

// callTimeout is the timeout of a request to a partner. If the report interval is shorter, the report
// interval is the timeout.
const callTimeout = 2 * time.Second

// callPartner sends a request to a controller of a partner. If that controller does not answer,
// is not ready, or is not the leader, the next request goes to the next of the partner's addresses.
func (b *Broker) callPartner(p *partner, path string, in, out any, done func(status int)) {
	address := p.settings.Addresses[p.addressIndex%len(p.settings.Addresses)]
	timeout := min(callTimeout, b.reportInterval())
	b.client.CallPartner(p.settings.Name, address, path, in, out, timeout, func(status int) {
		switch status {
		case statusNoAnswer, http.StatusMisdirectedRequest, http.StatusServiceUnavailable:
			p.addressIndex++
		}
		done(status)
	})
}

// statusNoAnswer is the status that PartnerClient reports for a request without a response.
const statusNoAnswer = 0

// updateJobRecord writes a change to the record of a live job, if this controller is the leader.
// edit gets a shallow copy of the record. edit may replace fields, but must not modify the slices
// and structs that the fields refer to. If edit returns false, nothing is written.
func (b *Broker) updateJobRecord(priority kvstore.Priority, id string, edit func(record *shard.JobRecord) bool, done func(ok bool)) {
	store, key := b.controller.Store(), shard.JobKey(id)
	store.Write(priority, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			current := b.controller.Job(id)
			if current == nil || !b.controller.IsLeader() {
				return nil, nil
			}
			record := *current
			record.Nonce = nonce
			if !edit(&record) {
				return nil, nil
			}
			conditions := []protocol.Condition{b.controller.LeaderCondition(), store.UnchangedCondition(key)}
			return conditions, []protocol.Mutation{{Put: key, Value: protocol.Encode(&record)}}
		},
		Done: func(ok bool, _ uint64) { done(ok) },
	})
}
