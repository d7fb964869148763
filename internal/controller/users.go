package controller

import (
	"maps"

	"time"

	"curlewspool/internal/election"
	"curlewspool/internal/federation"
	"curlewspool/internal/shard"
	"curlewspool/internal/userapi"
)

// This file speaks to users and operators.

// Submit takes a submission that waited so long for the loop.
func (c *Controller) Submit(body []byte, queued time.Duration, reply userapi.Reply) {
	c.userAPI.Submit(body, queued, reply)
}

// Poll answers GET /v2/runs/{id}.
func (c *Controller) Poll(id string, reply userapi.Reply) { c.userAPI.Status(id, reply) }

// Cancel answers POST /v2/runs/{id}/abort.
func (c *Controller) Cancel(id string, reply userapi.Reply) { c.userAPI.Cancel(id, reply) }

// IsReserved tells whether no user may use an id: with partners, some belong to
// what is borrowed from them.
func (c *Controller) IsReserved(id string) bool {
	return c.federation != nil && federation.Reserved(id)
}

// IsHealthy tells the load balancer whether to send users here. A node that the
// state service alone refuses sends them elsewhere. In an outage for all it must
// not: the balancer would take every controller out, for longer each time, and
// users would find none when the service is back. (Seen on days of the fleet's
// size: 430 requests found no healthy controller, most of them after an outage.)
// So it takes a peer that was answered after this one was refused.
//
// One that hears neither the state service nor any other controller is not up
// either: it can give nobody an answer, and as it has ever fewer users the
// balancer would send it nearly all new ones. If all are in its place, in an
// outage with their ways to each other cut, all are out for at most the
// balancer's longest pause once the service is back (docs/recovery.md).
//
// One that has just started and cannot act yet is up only while it knows of no
// peer that can: when all start at once, the balancer then has them back when
// the first can act, not two probes later.
func (c *Controller) IsHealthy() bool {
	since := time.Duration(0) // a peer that was answered later than that can serve instead
	if c.store.IsLoaded() && len(c.machineTypes) > 0 {
		if !c.store.IsUnavailable() {
			return true
		}
		if c.isIsolated() {
			return false
		}
		since = c.store.Health().FailingSince + c.statusInterval()/4 // more than clocks and messages are off
	}
	for _, p := range c.peers {
		if p.storeAnsweredAt > since {
			return false
		}
	}
	return true
}

// State is what an operator is told of a controller.
type State struct {
	Host   string `cbor:"host" json:"host"`
	Leader string `cbor:"leader" json:"leader"`
	Ready  bool   `cbor:"ready" json:"ready"`
	// Isolated: neither the state service nor another controller is heard.
	Isolated    bool                        `cbor:"isolated" json:"isolated"`
	Shards      []ShardState                `cbor:"parts" json:"parts"`
	WaitingJobs map[string]string           `cbor:"waiting" json:"waiting"` // queued jobs of its parts, and why they wait
	Jobs        int                         `cbor:"jobs" json:"live_jobs"`
	Machines    int                         `cbor:"machines" json:"machines"`
	UserAPI     string                      `cbor:"intake" json:"intake"`
	SubmitTimes userapi.SubmissionLatencies `cbor:"submits" json:"submits"`
	PeakLoad    PeakLoad                    `cbor:"busiest" json:"busiest_10_s"`
	// Spent is what machines cost since the controller began, by cause, in the
	// catalog's unit of money.
	Spent shard.CostByCause `cbor:"spent" json:"spent"`
	// Dependencies counts the jobs that wait for others now, and those that this process
	// has released and has withdrawn with one that they needed.
	Dependencies DependencyCounts `cbor:"dependencies" json:"dependencies"`
	// Federation is nil without partners.
	Federation *federation.View `cbor:"federation,omitempty" json:"federation,omitempty"`
}

// DependencyCounts tells of jobs that need others.
type DependencyCounts struct {
	Waiting  int `cbor:"waiting" json:"waiting"`
	Released int `cbor:"released" json:"released"`
	Cascaded int `cbor:"cascaded" json:"cascaded"`
}

// ShardState is one part that the controller owns.
type ShardState struct {
	Shard        int    `cbor:"part" json:"part"`
	FencingToken uint64 `cbor:"token" json:"token"`
	Machines     int    `cbor:"machines" json:"machines"`
	Jobs         int    `cbor:"jobs" json:"jobs"`
	// Unreachable machines report and hear nothing; Silent have not answered this owner.
	Unreachable  []string `cbor:"deaf" json:"deaf"`
	Unresponsive int      `cbor:"silent" json:"silent"`
}

// DebugState tells an operator what this controller owns and why jobs wait.
func (c *Controller) DebugState() *State {
	s := &State{Host: c.settings.Name, Leader: c.registry.OwnerOf(election.LeaderKey), Ready: c.isReady(), Isolated: c.isIsolated(), Shards: []ShardState{}, WaitingJobs: map[string]string{},
		Jobs: len(c.jobs), Machines: len(c.machines), UserAPI: c.userAPI.String(), SubmitTimes: *c.userAPI.Latencies(), PeakLoad: c.meter.peakLoad(), Spent: maps.Clone(c.spent),
		Dependencies: DependencyCounts{c.dependencies.graph.WaitingCount(), c.dependencies.releasedCount, c.dependencies.cascadedCount}}
	c.eachShard(func(p *shard.Shard) {
		s.Shards = append(s.Shards, ShardState{p.ID, p.FencingToken, len(p.Machines), len(p.Jobs), p.InboundPartitioned(), p.UnresolvedCount()})
		for id, why := range p.WaitReasons() {
			s.WaitingJobs[id] = why
		}
	})
	if c.federation != nil {
		s.Federation = c.federation.Describe()
	}
	return s
}
