package controller

import (
	"maps"
	"slices"

	"curlewspool/internal/shard"
)

// rosterChange is a pending change of the machines in a roster group. The records of the group
// are distributed over several values, its levels, because the size of a value is limited.
type rosterChange struct {
	add     []*shard.MachineRecord // machines that are in no level yet
	remove  map[string]bool
	replace map[string]shard.MachineRecord
}

// affects reports whether a level contains a machine that the change removes or replaces.
func (c *rosterChange) affects(roster *shard.Roster) bool {
	return slices.ContainsFunc(roster.Machines, func(m shard.MachineRecord) bool {
		_, replaced := c.replace[m.ID]
		return replaced || c.remove[m.ID]
	})
}

// distribute returns the levels to write in one transaction, by index: at most maxLevels of them,
// with at most limit bytes each. A level that was written under a larger limit is split when it
// changes. A level is not written, and its changes are omitted, if the transaction cannot hold all
// of its pieces, or if it needs to be split and maySplit is false. Added machines that do not fit
// are omitted too and must be added by a later transaction. hasMoved reports whether a machine
// moves from one level to another.
func (c *rosterChange) distribute(levels []shard.Roster, limit, maxLevels int, maySplit bool) (written map[int]shard.Roster, hasMoved bool) {
	written = map[int]shard.Roster{}
	next := len(levels) // the first level that does not exist
	for i := range levels {
		if !c.affects(&levels[i]) {
			continue
		}
		pieces := c.split(&levels[i], limit)
		isSplit := len(pieces) > 1
		if len(written)+len(pieces) > maxLevels || isSplit && !maySplit {
			continue
		}
		written[i] = pieces[0]
		hasMoved = hasMoved || isSplit
		for _, piece := range pieces[1:] {
			written[next] = piece
			next++
		}
	}
	c.placeAddedMachines(written, levels, next, limit, maxLevels)
	return written, hasMoved
}

// split applies the removals and replacements to a level and divides the result into pieces of at
// most limit bytes. It returns at least one piece.
func (c *rosterChange) split(roster *shard.Roster, limit int) []shard.Roster {
	pieces := []shard.Roster{{}}
	size := 0 // encoded size of the machines in the last piece
	for _, machine := range roster.Machines {
		if c.remove[machine.ID] {
			continue
		}
		if replacement, ok := c.replace[machine.ID]; ok {
			machine = replacement
		}
		if size > 0 && size+machine.EncodedSize() > limit {
			pieces = append(pieces, shard.Roster{})
			size = 0
		}
		last := &pieces[len(pieces)-1]
		last.Machines = append(last.Machines, machine)
		size += machine.EncodedSize()
	}
	return pieces
}

// placeAddedMachines adds the new machines to levels with free space: first to levels that are
// written anyway, then to other levels, then to new ones. next is the index of the first new
// level.
func (c *rosterChange) placeAddedMachines(written map[int]shard.Roster, levels []shard.Roster, next, limit, maxLevels int) {
	remaining := c.add
	for _, i := range slices.Sorted(maps.Keys(written)) {
		roster := written[i]
		remaining = roster.AddUpTo(remaining, limit)
		written[i] = roster
	}
	for i := 0; len(remaining) > 0 && len(written) < maxLevels && i <= next; i++ {
		if _, isWritten := written[i]; isWritten {
			continue
		}
		var roster shard.Roster
		if i < len(levels) {
			roster.Machines = slices.Clone(levels[i].Machines)
		}
		before := len(remaining)
		if remaining = roster.AddUpTo(remaining, limit); len(remaining) < before {
			written[i] = roster
			next = max(next, i+1)
		}
	}
}
