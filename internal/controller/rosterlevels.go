package controller

import (
	"maps"
	"slices"

	"curlewspool/internal/shard"
)

// This file spreads a group's machines over the values that hold them.

// rosterChange is what is to become of a group's machines.
type rosterChange struct {
	add     []*shard.MachineRecord // in no level yet
	remove  map[string]bool
	replace map[string]shard.MachineRecord
}

// affects tells whether a level has a machine that is to be removed or replaced.
func (c *rosterChange) affects(roster *shard.Roster) bool {
	return slices.ContainsFunc(roster.Machines, func(m shard.MachineRecord) bool {
		_, replaced := c.replace[m.ID]
		return replaced || c.remove[m.ID]
	})
}

// distribute works out which levels are to be written, and with what, so that each of them
// stays within limit and they are most at the most: one transaction carries them all.
// A level that was written under a larger limit is taken apart when it is to change, if
// apart allows it, and otherwise, or if that takes more levels than a transaction holds,
// left as it is, changes and all. What finds no room is left for the next transaction.
// moved tells that a machine is to go from one level to another.
func (c *rosterChange) distribute(levels []shard.Roster, limit, maxLevels int, maySplit bool) (written map[int]shard.Roster, hasMoved bool) {
	written = map[int]shard.Roster{}
	next := len(levels) // the first level that does not exist
	for i := range levels {
		if !c.affects(&levels[i]) {
			continue
		}
		pieces := c.split(&levels[i], limit)
		if len(written)+len(pieces) > maxLevels || len(pieces) > 1 && !maySplit {
			continue
		}
		written[i], hasMoved = pieces[0], hasMoved || len(pieces) > 1
		for _, piece := range pieces[1:] {
			written[next] = piece
			next++
		}
	}
	c.fill(written, levels, next, limit, maxLevels)
	return written, hasMoved
}

// split is what is left of a level, cut to fit; one at least.
func (c *rosterChange) split(roster *shard.Roster, limit int) []shard.Roster {
	pieces, size := []shard.Roster{{}}, 0
	for _, m := range roster.Machines {
		if c.remove[m.ID] {
			continue
		}
		if now, ok := c.replace[m.ID]; ok {
			m = now
		}
		if size > 0 && size+m.EncodedSize() > limit {
			pieces, size = append(pieces, shard.Roster{}), 0
		}
		last := &pieces[len(pieces)-1]
		last.Machines, size = append(last.Machines, m), size+m.EncodedSize()
	}
	return pieces
}

// fill puts what is to be added where there is room: in levels that are written anyhow,
// in others, in new ones.
func (c *rosterChange) fill(written map[int]shard.Roster, levels []shard.Roster, next, limit, maxLevels int) {
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
