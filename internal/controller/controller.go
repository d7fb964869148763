// Package node is the one owner of all state in a controller. It takes
// commands from a queue in batches (see loop.go) and passes them to the
// slices, which never call each other behind its back.
package controller

import (
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"curlewspool/internal/autoscaler"
	"curlewspool/internal/dispatch"
	"curlewspool/internal/election"
	"curlewspool/internal/env"
	"curlewspool/internal/federation"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
	"curlewspool/internal/shard"
	"curlewspool/internal/userapi"
)

// Controller is a controller.
type Controller struct {
	env             env.Environment
	settings        *settings.Settings
	controllerNames []string // all controllers; part k is by custom names[k]'s

	store    *kvstore.Store
	registry *election.Registry
	userAPI  *userapi.Service

	machineTypes        map[string]*protocol.MachineType
	jobs                map[string]*shard.JobRecord
	progress            map[string]map[int]*shard.Progress
	machines            map[string]*shard.MachineRecord
	shards              map[int]*shard.Shard
	largeShapes         map[string]shard.LargeJob
	deletingProgress    map[string]bool     // orphaned progress being deleted
	orphanedProgress    map[string]bool     // jobs that are over and have progress
	knownCancelled      map[string]bool     // jobs that another controller says are cancelled, which the cache still has
	machinesByRosterKey map[string][]string // machines under each key
	leftRosterKey       []string            // machines that left a key since the cache passed its last revision
	enrolment           pendingEnrolments
	classDeadlines      map[string][]float64 // by class: deadlines that the objectives set
	arrivals            *autoscaler.ArrivalRate

	peers      map[string]*peer
	readySince time.Duration // since when this controller has been ready

	// leader
	ranker                 *dispatch.Ranker
	autoscaler             *autoscaler.Autoscaler
	shardSlots             []dispatch.RankSlots
	oversizedGangs         []*peermsg.UnmetDemand // gangs that are larger than their part
	ownStatus              *peermsg.Status
	lastReleaseAt          time.Duration
	isLivenessWritePending bool
	livenessWrittenAt      time.Duration
	workerCallsInFlight    int // direct orders under way

	meter                         *meteredEnvironment
	spent                         shard.CostByCause // since this controller began, of what it owned
	spentUpdatedAt, spentLoggedAt time.Duration
	placementRequests             map[uint64]func(*peermsg.PlacementResponse)
	lastPlacementRequestID        uint64
	nextClaimAt                   time.Duration

	teamDemands   map[string][2]float64
	teamDemandsAt time.Duration

	federation *federation.Broker // nil: no partners

	reachability reachability
	attestation  attestation
	dependencies dependencyState
}

