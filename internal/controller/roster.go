package controller

import (
	"hash/fnv"
	"log/slog"
	"slices"
	"sort"
	"strconv"

	"curlewspool/internal/election"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// Machines are kept in groups: with a key for each, hundreds that come up
// together would use the state's budget of changes for a minute. A machine's
// group follows from its name, so that two controllers that record it at once
// compare the same keys; a group that is full goes on under a next key.
const (
	rosterKeyPrefix = "a/m/"
	rosterGroups    = 16
)

func rosterGroupOf(id string) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % rosterGroups)
}

func rosterKey(group, level int) string {
	return rosterKeyPrefix + strconv.Itoa(group) + "/" + strconv.Itoa(level)
}

// maxPendingEnrolments is how many machines may wait to be recorded: what one write of every
// group could about hold.
func (c *Controller) maxPendingEnrolments() int {
	return rosterGroups * int(c.settings.Deployment.State.ValueKB*1024) / 80
}

// pendingEnrolments is what is to be added to the rosters and taken out of them.
type pendingEnrolments struct {
	additions      map[string]*shard.MachineRecord
	probing        map[string]bool // whether they are there
	removals       map[string]bool
	writing        [rosterGroups]bool
	writeScheduled bool
}

func newPendingEnrolments() pendingEnrolments {
	return pendingEnrolments{additions: map[string]*shard.MachineRecord{}, probing: map[string]bool{}, removals: map[string]bool{}}
}

// applyRoster compares a roster with what was known of it.
func (c *Controller) applyRoster(key string, value []byte) {
	var roster shard.Roster
	if value != nil {
		if err := protocol.Decode(value, &roster); err != nil {
			slog.Error("node: bad roster", "key", key, "err", err)
			return
		}
	}
	present := make(map[string]bool, len(roster.Machines))
	ids := make([]string, 0, len(roster.Machines))
	for i := range roster.Machines {
		rec := &roster.Machines[i]
		present[rec.ID] = true
		ids = append(ids, rec.ID)
		delete(c.enrolment.additions, rec.ID)
		if known := c.machines[rec.ID]; known != nil && *known == *rec {
			continue
		}
		c.machines[rec.ID] = rec
		c.eachShard(func(p *shard.Shard) { p.UpdateMachine(rec.ID, rec) })
	}
	for _, id := range c.machinesByRosterKey[key] {
		if !present[id] {
			c.leftRosterKey = append(c.leftRosterKey, id)
		}
	}
	c.machinesByRosterKey[key] = ids
}

// dropDepartedMachines is told when the cache has passed a revision: a machine that left a key and
// is under none now has been taken out. (One that has moved to another key of its group
// has not, in whatever order the changes of one transaction are told.)
func (c *Controller) dropDepartedMachines() {
	gone := c.leftRosterKey
	c.leftRosterKey = nil
	for _, id := range gone {
		if c.isInRoster(id) {
			continue
		}
		delete(c.machines, id)
		delete(c.enrolment.removals, id)
		c.eachShard(func(p *shard.Shard) { p.UpdateMachine(id, nil) })
	}
}

// isInRoster tells whether a machine is under some key of its group.
func (c *Controller) isInRoster(id string) bool {
	for level := 0; ; level++ {
		ids, ok := c.machinesByRosterKey[rosterKey(rosterGroupOf(id), level)]
		if !ok {
			return false
		}
		if slices.Contains(ids, id) {
			return true
		}
	}
}

// rosterLevels are a group's rosters as the cache has them.
func (c *Controller) rosterLevels(group int) (keys []string, rosters []shard.Roster) {
	for level := 0; ; level++ {
		key := rosterKey(group, level)
		entry, ok := c.store.Get(key)
		if !ok {
			return keys, rosters
		}
		var roster shard.Roster
		if err := protocol.Decode(entry.Value, &roster); err != nil {
			slog.Error("node: bad roster", "key", key, "err", err)
		}
		keys, rosters = append(keys, key), append(rosters, roster)
	}
}

