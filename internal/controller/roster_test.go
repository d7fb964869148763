package controller

import (
	"fmt"
	"testing"

	"curlewspool/internal/agent"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
	"curlewspool/internal/shard"
)

// newFiveControllers controllers: n0, n2 and n4 in zone a, n1 and n3 in zone b.
func newFiveControllers() *Controller {
	n := &Controller{settings: &settings.Settings{}, machines: map[string]*shard.MachineRecord{}, enrolment: newPendingEnrolments(), largeShapes: map[string]shard.LargeJob{},
		machineTypes: map[string]*protocol.MachineType{"small": {Name: "small", Cores: 4, MemoryGB: 16}, "big": {Name: "big", Cores: 32, MemoryGB: 128}}}
	for i := 0; i < 5; i++ {
		name := fmt.Sprintf("n%d", i)
		n.controllerNames = append(n.controllerNames, name)
		n.settings.Members = append(n.settings.Members, settings.Member{Name: name, Zone: []string{"a", "b"}[i%2]})
	}
	return n
}

func (c *Controller) addMachines(count int, typ, zone string, spot bool, extra float64) {
	for i := 0; i < count; i++ {
		rec := &shard.MachineRecord{ID: fmt.Sprintf("%s-%s-%v-%d", typ, zone, spot, i), Type: typ, Zone: zone, Spot: spot}
		rec.Shard = c.shardFor(rec, extra-float64(i+1)*c.machineTypes[typ].Cores)
		c.machines[rec.ID] = rec
	}
}

// coresAndShards counts the cores in each part, and the parts that a type and zone is in.
func (c *Controller) coresAndShards(typ, zone string) (cores [5]float64, parts int) {
	var in [5]bool
	for _, m := range c.machines {
		cores[m.Shard] += c.machineTypes[m.Type].Cores
		if m.Type == typ && m.Zone == zone && !in[m.Shard] {
			in[m.Shard] = true
			parts++
		}
	}
	return cores, parts
}

// Found on grown days: gangs of eight waited for machines to be lent, since the
// few large ones were spread over all parts; and a cut between zones parted
// machines from owners in the other zone.
func TestSimilarMachinesShareShard(t *testing.T) {
	n := newFiveControllers()
	all := 17*32.0 + 22*32 + 500*4
	n.addMachines(17, "big", "a", false, all)
	n.addMachines(22, "big", "b", false, all-17*32)
	n.addMachines(500, "small", "b", false, 500*4)
	for _, zone := range []string{"a", "b"} {
		if _, parts := n.coresAndShards("big", zone); parts > 2 {
			t.Errorf("big machines of zone %s are in %d parts", zone, parts)
		}
	}
	cores, _ := n.coresAndShards("", "")
	for k, c := range cores {
		if equal := all / 5; c > equal*(1+maxShardImbalance)+32 || c < equal/2 {
			t.Errorf("part %d has %v cores of %v", k, c, all)
		}
	}
}

// Spot machines are shared equally by themselves: an array is cut into equal
// chunks, and a part without any would use ordinary machines beside idle ones.
func TestSpotMachinesSpreadOverShards(t *testing.T) {
	n := newFiveControllers()
	n.addMachines(20, "big", "a", false, 20*32)
	n.addMachines(50, "small", "a", true, 0)
	var spot [5]int
	for _, m := range n.machines {
		if m.Spot {
			spot[m.Shard]++
		}
	}
	for k, c := range spot {
		if c < 5 || c > 15 {
			t.Errorf("part %d has %d of 50 spot machines", k, c)
		}
	}
}

// A gang goes to a part that can hold it in one zone.
func TestGangEligibleShards(t *testing.T) {
	n := newFiveControllers()
	for i, k := range []int{0, 0, 1, 1, 1, 2, 2, 2} {
		id := fmt.Sprintf("m-%d", i)
		n.machines[id] = &shard.MachineRecord{ID: id, Type: "big", Zone: []string{"a", "b", "b"}[k], Shard: k}
	}
	n.machines["m-7"].Zone = "a" // part 2 has three, but in two zones
	j := &protocol.Job{Shape: protocol.ShapeGang, Tasks: 3, Cores: 30, MemoryGB: 100, SingleZone: true}
	if got := fmt.Sprint(n.eligibleShards(j)); got != "[false true false false false]" {
		t.Errorf("a gang of three may go to %s", got)
	}
	j.Tasks = 4 // larger than any: where most of it fits
	if got := fmt.Sprint(n.eligibleShards(j)); got != "[false true false false false]" {
		t.Errorf("a gang of four may go to %s", got)
	}
	j.Tasks, j.Shape = 1, protocol.ShapeArray
	if got := fmt.Sprint(n.eligibleShards(j)); got != "[true true true false false]" {
		t.Errorf("an array may go to %s", got)
	}
}

// Spares are kept in the zone that has most of them; found on a reading, a zone
// with a few more than the machine's own, but too few, hid one with enough.
func TestSpareMachinesInBestZone(t *testing.T) {
	n := newFiveControllers()
	st := &peermsg.ShardStatus{}
	for i, zone := range []string{"a", "a", "b", "c", "c", "c"} {
		st.FreeCapacity = append(st.FreeCapacity, &peermsg.FreeCapacity{Type: "big", Zone: zone, Machine: fmt.Sprintf("m-%d", i), Reclaimable: true})
	}
	n.ownStatus = &peermsg.Status{Shards: []*peermsg.ShardStatus{st}}
	j := &protocol.Job{Shape: protocol.ShapeGang, Tasks: 3, Cores: 30, MemoryGB: 100, SingleZone: true}
	for i, want := range []bool{true, true, true, false, false, false} {
		m := &shard.Machine{Machine: &agent.Machine{ID: st.FreeCapacity[i].Machine, Type: "big", Zone: st.FreeCapacity[i].Zone}}
		if got := n.HasSpareFor(m, j); got != want {
			t.Errorf("enough others for %s in %s: %v", m.ID, m.Zone, got)
		}
	}
}
