package node

import (
	"maps"
	"slices"

	"curlewspool/internal/part"
)

// This file spreads a group's machines over the values that hold them.

// rosterChange is what is to become of a group's machines.
type rosterChange struct {
	add     []*part.MachineRecord // in no level yet
	remove  map[string]bool
	replace map[string]part.MachineRecord
}

// touches tells whether a level has a machine that is to be removed or replaced.
func (c *rosterChange) touches(r *part.Roster) bool {
	return slices.ContainsFunc(r.Machines, func(m part.MachineRecord) bool {
		_, replaced := c.replace[m.ID]
		return replaced || c.remove[m.ID]
	})
}

// spread works out which levels are to be written, and with what, so that each of them
// stays within limit and they are most at the most: one transaction carries them all.
// A level that was written under a larger limit is taken apart when it is to change, if
// apart allows it, and otherwise, or if that takes more levels than a transaction holds,
// left as it is, changes and all. What finds no room is left for the next transaction.
// moved tells that a machine is to go from one level to another.
func (c *rosterChange) spread(levels []part.Roster, limit, most int, apart bool) (out map[int]part.Roster, moved bool) {
	out = map[int]part.Roster{}
	next := len(levels) // the first level that does not exist
	for i := range levels {
		if !c.touches(&levels[i]) {
			continue
		}
		pieces := c.pieces(&levels[i], limit)
		if len(out)+len(pieces) > most || len(pieces) > 1 && !apart {
			continue
		}
		out[i], moved = pieces[0], moved || len(pieces) > 1
		for _, piece := range pieces[1:] {
			out[next] = piece
			next++
		}
	}
	c.fill(out, levels, next, limit, most)
	return out, moved
}

// pieces is what is left of a level, cut to fit; one at least.
func (c *rosterChange) pieces(r *part.Roster, limit int) []part.Roster {
	out, size := []part.Roster{{}}, 0
	for _, m := range r.Machines {
		if c.remove[m.ID] {
			continue
		}
		if now, ok := c.replace[m.ID]; ok {
			m = now
		}
		if size > 0 && size+m.Size() > limit {
			out, size = append(out, part.Roster{}), 0
		}
		last := &out[len(out)-1]
		last.Machines, size = append(last.Machines, m), size+m.Size()
	}
	return out
}

// fill puts what is to be added where there is room: in levels that are written anyhow,
// in others, in new ones.
func (c *rosterChange) fill(out map[int]part.Roster, levels []part.Roster, next, limit, most int) {
	add := c.add
	for _, i := range slices.Sorted(maps.Keys(out)) {
		r := out[i]
		add = r.Fill(add, limit)
		out[i] = r
	}
	for i := 0; len(add) > 0 && len(out) < most && i <= next; i++ {
		if _, written := out[i]; written {
			continue
		}
		var r part.Roster
		if i < len(levels) {
			r.Machines = slices.Clone(levels[i].Machines)
		}
		before := len(add)
		if add = r.Fill(add, limit); len(add) < before {
			out[i] = r
			next = max(next, i+1)
		}
	}
}
