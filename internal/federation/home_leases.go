package federation

import (
	"cmp"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
	"curlewspool/internal/remotelease"
	"curlewspool/internal/settings"
	"curlewspool/internal/shard"
)

// In this file, home's leader manages the remote leases of offloaded chunks.

// Reasons for which a chunk returns to a shard of this cluster, shown to operators.
const (
	// ReasonTermExpired means that the remote lease has expired: it has not been renewed for so long
	// that none of its tasks can still run at the host.
	ReasonTermExpired = "its term ran out"

	reasonFinishedAtHost = "the partner gave it back"
	reasonNotAccepted    = "the partner did not take it in time"
	reasonRefused        = "the partner refused it"
	reasonNotAPartner    = "it is no partner any more"
)

// homeLease is what home's leader knows of the remote lease of an offloaded chunk.
type homeLease struct {
	key        remotelease.Key
	offloaded  shard.OffloadedChunk
	tasks      int
	knownSince time.Duration // when this leader first saw the lease

	isAccepted         bool
	refusalReason      string // why the host will not accept the lease; "": the lease was not refused
	isRequestingLease  bool
	nextLeaseRequestAt time.Duration

	isReturning    bool // the write that returns the chunk to a shard of this cluster is in flight, or done
	finishedAtHost bool // the host has durably recorded that the lease has ended

	status  LeaseStatus
	running int
	done    [][2]int // ranges of finished tasks, as reported by the host

	storedDoneTasks  int // number of the lease's finished tasks that this cluster's store has recorded
	isSavingProgress bool
	lastSavedAt      time.Duration
}

// leaseKey returns the key of an offloaded chunk's remote lease.
func leaseKey(job string, offloaded *shard.OffloadedChunk) remotelease.Key {
	return remotelease.Key{Job: job, FirstTask: offloaded.FirstTask, Number: offloaded.LeaseNumber}
}

// sortedLeaseKeys returns the keys of the leases, sorted by job, first task and number.
func sortedLeaseKeys(leases map[remotelease.Key]*homeLease) []remotelease.Key {
	return slices.SortedFunc(maps.Keys(leases), func(a, b remotelease.Key) int {
		return cmp.Or(
			cmp.Compare(a.Job, b.Job),
			cmp.Compare(a.FirstTask, b.FirstTask),
			cmp.Compare(a.Number, b.Number),
		)
	})
}

// rules returns the timing rules under which the chunk was offloaded. They can differ from the current
// settings.
func (l *homeLease) rules() remotelease.Rules {
	return remotelease.Rules{
		Term:         time.Duration(l.offloaded.TermMillis) * time.Millisecond,
		MachineLease: time.Duration(l.offloaded.MachineLeaseMillis) * time.Millisecond,
		ClockDrift:   settings.MaxClockDrift,
	}
}

// advanceHomeLeases performs the next step of each remote lease of this cluster's chunks.
func (b *Broker) advanceHomeLeases(now time.Duration) {
	live := map[remotelease.Key]bool{}
	for _, job := range slices.Sorted(maps.Keys(b.offloadedJobs)) {
		record := b.controller.Job(job)
		if record == nil {
			continue
		}
		for _, offloaded := range record.OffloadedChunks {
			lease := b.homeLeaseFor(record, offloaded, now)
			live[lease.key] = true
			b.advanceLease(lease, record, now)
		}
	}
	b.forgetEndedLeases(live)
	isPast := func(until time.Duration) bool { return now > until }
	maps.DeleteFunc(b.commandedOffloads, func(_ uint64, until time.Duration) bool { return isPast(until) })
	maps.DeleteFunc(b.retryAfter, func(_ jobChunk, until time.Duration) bool { return isPast(until) })
}

// homeLeaseFor returns the homeLease of an offloaded chunk. It creates the homeLease if this leader has
// none for the chunk.
func (b *Broker) homeLeaseFor(record *shard.JobRecord, offloaded shard.OffloadedChunk, now time.Duration) *homeLease {
	key := leaseKey(record.Job.ID, &offloaded)
	if lease := b.homeLeases[key]; lease != nil {
		return lease
	}
	from, to := record.TaskRange(offloaded.Chunk)
	lease := &homeLease{key: key, offloaded: offloaded, tasks: to - from, knownSince: now}
	lease.storedDoneTasks = shard.CountTasks(rangesWithin(record.DoneRanges, from, to-from))
	b.homeLeases[key] = lease
	if offloaded.LeaderToken == b.fencingToken {
		b.renewals.RecordIssued(key)
		b.Counters.Lent++
		b.recordEvent(key.JobID(b.settings.Cluster), StepOffloaded, offloaded.Reason)
	} else {
		// An earlier leader offloaded the chunk. Assume that the host accepted the lease;
		// applyState corrects this if the host does not know the lease.
		lease.isAccepted = true
	}
	return lease
}

