package controller

import (
	"fmt"
	"slices"
	"testing"

	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
	"curlewspool/internal/shard"
)

// rostersWith makes levels with so many machines each.
func rostersWith(counts ...int) (levels []shard.Roster) {
	n := 0
	for _, count := range counts {
		var r shard.Roster
		for range count {
			n++
			r.Machines = append(r.Machines, shard.MachineRecord{ID: fmt.Sprintf("i-%06d", n), Address: "10.1.0.232:9000", Type: "johnboat", Zone: "delta-room"})
		}
		levels = append(levels, r)
	}
	return levels
}

// machineIDs lists the machines of levels as they are after some were written.
func machineIDs(levels []shard.Roster, out map[int]shard.Roster) (ids []string) {
	for i := range len(levels) + len(out) {
		r, written := out[i]
		if !written && i < len(levels) {
			r = levels[i]
		}
		for _, m := range r.Machines {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// Levels that were written under a limit of 8 or 32 KB are changed under one of 2 KB, with
// 8 or 4 changes a transaction: what is written fits, in values and in number, no machine
// is lost or doubled, and whoever may not take levels apart leaves them as they are.
func TestRosterLevelsFitLowerLimits(t *testing.T) {
	limit := 1638 // rosterShare of 2 KB
	for _, c := range []struct {
		what   string
		counts []int
		most   int
		apart  bool
		moved  bool // what is to change of the first level changes
	}{
		{"small levels", []int{10, 5}, 4, false, true},
		{"one of 8 KB", []int{79}, 8, true, true},
		{"one of 8 KB, old owners about", []int{79}, 8, false, false},
		{"one of 8 KB and others", []int{79, 30, 3}, 8, true, true},
		{"one of 6 KB, few changes a transaction", []int{70}, 4, true, true},
		{"one of 32 KB, few changes a transaction", []int{320}, 4, true, false},
		{"none", nil, 4, true, false},
	} {
		levels := rostersWith(c.counts...)
		before := machineIDs(levels, nil)
		change := rosterChange{remove: map[string]bool{}, replace: map[string]shard.MachineRecord{}}
		if len(before) > 0 {
			change.remove[before[0]] = true
			moved := levels[0].Machines[1]
			moved.Shard = 3
			change.replace[before[1]] = moved
		}
		added := rostersWith(40)[0].Machines
		for i := range added {
			added[i].ID = fmt.Sprintf("j-%06d", i)
			change.add = append(change.add, &added[i])
		}
		out, _ := change.distribute(levels, limit, c.most, c.apart)
		if len(out) > c.most {
			t.Errorf("%s: %d levels written, %d are allowed", c.what, len(out), c.most)
		}
		for i, r := range out {
			size := 0
			for _, m := range r.Machines {
				size += m.EncodedSize()
			}
			if size > limit || len(protocol.Encode(&r)) > 2048 {
				t.Errorf("%s: level %d has %d bytes", c.what, i, size)
			}
		}
		after := machineIDs(levels, out)
		if len(slices.Compact(slices.Clone(after))) != len(after) {
			t.Errorf("%s: a machine is there twice", c.what)
		}
		for i, id := range before {
			if gone := !slices.Contains(after, id); gone != (i == 0 && c.moved) {
				t.Errorf("%s: %s gone: %v", c.what, id, gone)
			}
		}
		if len(before) > 0 {
			written := slices.ContainsFunc(out[0].Machines, func(m shard.MachineRecord) bool { return m.ID == before[1] && m.Shard == 3 })
			if written != c.moved {
				t.Errorf("%s: replaced %v, want %v", c.what, written, c.moved)
			}
		}
		if room := c.most - len(out); room > 0 && !slices.Contains(after, "j-000039") {
			t.Errorf("%s: not all machines were added though %d levels more could be written", c.what, room)
		}
	}
}

// A machine that moves from one key to another of its group is not gone, in whatever order
// the two changes are told; one that leaves without is.
func TestMachineMoveBetweenRosterKeysIsNotARemoval(t *testing.T) {
	for _, newFirst := range []bool{true, false} {
		n := &Controller{settings: &settings.Settings{}, machines: map[string]*shard.MachineRecord{}, machinesByRosterKey: map[string][]string{}, enrolment: newPendingEnrolments(), shards: map[int]*shard.Shard{}}
		levels := rostersWith(3)[0].Machines
		group := rosterGroupOf(levels[0].ID)
		tell := func(level int, machines ...shard.MachineRecord) {
			n.applyRoster(rosterKey(group, level), protocol.Encode(&shard.Roster{Machines: machines}))
		}
		tell(0, levels[0])
		n.dropDepartedMachines()
		if newFirst {
			tell(1, levels[0])
			tell(0)
		} else {
			tell(0)
			tell(1, levels[0])
		}
		n.dropDepartedMachines()
		if n.machines[levels[0].ID] == nil {
			t.Errorf("the new key told first %v: the machine is taken for gone", newFirst)
		}
		tell(1)
		n.dropDepartedMachines()
		if n.machines[levels[0].ID] != nil {
			t.Errorf("the new key told first %v: the machine is not taken for gone", newFirst)
		}
	}
}