// New makes a controller; Start sets it going.
func New(environment env.Environment, cfg *settings.Settings) *Controller {
	deployment := &cfg.Deployment
	metered := newMeteredEnvironment(environment, cfg)
	environment = metered
	c := &Controller{env: environment, settings: cfg, meter: metered, controllerNames: cfg.Names(), machineTypes: map[string]*protocol.MachineType{}, jobs: map[string]*shard.JobRecord{},
		progress: map[string]map[int]*shard.Progress{}, machines: map[string]*shard.MachineRecord{}, shards: map[int]*shard.Shard{},
		spent: shard.CostByCause{}, deletingProgress: map[string]bool{}, orphanedProgress: map[string]bool{}, knownCancelled: map[string]bool{}, machinesByRosterKey: map[string][]string{}, enrolment: newPendingEnrolments(), classDeadlines: map[string][]float64{}, largeShapes: map[string]shard.LargeJob{}, peers: map[string]*peer{},
		placementRequests: map[uint64]func(*peermsg.PlacementResponse){}, ranker: &dispatch.Ranker{MaxRank: cfg.Rank.Max, Window: cfg.Rank.Window}}
	for _, m := range cfg.Members {
		c.peers[m.Name] = &peer{lastStatusAt: -time.Hour, lastReadyAt: -time.Hour, livenessSeenAt: -time.Hour}
	}
	c.arrivals = autoscaler.NewArrivalRate(4 * c.workerLease())
	c.store = kvstore.New(environment, cfg.Services.State, cfg.Name, kvstore.Limits{RequestsPerSecond: deployment.State.RPS, WritesPerSecond: deployment.State.WriteRPS,
		MutationsPerTransaction: deployment.State.TxnOps, Members: len(c.controllerNames)}, c.onKeyChange)
	metered.incarnation = c.store.Incarnation()
	c.lastPlacementRequestID = metered.incarnation // an answer to the process before is none to this one's questions
	c.registry = election.New(cfg.Name, c.store)
	c.registry.OnAcquired, c.registry.OnLost = c.onKeyAcquired, c.onKeyLost
	c.registry.PeersMayExtend = cfg.Grants.Vouch
	// Twice, as the key may be taken a while after this is asked.
	c.registry.PreviousOwnerDeadline = func() float64 { return c.WallSeconds() + 2*c.storeLeaseTTL().Seconds() }
	c.store.OnReset = c.onStoreReset
	c.resetDependencies()
	c.userAPI = userapi.New(c, environment)
	c.resetShardQueues()
	return c
}

func (c *Controller) workerLease() time.Duration {
	return env.Seconds(c.settings.Deployment.Workers.Lease)
}

func (c *Controller) storeLeaseTTL() time.Duration { return env.Seconds(c.settings.GrantLife()) }

func (c *Controller) leaseRenewInterval() time.Duration { return env.Seconds(c.settings.RenewEvery()) }

func (c *Controller) statusInterval() time.Duration {
	return max(c.workerLease()/40, 250*time.Millisecond)
}

// Start sets everything going.
func (c *Controller) Start() {
	c.store.Start()
	g := &c.store.Lease
	g.OnAcquired = c.reclaimOwnKeys
	g.OnLost = c.registry.DropAllHeld
	g.KeepAlive(c.storeLeaseTTL(), c.leaseRenewInterval(), settings.Drift)
	c.fetchCatalog()
	c.statusRound()
	c.tick()
}

func (c *Controller) fetchCatalog() {
	out := &protocol.Catalog{}
	c.env.Call(c.settings.Services.Cloud, "GET", "/catalog", nil, out, 4*time.Second, func(status int) {
		again := 60 * time.Second
		if status == 200 && len(out.MachineTypes) > 0 {
			types := map[string]*protocol.MachineType{}
			for i := range out.MachineTypes {
				types[out.MachineTypes[i].Name] = &out.MachineTypes[i]
			}
			c.machineTypes = types
		} else if len(c.machineTypes) == 0 {
			again = time.Second
		}
		c.env.After(again+time.Duration(c.env.Rand().Int64N(int64(again)/2)), c.fetchCatalog)
	})
}