// forgetEndedLeases drops the remote leases that are not in live. A lease may have ended without a
// return of its chunk, because the job was cancelled. Then the host is notified, so that it stops
// the tasks before the term ends.
func (b *Broker) forgetEndedLeases(live map[remotelease.Key]bool) {
	for key, lease := range b.homeLeases {
		if live[key] {
			continue
		}
		delete(b.homeLeases, key)
		p := b.partners[lease.offloaded.Partner]
		if p != nil && !lease.isReturning && len(p.endedLeases) < maxLeases {
			p.endedLeases[key.JobID(b.settings.Cluster)] = true
		}
	}
	b.renewals.Retain(func(key remotelease.Key) bool { return live[key] })
}

// advanceLease returns the chunk to a shard of this cluster in four cases:
//   - The host has finished the remote lease.
//   - The lease was refused, and it has expired or was never renewed.
//   - The lease has expired.
//   - The lease was not renewed within a term after this leader first saw it.
//
// In any other case, advanceLease asks the host to accept the lease, or saves the chunk's progress, if
// one of these steps is due.
func (b *Broker) advanceLease(lease *homeLease, record *shard.JobRecord, now time.Duration) {
	if lease.isReturning {
		return
	}
	rules := lease.rules()
	lastRenewal, renewed := b.renewals.LastRenewal(lease.key)
	expired := b.renewals.IsExpired(lease.key, rules, now)
	switch {
	case lease.finishedAtHost:
		b.returnChunk(lease, reasonFinishedAtHost)
	case lease.refusalReason != "" && expired:
		b.returnChunk(lease, lease.refusalReason)
	case renewed && expired:
		b.Counters.Lapsed++
		slog.Info("federation: remote lease expired", "job", lease.key.Job, "lease", lease.key.Number,
			"partner", lease.offloaded.Partner, "silent", now-lastRenewal)
		b.returnChunk(lease, ReasonTermExpired)
	case !renewed && now-lease.knownSince > rules.Term:
		b.returnChunk(lease, reasonNotAccepted)
	case lease.needsLeaseRequest(now):
		b.sendLeaseRequest(lease, record)
	case lease.isAccepted && shard.CountTasks(lease.done) > lease.storedDoneTasks && !lease.isSavingProgress &&
		now-lease.lastSavedAt > b.progressSaveInterval(len(b.homeLeases)):
		b.saveProgress(lease, now)
	}
}

// needsLeaseRequest reports whether the host must be asked now to accept the remote lease.
func (l *homeLease) needsLeaseRequest(now time.Duration) bool {
	return !l.isAccepted && l.refusalReason == "" && !l.isRequestingLease && now >= l.nextLeaseRequestAt
}

// progressSaveInterval returns the minimum time between two writes of a chunk's progress, given the
// number of remote leases. With this interval, the writes for all leases together take at most an
// eighth of a controller's share of the store's write rate. The interval is never shorter than a
// report interval.
func (b *Broker) progressSaveInterval(leases int) time.Duration {
	s := b.controller.Settings()
	writesPerSecond := s.Deployment.State.WriteRPS / 8 / float64(len(s.ControllerNames()))
	return max(b.reportInterval(), env.Seconds(float64(leases)/writesPerSecond))
}

