package controller

import (
	"log/slog"
	"net/http"
	"time"

	"curlewspool/internal/election"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// reachability tracks whether agents reach this controller. A controller that has lost contact only
// with its agents looks ready to the other controllers. The other controllers redirect the agents
// to it (status 421), so it would keep its shards while the leases of the machines expire.
// Therefore, each controller lists in its status the shards of other owners whose machines report
// to it. The owner of such a shard releases it if few of the machines still report to the owner. It
// then acquires no shard until a machine reports to it or answers it again. (In simulated runs at
// production scale, 284 machines lost their leases and 800 tasks lost their work because of one
// such controller.)
type reachability struct {
	misdirectedReports map[string]reportArrival // by machine ID: the latest report of a machine whose shard another controller owns
	isUnreachable      bool                     // no agent reaches this controller
	isProbing          bool
}

// reportArrival is a report's version and its time of arrival. The version is needed to ignore late
// copies of earlier reports, which do not show that the machine reaches this controller now.
type reportArrival struct {
	version    reportVersion
	receivedAt time.Duration
}

// recordReport records the arrival of a report. It keeps no reports of machines in this
// controller's own shards. If it did, a shard that this controller releases on purpose would be
// assigned to it again at once, because the shard's machines would seem to reach this controller
// instead of the new owner.
func (r *reachability) recordReport(report *protocol.Report, isOwnMachine bool, now time.Duration) {
	if r.misdirectedReports == nil {
		r.misdirectedReports = map[string]reportArrival{}
	}
	previous := r.misdirectedReports[report.Machine].version
	if !report.IsNewerThan(previous.incarnation, previous.sequence) {
		return
	}
	if isOwnMachine {
		delete(r.misdirectedReports, report.Machine)
	} else {
		version := reportVersion{incarnation: report.Incarnation, sequence: report.Sequence}
		r.misdirectedReports[report.Machine] = reportArrival{version: version, receivedAt: now}
	}
	r.isUnreachable = false
}

// failoverCycle returns how long an agent that gets no answer takes to try all controllers and
// return to the first.
func (c *Controller) failoverCycle() time.Duration {
	return time.Duration(len(c.controllerNames)+1) * (protocol.ReportTimeout + protocol.NextControllerDelay)
}

// countMisdirectedReports counts, by shard, the machines of other owners' shards that reported to
// this controller within the last two report intervals. It drops arrivals older than two machine
// leases; if a late copy of such a report arrives, it may be counted again.
func (c *Controller) countMisdirectedReports(now time.Duration) []*peermsg.ReachabilityReport {
	machinesByShard := make([]int32, len(c.controllerNames))
	for id, arrival := range c.reachability.misdirectedReports {
		record := c.machines[id]
		age := now - arrival.receivedAt
		if age > 2*c.machineLease() || record == nil {
			delete(c.reachability.misdirectedReports, id)
			continue
		}
		if age > 2*c.reportInterval() {
			continue
		}
		isKnownShard := record.Shard >= 0 && record.Shard < len(machinesByShard)
		if isKnownShard && c.shards[record.Shard] == nil {
			machinesByShard[record.Shard]++
		}
	}
	var reports []*peermsg.ReachabilityReport
	for shardID, machines := range machinesByShard {
		if machines > 0 {
			reports = append(reports, &peermsg.ReachabilityReport{Shard: int32(shardID), Machines: machines})
		}
	}
	return reports
}

// reachedController is the controller to which machines of a shard report instead of its owner.
type reachedController struct {
	name       string // "" if there is none
	isMajority bool   // at least half of the shard's machines report to it
}

// controllerReachedByMachines returns the controller, other than the shard's owner, to which most
// machines of the shard report.
func (c *Controller) controllerReachedByMachines(shardID int) reachedController {
	name, most := "", 0
	c.members.eachLiveStatus(func(controller string, status *peermsg.Status) {
		for _, report := range status.ReachabilityReports {
			if int(report.Shard) == shardID && int(report.Machines) > most {
				name, most = controller, int(report.Machines)
			}
		}
	})
	if most == 0 {
		return reachedController{} // the usual case, in which the machines need not be counted
	}
	total := 0
	for _, record := range c.machines {
		if record.Shard == shardID {
			total++
		}
	}
	return reachedController{name: name, isMajority: total > 0 && 2*most >= total}
}

// isBypassed reports whether an owner has a shard of which at least half of the machines report to
// another controller.
func (c *Controller) isBypassed(owner string) bool {
	for shardID := range c.controllerNames {
		if c.registry.OwnerOf(election.ShardKey(shardID)) != owner {
			continue
		}
		if reached := c.controllerReachedByMachines(shardID); reached.isMajority && reached.name != owner {
			return true
		}
	}
	return false
}

// releaseUnreachableShards releases the shards whose machines reach another controller but not this
// one. At least half of a shard's machines must report to the other controller, and less than a
// quarter of those that are expected to report here must do so.
func (c *Controller) releaseUnreachableShards() {
	now := c.env.Now()
	c.eachShard(func(owned *shard.Shard) {
		if c.ownedShard(owned.ID) == nil || now-owned.AcquiredAt() < c.machineLease()/2 {
			return
		}
		counted, reporting := c.countReportingMachines(owned, now)
		reached := c.controllerReachedByMachines(owned.ID)
		shouldRelease := reached.isMajority && 4*reporting < counted && reached.name != c.settings.Name
		if shouldRelease && c.releaseShard(owned.ID) {
			slog.Info("controller: shard released, machines do not reach this controller",
				"shard", owned.ID, "machines", counted, "reporting", reporting, "reached", reached.name)
			c.reachability.isUnreachable = true
		}
	})
	if c.reachability.isUnreachable {
		c.probeReachability()
	}
}

// countReportingMachines counts the machines of a shard that are expected to report to this
// controller, and those of them that have reported within the last one and a half report intervals.
func (c *Controller) countReportingMachines(owned *shard.Shard, now time.Duration) (counted, reporting int) {
	for _, machine := range owned.Machines {
		if !c.isExpectedToReport(machine, now) {
			continue
		}
		counted++
		if now-machine.LastHeartbeat < c.reportInterval()*3/2 {
			reporting++
		}
	}
	return counted, reporting
}

// isExpectedToReport reports whether missing reports of a machine indicate that agents do not reach
// this controller. They do not if the machine has joined the shard only recently, or is in an
// inbound partition. No answer reaches a machine in an inbound partition, so it reports to one
// controller after another. If such a machine counted, its shard would move from owner to owner as
// long as the partition lasts.
func (c *Controller) isExpectedToReport(machine *shard.Machine, now time.Duration) bool {
	age := now - machine.JoinedAt
	if machine.Incarnation == 0 {
		return age >= c.failoverCycle()
	}
	return machine.IsReachable() && age >= c.machineLease()/2
}

// probeReachability requests the status of a random machine. If this controller counted as
// unreachable, an answer shows that it is reachable again.
func (c *Controller) probeReachability() {
	if c.reachability.isProbing || len(c.machines) == 0 {
		return
	}
	ids := sortedKeys(c.machines)
	address := c.machines[ids[c.env.Rand().IntN(len(ids))]].Address
	c.reachability.isProbing = true
	c.env.Call(address, http.MethodGet, "/status", nil, &protocol.Report{}, c.machineCallTimeout(), func(status int) {
		c.reachability.isProbing = false
		if status == http.StatusOK && c.reachability.isUnreachable {
			slog.Info("controller: machines are reachable again")
			c.reachability.isUnreachable = false
		}
	})
}