func (c *Controller) onKeyChange(key string, value []byte) {
	switch {
	case key == "":
		c.dropDepartedMachines()
		c.eachShard(func(p *shard.Shard) { p.CacheAdvanced() })
		c.processDependencies()
	case strings.HasPrefix(key, "a/o/"):
		c.registry.ApplyChange(key, value)
	case strings.HasPrefix(key, "a/h/"):
		if p := c.peers[key[4:]]; p != nil && value != nil && c.store.IsLoaded() {
			p.livenessSeenAt = c.env.Now()
		}
	case strings.HasPrefix(key, "a/j/"):
		id := key[4:]
		if value == nil {
			if c.dependencies.graph.IsNeeded(id) && c.ownsShardOf(id) {
				c.AnnounceChange(id) // others wait for its end
			}
			delete(c.jobs, id)
			delete(c.knownCancelled, id)
			upstream := c.dependencies.graph.Upstream(id)
			c.dependencies.graph.Remove(id)
			c.refreshInherited(upstream)
			if c.federation != nil {
				c.federation.JobChanged(id, nil)
			}
			if c.progress[id] != nil {
				c.orphanedProgress[id] = true
			}
			c.eachShard(func(p *shard.Shard) { p.UpdateJob(id, nil, 0) })
			return
		}
		record := &shard.JobRecord{}
		if err := protocol.Decode(value, record); err != nil {
			slog.Error("node: bad job record", "key", key, "err", err)
			return
		}
		previous := c.jobs[id]
		c.jobs[id] = record
		c.dependencies.graph.Update(id, record.Job.Dependencies, record.AwaitsDependencies(), termsOf(record))
		c.refreshInherited(c.dependencies.graph.Upstream(id))
		if record.AwaitsDependencies() {
			return // it is nothing to any part, nor to what is rented or kept, before its release
		}
		if (previous == nil || previous.AwaitsDependencies()) && record.Loan == nil {
			c.arrivals.Record(&record.Job, env.Seconds(record.AcceptedAt), env.Seconds(c.WallSeconds()))
		}
		c.noteLargeJob(&record.Job)
		if c.federation != nil {
			c.federation.JobChanged(id, record)
		}
		e, _ := c.store.Get(key)
		if !c.knownCancelled[id] { // else a late answer to our own write from before its end
			c.eachShard(func(p *shard.Shard) { p.UpdateJob(id, record, e.Revision); c.deliverProgress(p, id) })
		}
	case strings.HasPrefix(key, "a/p/"):
		i := strings.LastIndexByte(key, '/')
		shardID, err := strconv.Atoi(key[i+1:])
		if err != nil || i < 4 {
			return
		}
		id := key[4:i]
		if value == nil {
			delete(c.progress[id], shardID)
			if len(c.progress[id]) == 0 {
				delete(c.progress, id)
				delete(c.orphanedProgress, id)
			}
			return
		}
		p := &shard.Progress{}
		if err := protocol.Decode(value, p); err != nil {
			slog.Error("node: bad progress record", "key", key, "err", err)
			return
		}
		if c.progress[id] == nil {
			c.progress[id] = map[int]*shard.Progress{}
		}
		c.progress[id][shardID] = p
		if c.store.IsLoaded() && c.jobs[id] == nil {
			c.orphanedProgress[id] = true
		}
		c.eachShard(func(o *shard.Shard) { o.UpdateProgress(id, shardID, p) })
	case strings.HasPrefix(key, rosterKeyPrefix):
		c.applyRoster(key, value)
	}
}

// onStoreReset: the cache is void. Parts are given up rather than told that their
// jobs and machines are gone, which only a deletion says.
func (c *Controller) onStoreReset() {
	c.registry.DropAllHeld()
	c.registry.ResetOwners()
	c.jobs, c.progress, c.machines = map[string]*shard.JobRecord{}, map[string]map[int]*shard.Progress{}, map[string]*shard.MachineRecord{}
	c.orphanedProgress, c.machinesByRosterKey, c.leftRosterKey = map[string]bool{}, map[string][]string{}, nil
	c.knownCancelled = map[string]bool{} // what is read from now on is newer than their ends
	c.resetDependencies()
	if c.federation != nil {
		c.federation.Reset()
	}
}

// ownsShardOf tells whether some of a job is in a part that this controller owns.
func (c *Controller) ownsShardOf(id string) (owns bool) {
	c.eachShard(func(p *shard.Shard) { owns = owns || p.Jobs[id] != nil })
	return owns
}

func (c *Controller) deliverProgress(p *shard.Shard, id string) {
	for k := range c.controllerNames {
		if progress := c.progress[id][k]; progress != nil {
			p.UpdateProgress(id, k, progress)
		}
	}
}