// sendLeaseRequest asks the host to accept a remote lease. The request is idempotent.
func (b *Broker) sendLeaseRequest(lease *homeLease, record *shard.JobRecord) {
	p := b.partners[lease.offloaded.Partner]
	if p == nil {
		lease.refusalReason = reasonNotAPartner
		return
	}
	id := lease.key.JobID(b.settings.Cluster)
	job := record.Job
	job.ID, job.Tasks = id, lease.tasks
	if job.Deadline > 0 {
		job.Deadline = max(1, job.Deadline-(b.controller.WallSeconds()-record.AcceptedAt))
	}
	request := &LeaseRequest{
		ID:         id,
		Job:        job,
		Offer:      lease.offloaded.OfferID,
		Done:       rangesWithin(record.DoneRanges, lease.key.FirstTask, lease.tasks),
		TermMillis: lease.offloaded.TermMillis,
	}
	lease.isRequestingLease = true
	state := &LeaseState{}
	b.callPartner(p, PathLeases, request, state, func(status int) {
		lease.isRequestingLease = false
		lease.nextLeaseRequestAt = b.controller.Now() + b.jitter(b.reportInterval()/2)
		switch status {
		case http.StatusOK:
			lease.isAccepted = true
			b.Counters.Accepted++
			b.recordEvent(id, StepAccepted, "")
			b.applyState(lease, state)
		case http.StatusBadRequest, http.StatusForbidden, http.StatusConflict:
			lease.refusalReason = reasonRefused
			b.Counters.Refused++
			b.recordEvent(id, StepRefused, "")
			p.emptyOffers++
		}
	})
}

// applyState updates a homeLease with the state that the host has reported.
func (b *Broker) applyState(lease *homeLease, state *LeaseState) {
	if lease.status != state.Status && state.Status == StatusRunning {
		b.recordEvent(lease.key.JobID(b.settings.Cluster), StepRunning, "")
	}
	lease.status = state.Status
	switch state.Status {
	case StatusQueued, StatusRunning:
		lease.isAccepted = true
		lease.running = state.Running
		lease.done = shiftRanges(state.Done, 0, lease.tasks)
	case StatusFinished:
		lease.running = 0
		lease.finishedAtHost = true
		lease.done = shiftRanges(state.Done, 0, lease.tasks)
	case StatusUnknown:
		lease.isAccepted = false // ask the host again to accept the lease, in case the offer is still valid
	}
}

// requestStates asks a partner for the states of the remote leases that it hosts. The same request
// notifies the partner of the leases that have ended here.
func (b *Broker) requestStates(p *partner, now time.Duration) {
	if p.isRequestingStates || now < p.nextStatesAt || len(b.homeLeases)+len(p.endedLeases) == 0 {
		return
	}
	leases, request := b.statesRequest(p)
	if len(leases)+len(request.End) == 0 {
		return
	}
	p.isRequestingStates = true
	response := &StatesResponse{}
	b.callPartner(p, PathStates, request, response, func(status int) {
		p.isRequestingStates = false
		p.nextStatesAt = b.controller.Now() + b.jitter(b.reportInterval()/2)
		if status != http.StatusOK || len(response.States) != len(leases) {
			return
		}
		for _, id := range request.End {
			delete(p.endedLeases, id)
		}
		b.Counters.Recalled += len(request.Recall)
		for i, lease := range leases {
			if b.homeLeases[lease.key] == lease && !lease.isReturning {
				b.applyState(lease, &response.States[i])
			}
		}
	})
}

// statesRequest returns the request for a partner, and the remote leases whose states the request asks
// for. The request recalls each lease that is still queued at the partner and whose chunk could start
// here now.
func (b *Broker) statesRequest(p *partner) ([]*homeLease, *StatesRequest) {
	startable := b.controller.StartableCounter()
	var leases []*homeLease
	request := &StatesRequest{}
	for _, key := range sortedLeaseKeys(b.homeLeases) {
		lease := b.homeLeases[key]
		if len(leases) >= maxLeases/2 {
			break
		}
		if lease.offloaded.Partner != p.settings.Name || !lease.isAccepted || lease.isReturning || lease.finishedAtHost {
			continue
		}
		leases = append(leases, lease)
		id := key.JobID(b.settings.Cluster)
		request.Leases = append(request.Leases, id)
		if lease.status == StatusQueued && b.fitsAtHome(lease, startable) {
			request.Recall = append(request.Recall, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.endedLeases)) {
		if len(request.End) < maxLeases/2 {
			request.End = append(request.End, id)
		}
	}
	return leases, request
}

// fitsAtHome reports whether a shard of this cluster could start all tasks of the chunk now.
func (b *Broker) fitsAtHome(lease *homeLease, startable func(*protocol.Job) []int) bool {
	record := b.controller.Job(lease.key.Job)
	if record == nil {
		return false
	}
	chunk := record.Job
	chunk.Tasks = lease.tasks
	return slices.Max(startable(&chunk)) >= lease.tasks
}
