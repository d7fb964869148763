package controller

import (
	"time"

	"curlewspool/internal/federation"
	"curlewspool/internal/userapi"
)

// Submit handles POST /v2/runs. queued is how long the request waited for the event loop.
func (c *Controller) Submit(body []byte, queued time.Duration, reply userapi.Reply) {
	c.userAPI.Submit(body, queued, reply)
}

// JobStatus handles GET /v2/runs/{id}.
func (c *Controller) JobStatus(id string, reply userapi.Reply) { c.userAPI.Status(id, reply) }

// Cancel handles POST /v2/runs/{id}/abort.
func (c *Controller) Cancel(id string, reply userapi.Reply) { c.userAPI.Cancel(id, reply) }

// IsReservedJobID reports whether users may not use a job ID. With partner clusters, some IDs are
// reserved for hosted jobs.
func (c *Controller) IsReservedJobID(id string) bool {
	return c.federation != nil && federation.IsHostedJobID(id)
}

// IsHealthy reports to the load balancer whether to send users to this controller.
//
// A controller is unhealthy if the store refuses it but answers other controllers. In an outage for
// all controllers, every controller must stay healthy: otherwise the balancer would take out all of
// them, for longer each time, and users would find none when the store is back. In simulated runs
// at production scale, 430 requests found no healthy controller, most of them after an outage. So a
// controller that the store refuses is unhealthy only if the store has answered a peer since the
// refusals began.
//
// An isolated controller, which neither the store nor any other controller reaches, is unhealthy
// too. It can answer no user. If it stayed healthy, its number of users would fall, and the
// balancer would then send it nearly all new ones. If all controllers are isolated at once, because
// the store is down and their connections to each other are cut, the balancer takes out all of
// them, and after the store is back they stay out for at most the balancer's longest pause
// (docs/recovery.md).
//
// A controller that has just started and has not loaded its state is healthy only while the store
// is not known to have answered a peer. When all controllers start at once, the balancer can
// therefore send users again as soon as the first controller can serve them, not two probes later.
func (c *Controller) IsHealthy() bool {
	hasStarted := c.store.IsLoaded() && len(c.machineTypes) > 0
	if !hasStarted {
		return !c.members.storeAnsweredAnyPeerSince(0)
	}
	if !c.store.IsUnavailable() {
		return true
	}
	if c.isIsolated() {
		return false
	}
	failingSince := c.store.Health().FailingSince
	margin := c.statusInterval() / 4 // exceeds the error that clocks and message delays cause
	return !c.members.storeAnsweredAnyPeerSince(failingSince + margin)
}
