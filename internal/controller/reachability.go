package controller

import (
	"log/slog"
	"time"

	"curlewspool/internal/election"
	"curlewspool/internal/env"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// reachability follows whether workers reach this controller. One that lost only its
// workers is ready in everybody's eyes and would keep its parts while all their
// leases run out: the others answer 421 with its name. They say whose machines
// come to them instead; it then gives its parts up, and takes none until a
// worker answers it again. (On days of the fleet's size 284 machines lost their
// leases, and 800 tasks their work, to one such controller.)
type reachability struct {
	foreignReports map[string]sighting // machines of others' parts: when they last reported here
	isUnreachable  bool
	isProbing      bool
}

// sighting is a report and when it came. A late copy of one that came before says
// nothing of who reaches whom now.
type sighting struct {
	session, seq uint64
	receivedAt   time.Duration
}

// recordReport notes a report that came here; ours: of a machine of a part owned here.
// (Were those noted, too, a part that is given up on purpose would be given back
// at once, as its machines seem to prefer this controller.)
func (t *reachability) recordReport(report *protocol.Report, isOwnMachine bool, now time.Duration) {
	if t.foreignReports == nil {
		t.foreignReports = map[string]sighting{}
	}
	previous := t.foreignReports[report.Machine]
	switch {
	case !report.IsNewerThan(previous.session, previous.seq):
		return
	case isOwnMachine:
		delete(t.foreignReports, report.Machine)
	default:
		t.foreignReports[report.Machine] = sighting{report.Incarnation, report.Sequence, now}
	}
	t.isUnreachable = false
}

func (c *Controller) reportInterval() time.Duration {
	return env.Seconds(c.settings.Deployment.Workers.Report)
}

// failoverCycle is how long a machine that nobody answers takes from one controller through
// all others back to it.
func (c *Controller) failoverCycle() time.Duration {
	return time.Duration(len(c.controllerNames)+1) * (protocol.ReportTimeout + protocol.NextControllerDelay)
}

// countByShard tells whose machines came here of late, by part; what is older is
// forgotten.
func (t *reachability) countByShard(controller *Controller) []*peermsg.ReachabilityReport {
	now := controller.env.Now()
	count := make([]int32, len(controller.controllerNames))
	for id, seen := range t.foreignReports {
		record := controller.machines[id]
		if now-seen.receivedAt > 2*controller.workerLease() || record == nil { // after that a copy may count once
			delete(t.foreignReports, id)
			continue
		}
		if now-seen.receivedAt > 2*controller.reportInterval() {
			continue
		}
		if record.Shard >= 0 && record.Shard < len(count) && controller.shards[record.Shard] == nil {
			count[record.Shard]++
		}
	}
	var out []*peermsg.ReachabilityReport
	for shardID, machines := range count {
		if machines > 0 {
			out = append(out, &peermsg.ReachabilityReport{Shard: int32(shardID), Machines: machines})
		}
	}
	return out
}

// preferredController names the controller that most machines of a part go to, other than
// its owner, and tells whether they are at least half of it.
func (c *Controller) preferredController(k int) (name string, many bool) {
	best, all := 0, 0
	see := func(who string, s *peermsg.Status) {
		for _, h := range s.ReachabilityReports {
			if int(h.Shard) == k && int(h.Machines) > best {
				name, best = who, int(h.Machines)
			}
		}
	}
	for _, who := range sortedKeys(c.peers) {
		if p := c.peers[who]; p.status != nil && c.isPeerAlive(who) {
			see(who, p.status)
		}
	}
	if c.ownStatus != nil {
		see(c.settings.Name, c.ownStatus)
	}
	if best == 0 {
		return "", false // as nearly always: no walk over the machines
	}
	for _, m := range c.machines {
		if m.Shard == k {
			all++
		}
	}
	return name, all > 0 && 2*best >= all
}

// isBypassed tells whether the machines of some part of a controller go to others.
func (c *Controller) isBypassed(owner string) bool {
	for k := range c.controllerNames {
		if c.registry.OwnerOf(election.ShardKey(k)) == owner {
			if by, many := c.preferredController(k); many && by != owner {
				return true
			}
		}
	}
	return false
}

// releaseUnreachableShards gives up the parts whose machines do not reach this controller and do
// reach another.
func (c *Controller) releaseUnreachableShards() {
	now := c.env.Now()
	c.eachShard(func(p *shard.Shard) {
		if c.ownedShard(p.ID) == nil || now-p.AcquiredAt() < c.workerLease()/2 {
			return
		}
		all, here := 0, 0
		for _, m := range p.Machines {
			// A machine that hears nobody goes from one controller to the next with its
			// reports, this one among them: it says nothing of this one's hearing. (A
			// part of deaf machines went from owner to owner for as long as they were.)
			switch is := now - m.JoinedAt; {
			case m.Incarnation == 0 && is < c.failoverCycle(), m.Incarnation > 0 && (!m.IsReachable() || is < c.workerLease()/2):
				continue
			case now-m.LastHeartbeat < c.reportInterval()*3/2:
				here++
			}
			all++
		}
		if by, many := c.preferredController(p.ID); many && 4*here < all && by != c.settings.Name && c.releaseShard(p.ID) {
			slog.Info("node: machines do not reach this controller", "part", p.ID, "machines", all, "heard", here, "reach", by)
			c.reachability.isUnreachable = true
		}
	})
	if c.reachability.isUnreachable {
		c.probeReachability()
	}
}

// probeReachability asks some machine how it is, so that a controller that was deaf
// knows when it no longer is.
func (c *Controller) probeReachability() {
	if c.reachability.isProbing || len(c.machines) == 0 {
		return
	}
	ids := sortedKeys(c.machines)
	addr := c.machines[ids[c.env.Rand().IntN(len(ids))]].Address
	c.reachability.isProbing = true
	c.env.Call(addr, "GET", "/status", nil, &protocol.Report{}, min(2*time.Second, c.reportInterval()), func(status int) {
		c.reachability.isProbing = false
		if status == 200 && c.reachability.isUnreachable {
			slog.Info("node: machines answer again")
			c.reachability.isUnreachable = false
		}
	})
}
