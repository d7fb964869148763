package node

import (
	"fmt"
	"testing"

	"curlewspool/internal/mesh"
	"curlewspool/internal/part"
	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
	"curlewspool/internal/worker"
)

// five controllers: n0, n2 and n4 in zone a, n1 and n3 in zone b.
func five() *Node {
	n := &Node{s: &settings.Settings{}, machines: map[string]*part.MachineRecord{}, enlist: newEnlist(), large: map[string]part.Large{},
		types: map[string]*wire.MachineType{"small": {Name: "small", Cores: 4, Memory: 16}, "big": {Name: "big", Cores: 32, Memory: 128}}}
	for i := 0; i < 5; i++ {
		name := fmt.Sprintf("n%d", i)
		n.names = append(n.names, name)
		n.s.Members = append(n.s.Members, settings.Member{Name: name, Zone: []string{"a", "b"}[i%2]})
	}
	return n
}

func (n *Node) give(count int, typ, zone string, spot bool, extra float64) {
	for i := 0; i < count; i++ {
		rec := &part.MachineRecord{ID: fmt.Sprintf("%s-%s-%v-%d", typ, zone, spot, i), Type: typ, Zone: zone, Spot: spot}
		rec.Part = n.partFor(rec, extra-float64(i+1)*n.types[typ].Cores)
		n.machines[rec.ID] = rec
	}
}

// spread counts the cores in each part, and the parts that a type and zone is in.
func (n *Node) spread(typ, zone string) (cores [5]float64, parts int) {
	var in [5]bool
	for _, m := range n.machines {
		cores[m.Part] += n.types[m.Type].Cores
		if m.Type == typ && m.Zone == zone && !in[m.Part] {
			in[m.Part] = true
			parts++
		}
	}
	return cores, parts
}

// Found on grown days: gangs of eight waited for machines to be lent, since the
// few large ones were spread over all parts; and a cut between zones parted
// machines from owners in the other zone.
func TestAlikeMachinesShareAPart(t *testing.T) {
	n := five()
	all := 17*32.0 + 22*32 + 500*4
	n.give(17, "big", "a", false, all)
	n.give(22, "big", "b", false, all-17*32)
	n.give(500, "small", "b", false, 500*4)
	for _, zone := range []string{"a", "b"} {
		if _, parts := n.spread("big", zone); parts > 2 {
			t.Errorf("big machines of zone %s are in %d parts", zone, parts)
		}
	}
	cores, _ := n.spread("", "")
	for k, c := range cores {
		if equal := all / 5; c > equal*(1+uneven)+32 || c < equal/2 {
			t.Errorf("part %d has %v cores of %v", k, c, all)
		}
	}
}

// Spot machines are shared equally by themselves: an array is cut into equal
// chunks, and a part without any would use ordinary machines beside idle ones.
func TestSpotMachinesAreShared(t *testing.T) {
	n := five()
	n.give(20, "big", "a", false, 20*32)
	n.give(50, "small", "a", true, 0)
	var spot [5]int
	for _, m := range n.machines {
		if m.Spot {
			spot[m.Part]++
		}
	}
	for k, c := range spot {
		if c < 5 || c > 15 {
			t.Errorf("part %d has %d of 50 spot machines", k, c)
		}
	}
}

// A gang goes to a part that can hold it in one zone.
func TestGangsGoWhereTheyFit(t *testing.T) {
	n := five()
	for i, k := range []int{0, 0, 1, 1, 1, 2, 2, 2} {
		id := fmt.Sprintf("m-%d", i)
		n.machines[id] = &part.MachineRecord{ID: id, Type: "big", Zone: []string{"a", "b", "b"}[k], Part: k}
	}
	n.machines["m-7"].Zone = "a" // part 2 has three, but in two zones
	j := &wire.Job{Shape: wire.Gang, Tasks: 3, Cores: 30, Memory: 100, OneZone: true}
	if got := fmt.Sprint(n.eligible(j)); got != "[false true false false false]" {
		t.Errorf("a gang of three may go to %s", got)
	}
	j.Tasks = 4 // larger than any: where most of it fits
	if got := fmt.Sprint(n.eligible(j)); got != "[false true false false false]" {
		t.Errorf("a gang of four may go to %s", got)
	}
	j.Tasks, j.Shape = 1, wire.Array
	if got := fmt.Sprint(n.eligible(j)); got != "[true true true false false]" {
		t.Errorf("an array may go to %s", got)
	}
}

// Spares are kept in the zone that has most of them; found on a reading, a zone
// with a few more than the machine's own, but too few, hid one with enough.
func TestSparesInTheBestZone(t *testing.T) {
	n := five()
	st := &mesh.PartStatus{}
	for i, zone := range []string{"a", "a", "b", "c", "c", "c"} {
		st.Free = append(st.Free, &mesh.Room{Type: "big", Zone: zone, Machine: fmt.Sprintf("m-%d", i), Whole: true})
	}
	n.status = &mesh.Status{Parts: []*mesh.PartStatus{st}}
	j := &wire.Job{Shape: wire.Gang, Tasks: 3, Cores: 30, Memory: 100, OneZone: true}
	for i, want := range []bool{true, true, true, false, false, false} {
		m := &part.Machine{Machine: &worker.Machine{ID: st.Free[i].Machine, Type: "big", Zone: st.Free[i].Zone}}
		if got := n.Spare(m, j); got != want {
			t.Errorf("enough others for %s in %s: %v", m.ID, m.Zone, got)
		}
	}
}
