package controller

import (
	"curlewspool/internal/election"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file adds new machines to the rosters in the key-value store and removes deleted ones.

// minMachineRecordBytes is the approximate minimum size of a machine's record in a roster.
const minMachineRecordBytes = 80

// pendingEnrolments holds the machines that are to be added to the rosters or removed from them.
type pendingEnrolments struct {
	additions      map[string]*shard.MachineRecord
	probing        map[string]bool // machines without a record whose status is being requested
	removals       map[string]bool
	writing        [rosterGroups]bool // by group: whether a transaction is in flight
	writeScheduled bool
}

func newPendingEnrolments() pendingEnrolments {
	return pendingEnrolments{
		additions: map[string]*shard.MachineRecord{},
		probing:   map[string]bool{},
		removals:  map[string]bool{},
	}
}

// isEmpty reports whether there is nothing to write.
func (e *pendingEnrolments) isEmpty() bool { return len(e.additions)+len(e.removals) == 0 }

// groupsToWrite returns the groups with additions or removals and without a transaction in flight,
// in ascending order.
func (e *pendingEnrolments) groupsToWrite() []int {
	var isPending [rosterGroups]bool
	for id := range e.additions {
		isPending[rosterGroupOf(id)] = true
	}
	for id := range e.removals {
		isPending[rosterGroupOf(id)] = true
	}
	var groups []int
	for group := range rosterGroups {
		if isPending[group] && !e.writing[group] {
			groups = append(groups, group)
		}
	}
	return groups
}

// additionsOf returns the machines that are to be added to a group and are not in known, in the
// order of their IDs.
func (e *pendingEnrolments) additionsOf(group int, known map[string]*shard.MachineRecord) []*shard.MachineRecord {
	var additions []*shard.MachineRecord
	for _, id := range sortedKeys(e.additions) {
		if rosterGroupOf(id) == group && known[id] == nil {
			additions = append(additions, e.additions[id])
		}
	}
	return additions
}

// discard drops the pending additions and removals of a group. They will be requested again: the
// additions when the machines report again, and the removals by the leader.
func (e *pendingEnrolments) discard(group int) {
	for id := range e.additions {
		if rosterGroupOf(id) == group {
			delete(e.additions, id)
		}
	}
	for id := range e.removals {
		if rosterGroupOf(id) == group {
			delete(e.removals, id)
		}
	}
}

// maxPendingEnrolments returns how many machines may wait to be recorded: about as many as fit into
// one value of each roster group.
func (c *Controller) maxPendingEnrolments() int {
	return rosterGroups * int(c.settings.Deployment.State.ValueKB*1024) / minMachineRecordBytes
}

// scheduleRosterWrite writes the pending changes after a delay, so that the same transactions can
// include changes that follow soon.
func (c *Controller) scheduleRosterWrite() {
	if c.enrolment.writeScheduled || c.enrolment.isEmpty() {
		return
	}
	c.enrolment.writeScheduled = true
	c.env.After(c.statusInterval()/2, func() {
		c.enrolment.writeScheduled = false
		for _, group := range c.enrolment.groupsToWrite() {
			c.writeRosterGroup(group)
		}
	})
}

// isPartitionedFromLeader reports whether this controller is ready but receives no status from the
// leader. A controller that a network partition separates from the leader creates the records of
// new machines itself.
func (c *Controller) isPartitionedFromLeader() bool {
	return !c.IsLeader() && c.isReady() && !c.members.isAlive(c.registry.OwnerOf(election.LeaderKey))
}

// mayRecordMachines reports whether this controller may create records of machines.
func (c *Controller) mayRecordMachines() bool { return c.IsLeader() || c.isPartitionedFromLeader() }

// writeRosterGroup writes the pending additions and removals of a group.
func (c *Controller) writeRosterGroup(group int) {
	c.enrolment.writing[group] = true
	c.store.Write(kvstore.PriorityNormal, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			var conditions []protocol.Condition
			switch {
			case c.IsLeader():
				conditions = append(conditions, c.registry.OwnershipCondition(election.LeaderKey))
			case !c.isPartitionedFromLeader():
				return nil, nil
			}
			change := rosterChange{
				add:    c.enrolment.additionsOf(group, c.machines),
				remove: c.enrolment.removals,
			}
			unchanged, mutations := c.rosterTransaction(group, &change, nonce)
			return append(conditions, unchanged...), mutations
		},
		Done: func(applied bool, _ uint64) {
			c.enrolment.writing[group] = false
			if !applied {
				c.enrolment.discard(group)
				return
			}
			c.AnnounceChange("")
			c.scheduleRosterWrite()
		},
	})
}

// removeMachines marks for removal the records of machines that the cloud has deleted.
func (c *Controller) removeMachines(ids []string) {
	for _, id := range ids {
		if c.machines[id] != nil {
			c.enrolment.removals[id] = true
		}
	}
}