func (c *Controller) eachShard(f func(p *shard.Shard)) {
	for k := range c.controllerNames {
		if p := c.shards[k]; p != nil {
			f(p)
		}
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func (c *Controller) tick() {
	now := c.env.Now()
	if c.isReady() {
		if c.readySince == 0 {
			c.readySince = now
		}
	} else {
		c.readySince = 0
	}
	if !c.store.Lease.IsValid() && (len(c.shards) > 0 || c.autoscaler != nil) {
		c.registry.DropAllHeld()
	}
	// News and renewals are of one age, or the older of the two shortens the grant.
	// (A watch that was opened late in an outage waits for a change.)
	if c.store.IsLoaded() && c.store.Staleness() > min(c.maxLaunchStaleness()/2, c.leaseRenewInterval()) {
		c.store.Refresh()
	}
	c.requestAttestation()
	c.maintainOwnership()
	c.processDependencies()
	c.eachShard(func(p *shard.Shard) {
		if c.ownedShard(p.ID) != nil {
			p.Tick()
			c.deleteOrphanedProgress(p)
		}
	})
	c.env.After(c.statusInterval()/4, c.tick)
}

// deleteOrphanedProgress deletes progress of jobs that are over.
func (c *Controller) deleteOrphanedProgress(p *shard.Shard) {
	if len(c.orphanedProgress) == 0 {
		return
	}
	for _, id := range sortedKeys(c.orphanedProgress) {
		if c.jobs[id] != nil || c.progress[id] == nil {
			delete(c.orphanedProgress, id)
			continue
		}
		if c.progress[id][p.ID] == nil || len(c.deletingProgress) >= 8 {
			continue
		}
		key := shard.ProgressKey(id, p.ID)
		if c.deletingProgress[key] {
			continue
		}
		c.deletingProgress[key] = true
		ownership := c.registry.OwnershipCondition(election.ShardKey(p.ID))
		c.store.Write(kvstore.PriorityLow, &kvstore.WriteRequest{
			Build: func(string) ([]protocol.Condition, []protocol.Mutation) {
				if _, ok := c.store.Get(key); !ok {
					return nil, nil
				}
				return []protocol.Condition{ownership, c.store.UnchangedCondition(key)}, []protocol.Mutation{{Delete: key}}
			},
			Done: func(bool, uint64) { delete(c.deletingProgress, key) },
		})
	}
}

// statusRound tells the others how things are, and does the leader's round.
func (c *Controller) statusRound() {
	now := c.env.Now()
	c.publishLiveness(now)
	c.releaseUnreachableShards() // first: who is deaf says so at once, and is not given the part back
	status := &peermsg.Status{Version: peermsg.Version, Ready: c.isReady(), ReachabilityReports: c.reachability.countByShard(c), Unreachable: c.reachability.isUnreachable}
	if answeredAt := c.store.Health().LastAnsweredAt; answeredAt > 0 {
		status.StoreAgeMs = max(1, uint32((now - answeredAt).Milliseconds()))
	}
	c.eachShard(func(p *shard.Shard) {
		if c.ownedShard(p.ID) == nil {
			return
		}
		ps, gaps := p.Status(c.settings.Rank.Max)
		status.Shards = append(status.Shards, ps)
		status.UnmetDemands = append(status.UnmetDemands, gaps...)
	})
	c.accountCost(now)
	c.learnShardQueues(status)
	c.ownStatus = status
	if c.isLeader() {
		c.assignShards()
		c.scaleOut()
		c.transferMachines()
	}
	if c.isLeader() {
		status.SpotSuffices = c.autoscaler.HasOnDemandSurplus()
		status.BootingCores, status.BootRemainingS = c.autoscaler.BootingCapacity()
	}
	c.moveChunks()
	if c.federation != nil {
		c.federation.Tick()
	}
	for _, name := range sortedKeys(c.peers) { // last: moves take from the free room
		c.env.Send(name, &peermsg.Envelope{Body: &peermsg.Envelope_Status{Status: status}})
	}
	c.env.After(c.statusInterval(), c.statusRound)
}
