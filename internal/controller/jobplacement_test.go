package controller

import (
	"fmt"
	"slices"
	"testing"

	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// TestGangEligibleShards: a gang goes to a shard that can hold it in one zone.
func TestGangEligibleShards(t *testing.T) {
	c := newFiveControllers()
	for i, shardID := range []int{0, 0, 1, 1, 1, 2, 2, 2} {
		id := fmt.Sprintf("m-%d", i)
		zone := []string{"a", "b", "b"}[shardID]
		c.machines[id] = &shard.MachineRecord{ID: id, Type: "big", Zone: zone, Shard: shardID}
	}
	c.machines["m-7"].Zone = "a" // shard 2 has three machines, but in two zones
	gangOf := func(tasks int) protocol.Job {
		return protocol.Job{Shape: protocol.ShapeGang, Tasks: tasks, Cores: 30, MemoryGB: 100, SingleZone: true}
	}
	for _, test := range []struct {
		name string
		job  protocol.Job
		want []bool
	}{
		{"gang of three", gangOf(3), []bool{false, true, false, false, false}},
		{"gang larger than any shard goes where most of it fits", gangOf(4), []bool{false, true, false, false, false}},
		{
			"array",
			protocol.Job{Shape: protocol.ShapeArray, Tasks: 1, Cores: 30, MemoryGB: 100, SingleZone: true},
			[]bool{true, true, true, false, false},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := c.eligibleShards(&test.job); !slices.Equal(got, test.want) {
				t.Errorf("eligible shards %v, want %v", got, test.want)
			}
		})
	}
}
