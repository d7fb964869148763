package controller

import (
	"fmt"
	"testing"

	"curlewspool/internal/agent"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// TestSpareMachinesInBestZone: whole machines are kept in the zone that has most of them. (A
// zone with a few more than the machine's own, but too few, once hid one with enough.)
func TestSpareMachinesInBestZone(t *testing.T) {
	c := newFiveControllers()
	status := &peermsg.ShardStatus{}
	for i, zone := range []string{"a", "a", "b", "c", "c", "c"} {
		status.FreeCapacity = append(status.FreeCapacity, &peermsg.FreeCapacity{
			Type:        "big",
			Zone:        zone,
			Machine:     fmt.Sprintf("m-%d", i),
			Reclaimable: true,
		})
	}
	c.ownStatus = &peermsg.Status{Shards: []*peermsg.ShardStatus{status}}
	job := &protocol.Job{Shape: protocol.ShapeGang, Tasks: 3, Cores: 30, MemoryGB: 100, SingleZone: true}
	for i, want := range []bool{true, true, true, false, false, false} {
		free := status.FreeCapacity[i]
		machine := &shard.Machine{Machine: &agent.Machine{ID: free.Machine, Type: "big", Zone: free.Zone}}
		if got := c.HasSpareFor(machine, job); got != want {
			t.Errorf("enough others for %s in zone %s: %v, want %v", machine.ID, machine.Zone, got, want)
		}
	}
}
