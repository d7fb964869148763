// Package controller connects the components of a controller and owns all of the controller's
// state. All commands run on the goroutine of the event loop, in the order in which they were
// queued (eventloop.go). The components call each other only through the Controller.
//
// The files by purpose:
//
//   - run.go, eventloop.go, environment.go, httpserver.go, partnertransport.go: the
//     process around the event loop
//   - keychanges.go, progresscleanup.go: changes of the cached keys
//   - membership.go, absence.go, liveness.go, peermessages.go, statusround.go,
//     reportedstatus.go: the other controllers
//   - heartbeats.go, machinecalls.go, reachability.go: agents' reports, and requests to
//     agents
//   - ownershipconfirmation.go: leases that peers confirm while the key-value store is
//     unavailable
//   - ownership.go, assignment.go: owned shards, and their assignment by the leader
//   - roster.go, rosterlevels.go, enrolment.go, machinediscovery.go, machineplacement.go:
//     the stored records of machines, and the choice of a new machine's shard
//   - jobplacement.go, jobnotices.go, dependencies.go: the choice of a job's shards,
//     notices of changed jobs, and jobs with dependencies
//   - machinetransfer.go, scaleout.go, capacity.go, headroom.go, catalog.go, cost.go:
//     machines for unmet demand, the types of machines and their cost
//   - federation.go, federationcapacity.go, chunkoffload.go: partner clusters
//   - host.go, userapi.go, debugstate.go, metering.go: the interfaces to components,
//     users and operators, and the counts of outgoing requests
package controller

