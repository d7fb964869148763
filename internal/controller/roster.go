package controller

import (
	"hash/fnv"
	"log/slog"
	"slices"
	"strconv"

	"curlewspool/internal/election"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file reads and changes the rosters: the stored records of all machines. A record contains
// the machine's shard.
//
// Machines are stored in groups. With one key for each machine, hundreds of machines that boot
// together would use up the store's mutation limit for a minute. A machine's group is a hash of
// its ID, so if two controllers record the same machine at the same time, their transactions have
// conditions on the same keys, and only one of them is applied. A group has one or more keys, its
// levels: when the value of one level is full, further machines are stored in the next level.
const (
	rosterKeyPrefix = "a/m/"
	rosterGroups    = 16
	// rosterFillRatio is the fraction of the maximum value size that machine records may use. The
	// remainder is a reserve, because the estimated sizes of the records leave out some bytes.
	rosterFillRatio = 0.8
)

// rosterGroupOf returns the group of a machine.
func rosterGroupOf(id string) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id)) // the Write of a hash.Hash never returns an error
	return int(hash.Sum32() % rosterGroups)
}

func rosterKey(group, level int) string {
	return rosterKeyPrefix + strconv.Itoa(group) + "/" + strconv.Itoa(level)
}

// rosterIndex records which machines are stored under each roster key.
type rosterIndex struct {
	machinesByKey  map[string][]string
	removedFromKey []string // machines removed from some key since the last call of takeRemoved
}

func newRosterIndex() rosterIndex {
	return rosterIndex{machinesByKey: map[string][]string{}}
}

// replace sets the machines that are stored under a key.
func (r *rosterIndex) replace(key string, ids []string) {
	present := make(map[string]bool, len(ids))
	for _, id := range ids {
		present[id] = true
	}
	for _, id := range r.machinesByKey[key] {
		if !present[id] {
			r.removedFromKey = append(r.removedFromKey, id)
		}
	}
	r.machinesByKey[key] = ids
}

// takeRemoved returns the machines that were removed from a key since the last call and are
// stored under no other key.
func (r *rosterIndex) takeRemoved() []string {
	removed := slices.DeleteFunc(r.removedFromKey, r.contains)
	r.removedFromKey = nil
	return removed
}

// contains reports whether a machine is stored under any key of its group.
func (r *rosterIndex) contains(id string) bool {
	group := rosterGroupOf(id)
	for level := 0; ; level++ {
		ids, ok := r.machinesByKey[rosterKey(group, level)]
		if !ok {
			return false
		}
		if slices.Contains(ids, id) {
			return true
		}
	}
}

// applyRoster applies the changed value of a roster key. value is nil if the key was deleted.
func (c *Controller) applyRoster(key string, value []byte) {
	var roster shard.Roster
	if value != nil {
		if err := protocol.Decode(value, &roster); err != nil {
			slog.Error("controller: roster not decoded", "key", key, "error", err)
			return
		}
	}
	ids := make([]string, 0, len(roster.Machines))
	for i := range roster.Machines {
		record := &roster.Machines[i]
		ids = append(ids, record.ID)
		c.applyMachineRecord(record)
	}
	c.rosterIndex.replace(key, ids)
}

// applyMachineRecord updates the shards if a machine is new or its record has changed.
func (c *Controller) applyMachineRecord(record *shard.MachineRecord) {
	delete(c.enrolment.additions, record.ID)
	if known := c.machines[record.ID]; known != nil && *known == *record {
		return
	}
	c.machines[record.ID] = record
	c.eachShard(func(s *shard.Shard) { s.UpdateMachine(record.ID, record) })
}

// deleteRemovedMachines deletes the machines whose records were removed from the store. It is
// called only when the cache has advanced to a new revision. A machine that a transaction moves to
// another key of its group is therefore not deleted, whatever the order in which the cache reports
// the transaction's mutations.
func (c *Controller) deleteRemovedMachines() {
	for _, id := range c.rosterIndex.takeRemoved() {
		delete(c.machines, id)
		delete(c.enrolment.removals, id)
		c.eachShard(func(s *shard.Shard) { s.UpdateMachine(id, nil) })
	}
}

// rosterLevels returns the rosters of a group from the cache, by level.
func (c *Controller) rosterLevels(group int) []shard.Roster {
	var rosters []shard.Roster
	for level := 0; ; level++ {
		key := rosterKey(group, level)
		entry, ok := c.store.Get(key)
		if !ok {
			return rosters
		}
		var roster shard.Roster
		if err := protocol.Decode(entry.Value, &roster); err != nil {
			slog.Error("controller: roster not decoded", "key", key, "error", err)
		}
		rosters = append(rosters, roster)
	}
}

// rosterTransaction returns the conditions and mutations that apply a change to a group's machines.
// The conditions cover all levels, and the first level that does not exist yet, because an added
// machine must not be in any level.
func (c *Controller) rosterTransaction(group int, change *rosterChange, nonce string) (conditions []protocol.Condition, mutations []protocol.Mutation) {
	rosters := c.rosterLevels(group)
	state := &c.settings.Deployment.State
	limit := int(state.ValueKB * 1024 * rosterFillRatio)
	changed, hasMoved := change.distribute(rosters, limit, state.TxnOps, c.allOwnersSupportRosterMoves())
	for level := range len(rosters) + max(1, len(changed)) {
		key := rosterKey(group, level)
		conditions = append(conditions, c.store.UnchangedCondition(key))
		if roster, ok := changed[level]; ok {
			roster.Nonce = nonce
			mutations = append(mutations, protocol.Mutation{Put: key, Value: protocol.Encode(&roster)})
		}
	}
	if hasMoved { // the transaction fails if a shard has a new owner, which may run an older version
		for shardID := range c.controllerNames {
			conditions = append(conditions, c.store.UnchangedCondition(election.ShardKey(shardID)))
		}
	}
	return conditions, mutations
}

// allOwnersSupportRosterMoves reports whether, according to the cache, the owners of all shards can
// handle a machine that moves from one key to another. An older version treats a machine that is
// removed from a key as deleted, and would start its tasks elsewhere although they still run.
func (c *Controller) allOwnersSupportRosterMoves() bool {
	for shardID := range c.controllerNames {
		owner := c.registry.OwnerOf(election.ShardKey(shardID))
		if owner == "" || owner == c.settings.Name {
			continue
		}
		if member := c.members.peers[owner]; member == nil || !member.supportsDependencies() {
			return false
		}
	}
	return true
}

// ReassignMachine transfers a machine from a shard owned here to another shard, under the
// condition that guard returns. isAllowed is called when the transaction is built; if it returns
// false, nothing is written. done receives whether the transaction was applied.
func (c *Controller) ReassignMachine(id string, toShard int, guard func() protocol.Condition, isAllowed func() bool, done func(bool)) {
	c.store.Write(kvstore.PriorityNormal, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			if !isAllowed() {
				return nil, nil
			}
			record := c.machines[id]
			if record == nil {
				return nil, nil
			}
			moved := *record
			moved.Shard = toShard
			change := rosterChange{replace: map[string]shard.MachineRecord{id: moved}}
			conditions, mutations := c.rosterTransaction(rosterGroupOf(id), &change, nonce)
			return append(conditions, guard()), mutations
		},
		Done: func(applied bool, _ uint64) { done(applied) },
	})
}