// rosterTransaction is a change of a group's machines as conditions and changes of its keys. All
// levels are compared, also the one that does not exist yet: the machine that is added
// is in none of them.
func (c *Controller) rosterTransaction(group int, change *rosterChange, nonce string) (conditions []protocol.Condition, mutations []protocol.Mutation) {
	keys, rosters := c.rosterLevels(group)
	state := &c.settings.Deployment.State
	changed, moved := change.distribute(rosters, int(state.ValueKB*1024*rosterFillRatio), state.TxnOps, c.allOwnersSupportRosterMoves())
	for level := range len(keys) + max(1, len(changed)) {
		key := rosterKey(group, level)
		conditions = append(conditions, c.store.UnchangedCondition(key))
		if roster, ok := changed[level]; ok {
			roster.Nonce = nonce
			mutations = append(mutations, protocol.Mutation{Put: key, Value: protocol.Encode(&roster)})
		}
	}
	for shardID := range c.controllerNames {
		if moved { // no part changes hands meanwhile
			conditions = append(conditions, c.store.UnchangedCondition(election.ShardKey(shardID)))
		}
	}
	return conditions, mutations
}

// allOwnersSupportRosterMoves tells that no part is owned, as far as the cache knows, by a controller that
// may be of a version which takes a machine that leaves a key for one that is gone: it
// would begin elsewhere what still runs there.
func (c *Controller) allOwnersSupportRosterMoves() bool {
	for shardID := range c.controllerNames {
		owner := c.registry.OwnerOf(election.ShardKey(shardID))
		if owner == "" || owner == c.settings.Name {
			continue
		}
		if member := c.peers[owner]; member == nil || member.status.GetVersion() < peermsg.VersionDependencies {
			return false
		}
	}
	return true
}

// rosterFillRatio of a value may be taken by machines; the rest is for what their sizes
// leave out.
const rosterFillRatio = 0.8

// scheduleRosterWrite writes what waits, after a moment in which more may come.
func (c *Controller) scheduleRosterWrite() {
	if c.enrolment.writeScheduled || len(c.enrolment.additions)+len(c.enrolment.removals) == 0 {
		return
	}
	c.enrolment.writeScheduled = true
	c.env.After(c.statusInterval()/2, func() {
		c.enrolment.writeScheduled = false
		var due [rosterGroups]bool
		for id := range c.enrolment.additions {
			due[rosterGroupOf(id)] = true
		}
		for id := range c.enrolment.removals {
			due[rosterGroupOf(id)] = true
		}
		for group, isDue := range due {
			if isDue && !c.enrolment.writing[group] {
				c.writeRosterGroup(group)
			}
		}
	})
}

// isCutOffFromLeader: behind a cut nobody reaches the leader, and the controller there
// records machines itself, on condition that they have no record.
func (c *Controller) isCutOffFromLeader() bool {
	return !c.isLeader() && c.isReady() && !c.isPeerAlive(c.registry.OwnerOf(election.LeaderKey))
}

func (c *Controller) writeRosterGroup(group int) {
	c.enrolment.writing[group] = true
	c.store.Write(kvstore.PriorityNormal, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			var conditions []protocol.Condition
			switch {
			case c.isLeader():
				conditions = append(conditions, c.registry.OwnershipCondition(election.LeaderKey))
			case !c.isCutOffFromLeader():
				return nil, nil
			}
			var additions []*shard.MachineRecord
			for _, id := range sortedKeys(c.enrolment.additions) {
				if rosterGroupOf(id) == group && c.machines[id] == nil {
					additions = append(additions, c.enrolment.additions[id])
				}
			}
			change := rosterChange{add: additions, remove: c.enrolment.removals}
			levels, mutations := c.rosterTransaction(group, &change, nonce)
			return append(conditions, levels...), mutations
		},
		Done: func(applied bool, _ uint64) {
			c.enrolment.writing[group] = false
			if !applied { // workers report again, and the leader removes again
				c.discardPendingOfGroup(group)
				return
			}
			c.AnnounceChange("")
			c.scheduleRosterWrite()
		},
	})
}

// discardPendingOfGroup forgets what a group's write was to say: workers report again, and
// the leader asks again for a removal.
func (c *Controller) discardPendingOfGroup(group int) {
	for id := range c.enrolment.additions {
		if rosterGroupOf(id) == group {
			delete(c.enrolment.additions, id)
		}
	}
	for id := range c.enrolment.removals {
		if rosterGroupOf(id) == group {
			delete(c.enrolment.removals, id)
		}
	}
}

// removeMachines deletes the records of machines that the cloud has deleted.
func (c *Controller) removeMachines(ids []string) {
	for _, id := range ids {
		if c.machines[id] != nil {
			c.enrolment.removals[id] = true
		}
	}
}