import (
	"maps"
	"slices"
	"time"

	"curlewspool/internal/autoscaler"
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

// Controller is one controller of the cluster. All methods must be called on the goroutine of
// the event loop.
type Controller struct {
	env             env.Environment
	meter           *meteredEnvironment // the same object as env; it counts the requests sent
	settings        *settings.Settings
	controllerNames []string // names of all controllers; the one at index k is the default owner of shard k

	store      *kvstore.Store
	registry   *election.Registry
	userAPI    *userapi.Service
	federation *federation.Broker // nil without partner clusters

	// Records from the cached keys of the store, and what is derived from them.
	jobs            map[string]*shard.JobRecord
	progress        map[string]map[int]*shard.Progress // by job ID and shard ID
	machines        map[string]*shard.MachineRecord
	rosterIndex     rosterIndex
	knownCancelled  map[string]bool // jobs in the cache that another controller reported as cancelled
	dependencies    dependencyState
	progressCleanup progressCleanup
	enrolment       pendingEnrolments

	machineTypes   map[string]*protocol.MachineType // by name, from the cloud's catalog
	shards         map[int]*shard.Shard             // owned shards, by ID
	largeJobShapes largeJobShapes
	classDeadlines map[string][]float64 // by job class, from the service-level objectives
	teamDemands    teamDemandCache
	arrivals       *autoscaler.ArrivalRate

	members           *membership
	readySince        time.Duration // 0 while this controller is not ready
	nextClaimAt       time.Duration // earliest time of the next claim of the leader key
	liveness          livenessPublisher
	reachability      reachability
	confirmationRound confirmationRound

	machineCallsInFlight int
	placement            jobPlacement
	cost                 machineCost // cost since this controller started
	onActivity           func(shard.Activity)

	// Used by the leader only.
	autoscaler     *autoscaler.Autoscaler // nil unless this controller is the leader
	oversizedGangs []*peermsg.UnmetDemand // gangs that do not fit into their shard
	lastReleaseAt  time.Duration          // when an owner was last asked to release a shard
}

// New creates a controller. Start begins its work.
func New(environment env.Environment, cfg *settings.Settings) *Controller {
	metered := newMeteredEnvironment(environment, cfg)
	c := &Controller{
		env:             metered,
		meter:           metered,
		settings:        cfg,
		controllerNames: cfg.ControllerNames(),
		jobs:            map[string]*shard.JobRecord{},
		progress:        map[string]map[int]*shard.Progress{},
		machines:        map[string]*shard.MachineRecord{},
		rosterIndex:     newRosterIndex(),
		knownCancelled:  map[string]bool{},
		progressCleanup: newProgressCleanup(),
		enrolment:       newPendingEnrolments(),
		machineTypes:    map[string]*protocol.MachineType{},
		shards:          map[int]*shard.Shard{},
		largeJobShapes:  largeJobShapes{},
		classDeadlines:  map[string][]float64{},
		members:         newMembership(metered, cfg),
		placement:       newJobPlacement(cfg),
		cost:            machineCost{byCause: shard.CostByCause{}},
		onActivity:      func(shard.Activity) {},
	}
	c.arrivals = autoscaler.NewArrivalRate(4 * c.machineLease())
	c.store = c.newStore()
	metered.incarnation = c.store.Incarnation()
	// The IDs of placement requests start at the incarnation, so that a late answer to a
	// request of the previous process does not match a request of this one.
	c.placement.lastRequestID = metered.incarnation
	c.registry = c.newRegistry()
	c.resetDependencies()
	c.userAPI = userapi.New(c, metered)
	return c
}

func (c *Controller) newStore() *kvstore.Store {
	limits := &c.settings.Deployment.State
	store := kvstore.New(c.env, c.settings.Services.State, c.settings.Name, kvstore.Limits{
		RequestsPerSecond:       limits.RPS,
		WritesPerSecond:         limits.WriteRPS,
		MutationsPerTransaction: limits.TxnOps,
		Members:                 len(c.controllerNames),
	}, c.onKeyChange)
	store.OnReset = c.onStoreReset
	return store
}

func (c *Controller) newRegistry() *election.Registry {
	registry := election.New(c.settings.Name, c.store)
	registry.OnAcquired = c.onKeyAcquired
	registry.OnLost = c.onKeyLost
	registry.PeersMayExtendLeases = c.settings.StoreLease.ConfirmOwnership
	// Two TTLs of the store lease are added instead of one, because the key may be acquired some
	// time after this call.
	registry.PreviousOwnerDeadline = func() float64 {
		return c.WallSeconds() + 2*c.storeLeaseTTL().Seconds()
	}
	return registry
}

// Start begins the controller's periodic work.
func (c *Controller) Start() {
	c.store.Start()
	lease := &c.store.Lease
	lease.OnAcquired = c.reclaimOwnKeys
	lease.OnLost = c.registry.DropAllHeld
	lease.KeepAlive(c.storeLeaseTTL(), c.leaseRenewInterval(), settings.MaxClockDrift)
	c.fetchCatalog()
	c.statusRound()
	c.tick()
}

// tick runs four times in each status interval. It refreshes an outdated cache, maintains the
// ownership of keys, processes dependencies and lets the owned shards schedule.
func (c *Controller) tick() {
	c.updateReadySince()
	if !c.store.Lease.IsValid() && (len(c.shards) > 0 || c.autoscaler != nil) {
		c.registry.DropAllHeld()
	}
	// The lease is valid for a limited time. That time counts from the last renewal or from the
	// time as of which the cache is current, whichever is earlier. So the cache must be refreshed
	// as often as the lease is renewed. A watch alone does not suffice: one that was opened late in
	// an outage returns nothing until a key changes.
	if c.store.IsLoaded() && c.store.Staleness() > min(c.maxLaunchStaleness()/2, c.leaseRenewInterval()) {
		c.store.Refresh()
	}
	c.requestOwnershipConfirmation()
	c.maintainOwnership()
	c.processDependencies()
	c.eachShard(func(owned *shard.Shard) {
		if c.ownedShard(owned.ID) == nil {
			return
		}
		owned.Tick()
		c.deleteOrphanedProgress(owned)
	})
	c.env.After(c.statusInterval()/4, c.tick)
}

func (c *Controller) updateReadySince() {
	switch {
	case !c.isReady():
		c.readySince = 0
	case c.readySince == 0:
		c.readySince = c.env.Now()
	}
}

// machineLease returns the duration of a machine lease: how long an agent goes on running its
// tasks without an answer from the shard's owner.
func (c *Controller) machineLease() time.Duration {
	return env.Seconds(c.settings.Deployment.Workers.Lease)
}

// storeLeaseTTL returns the time to live of the store lease to which this controller's keys are
// attached.
func (c *Controller) storeLeaseTTL() time.Duration { return env.Seconds(c.settings.StoreLeaseTTL()) }

func (c *Controller) leaseRenewInterval() time.Duration {
	return env.Seconds(c.settings.StoreLeaseRenewInterval())
}

// minStatusInterval limits the rate of status messages when machine leases are short.
const minStatusInterval = 250 * time.Millisecond

// statusInterval returns the period of status messages between controllers.
func (c *Controller) statusInterval() time.Duration { return statusInterval(c.settings) }

func statusInterval(cfg *settings.Settings) time.Duration {
	return max(env.Seconds(cfg.Deployment.Workers.Lease)/40, minStatusInterval)
}

// eachShard calls visit for each shard in c.shards, in the order of their IDs. It does not check
// whether this controller may act as the owner of the shard now; ownedShard does.
func (c *Controller) eachShard(visit func(owned *shard.Shard)) {
	for shardID := range c.controllerNames {
		if owned := c.shards[shardID]; owned != nil {
			visit(owned)
		}
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
