package federation

import (
	"log/slog"
	"net/http"
	"slices"
	"time"

	"curlewspool/internal/httpreply"
	"curlewspool/internal/protocol"
)

// In this file, the host's leader offers capacity to partners.

// maxHeldOffers is the maximum number of offers that are held at a time, for all homes together.
const maxHeldOffers = 4 * maxResourceRequests

// Reasons for making no offer, sent to the partner.
const (
	reasonNotOfferable = "cannot be offered"
	reasonNoCapacity   = "no room"
)

// heldOffer is an offer to a home. The offered capacity is held, so that it is not offered to another
// home at the same time.
type heldOffer struct {
	home    string
	tasks   int
	cores   float64
	until   time.Duration
	shard   int
	isTaken bool // a remote lease has been accepted under the offer
}

// usage holds the cores, remote leases and tasks that the hosted jobs of one home cluster take up
// in this cluster. Queued jobs count as well.
type usage struct {
	cores         float64
	leases, tasks int
}

// hostedUsage returns the usage of a home's live jobs.
func (b *Broker) hostedUsage(home string) usage {
	var used usage
	for id := range b.hostedJobs {
		record := b.controller.Job(id)
		if record == nil || record.RemoteLease == nil || record.RemoteLease.HomeCluster != home {
			continue
		}
		used.cores += float64(record.Job.Tasks) * max(record.Job.Cores, record.Job.GPUs)
		used.leases++
		used.tasks += record.Job.Tasks
	}
	return used
}

// offerRound holds what can still be offered to a home while one OffersRequest is answered.
type offerRound struct {
	home           string
	until          time.Duration   // when new offers expire
	heldCores      map[int]float64 // cores held by offers, by shard
	freeCores      float64         // cores of the home's share that are neither used by hosted jobs nor held by offers
	used           usage
	countStartable func(job *protocol.Job) []int // see Controller.StartableCounter
}

// AnswerOffers answers a home's request for capacity. Offered capacity is held for a short time.
func (b *Broker) AnswerOffers(from string, request *OffersRequest, reply Reply) {
	if len(request.Requests) > maxResourceRequests || len(request.KeptOffers) > maxLeases {
		httpreply.Reject(reply, http.StatusBadRequest, "too many wants")
		return
	}
	now := b.controller.Now()
	heldCores, heldForHome := b.dropUnusedOffers(from, request.KeptOffers, now)
	used := b.hostedUsage(from)
	round := &offerRound{
		home:           from,
		until:          now + 4*b.reportInterval(),
		heldCores:      heldCores,
		freeCores:      unusedShareCores(b.settings.Partner(from), b.controller.TotalCores(), used.cores+heldForHome),
		used:           used,
		countStartable: b.controller.StartableCounter(),
	}
	response := &OffersResponse{}
	for i := range request.Requests {
		wanted := &request.Requests[i]
		offer := b.makeOffer(wanted, round)
		slog.Debug("federation: offer", "partner", from, "job", wanted.Job.ID, "tasks", wanted.Tasks,
			"offered", offer.Tasks, "share_cores", round.freeCores, "reason", offer.Reason)
		response.Offers = append(response.Offers, offer)
	}
	reply(http.StatusOK, response, 0)
}

// dropUnusedOffers drops all expired offers. It also drops the offers to the home that are not in kept
// and under which no remote lease has been accepted. For the remaining offers, heldCores has the held
// cores by shard. heldForHome is the number of cores held for the home's offers under which no lease
// has been accepted yet.
func (b *Broker) dropUnusedOffers(home string, kept []uint64, now time.Duration) (heldCores map[int]float64, heldForHome float64) {
	heldCores = map[int]float64{}
	for id, offer := range b.heldOffers {
		isOpen := offer.home == home && !offer.isTaken
		if now > offer.until || isOpen && !slices.Contains(kept, id) {
			delete(b.heldOffers, id)
			continue
		}
		heldCores[offer.shard] += offer.cores
		if isOpen {
			heldForHome += offer.cores
		}
	}
	return heldCores, heldForHome
}

// makeOffer answers one request of a round. If there is capacity, the answer is an offer, and the
// offered capacity is held. Otherwise the answer contains the reason why there is no offer.
func (b *Broker) makeOffer(wanted *ResourceRequest, round *offerRound) Offer {
	job := newHostedJob(wanted.Job.ID, round.home, &wanted.Job)
	job.Tasks = wanted.Tasks
	if invalidJobReason(&job) != "" || len(b.heldOffers) >= maxHeldOffers ||
		round.used.leases >= maxLeases || round.used.tasks+job.Tasks > maxTasks {
		return Offer{Reason: reasonNotOfferable}
	}
	shard, startable := round.bestShard(&job)
	tasks := offerableTasks(&job, job.Tasks, startable, round.freeCores)
	if tasks == 0 {
		b.Counters.Declined++
		return Offer{Reason: reasonNoCapacity}
	}
	cores := float64(job.Tasks) * max(job.Cores, job.GPUs)
	b.lastOfferNumber++
	id := b.fencingToken<<16 + b.lastOfferNumber
	b.heldOffers[id] = &heldOffer{home: round.home, tasks: job.Tasks, cores: cores, until: round.until, shard: shard}
	round.heldCores[shard] += cores
	round.used.leases++
	round.used.tasks += job.Tasks
	round.freeCores -= cores
	b.Counters.Offered++
	return Offer{ID: id, Tasks: tasks}
}

// bestShard returns the shard that could start the most tasks of a job now, and the number of these
// tasks. Cores that are held by offers do not count.
func (round *offerRound) bestShard(job *protocol.Job) (shard, startable int) {
	weight := max(job.Cores, job.GPUs)
	for candidate, tasks := range round.countStartable(job) {
		if weight > 0 {
			tasks -= int(round.heldCores[candidate]/weight + 0.999)
		}
		if tasks > startable {
			shard, startable = candidate, tasks
		}
	}
	return shard, startable
}