// ReassignMachine gives a machine of a part owned here to another part.
func (c *Controller) ReassignMachine(id string, to int, guard func() protocol.Condition, allowed func() bool, done func(bool)) {
	c.store.Write(kvstore.PriorityNormal, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			if !allowed() {
				return nil, nil
			}
			record := c.machines[id]
			if record == nil {
				return nil, nil
			}
			moved := *record
			moved.Shard = to
			change := rosterChange{replace: map[string]shard.MachineRecord{id: moved}}
			conditions, mutations := c.rosterTransaction(rosterGroupOf(id), &change, nonce)
			return append(conditions, guard()), mutations
		},
		Done: func(applied bool, _ uint64) { done(applied) },
	})
}

// reportFromUnknownMachine takes the report of a machine without a record: the leader gives
// it to a part.
func (c *Controller) reportFromUnknownMachine(report *protocol.Report, reply HeartbeatReply) {
	if !c.isLeader() && !c.isCutOffFromLeader() {
		if leader := c.registry.OwnerOf(election.LeaderKey); leader != "" && leader != c.settings.Name {
			reply(421, &protocol.ErrorResponse{Error: "not the leader", Owner: leader})
			return
		}
		reply(503, &protocol.ErrorResponse{Error: "no leader"})
		return
	}
	reply(503, &protocol.ErrorResponse{Error: "being recorded"})
	c.probeMachine(report)
}

// probeMachine asks a machine without a record whether it is there before it is given
// one: what came may be a late copy of a report of one that was deleted, and work
// would be placed on a ghost. One that does not answer is none that could be used:
// what the cloud lists of it is given up as what never came up.
func (c *Controller) probeMachine(report *protocol.Report) {
	id := report.Machine
	if c.enrolment.probing[id] || len(c.enrolment.additions)+len(c.enrolment.probing) >= c.maxPendingEnrolments() || !c.needsRecord(id) || c.isWorkerCallLimitReached() {
		return
	}
	c.enrolment.probing[id] = true
	c.fetchMachineStatus(id, report.Address, func(answer *protocol.Report) {
		delete(c.enrolment.probing, id)
		if answer != nil && answer.Validate() == nil && c.needsRecord(id) && (c.isLeader() || c.isCutOffFromLeader()) {
			c.recordMachine(answer)
		}
	})
}

// needsRecord: the machine has none and is to have one, as far as is known.
func (c *Controller) needsRecord(id string) bool {
	return c.machines[id] == nil && c.enrolment.additions[id] == nil && !(c.isLeader() && c.autoscaler.IsDeleted(id))
}

// recordMachine gives a machine that is there to a part.
func (c *Controller) recordMachine(report *protocol.Report) {
	cutOff := !c.isLeader()
	record := &shard.MachineRecord{ID: report.Machine, Address: report.Address, Type: report.Type, Zone: report.Zone, Spot: report.Spot, Owned: !cutOff && !c.autoscaler.MayHaveRented(report.Machine)}
	record.Shard = c.shardFor(record, 0)
	c.enrolment.additions[report.Machine] = record
	slog.Info("node: machine", "machine", report.Machine, "type", report.Type, "zone", report.Zone, "spot", report.Spot, "part", record.Shard)
	c.scheduleRosterWrite()
}

// recordInitialMachines takes the machines of the cloud's list when none has a record yet: a
// cluster that starts with hundreds of machines is shared out in one go.
func (c *Controller) recordInitialMachines(listed []protocol.ListedMachine) {
	if len(c.machines) > 0 || len(c.machineTypes) == 0 {
		return
	}
	var up []protocol.ListedMachine
	coresLeft := 0.0
	cores := func(m *protocol.ListedMachine) float64 {
		if t := c.machineTypes[m.Type]; t != nil {
			return t.Cores
		}
		return 0
	}
	for _, m := range listed {
		if m.Status == protocol.MachineRunning && c.enrolment.additions[m.ID] == nil && len(up) < c.maxPendingEnrolments() {
			up = append(up, m)
			coresLeft += cores(&m)
		}
	}
	if len(up) == 0 {
		return
	}
	// Zone by zone, large ones first, alike ones together; small ones even out.
	sort.SliceStable(up, func(a, b int) bool {
		x, y := &up[a], &up[b]
		if x.Zone != y.Zone {
			return x.Zone < y.Zone
		}
		if c, d := cores(x), cores(y); c != d {
			return c > d
		}
		return x.Type < y.Type
	})
	for i := range up {
		m := &up[i]
		record := &shard.MachineRecord{ID: m.ID, Address: m.Address, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Owned: true}
		coresLeft -= cores(m)
		record.Shard = c.shardFor(record, coresLeft)
		c.enrolment.additions[m.ID] = record
	}
	slog.Info("node: machines there before any record", "count", len(up))
	c.scheduleRosterWrite()
}
