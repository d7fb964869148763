package simulator

import (
	"testing"

	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// What controllers say a day cost, by cause, is what the cloud would charge for the
// machines that were there: each second of each machine once, whoever owned it.
func TestRentalCostByCause(t *testing.T) {
	cluster := NewCluster(71)
	cluster.ServeAPI()
	addMachines(cluster, 6, 0)
	cluster.Cloud.Capacity[Offer{"small", "a", true}] = 3
	cluster.Submit(10, NewSubmission("wk-1", protocol.ShapeArray, 60, 1, 12))
	cluster.Submit(12, NewSubmission("wk-2", protocol.ShapeGang, 2, 4, 15))
	cluster.Start()
	charged := 0.0
	var each func()
	each = func() { // ten times a second
		for _, machine := range cluster.Machines {
			if !machine.deleted {
				charged += machine.machineType.HourlyPrice(machine.spot) / 36000
			}
		}
		cluster.after(100e6, each)
	}
	cluster.At(5, each)
	spent := func() shard.CostByCause {
		sum := shard.CostByCause{}
		for _, name := range cluster.runningControllers() {
			for cause, v := range cluster.Controllers[name].Controller.DebugState().Spent {
				sum[cause] += v
			}
		}
		return sum
	}
	before := shard.CostByCause{}
	cluster.At(5, func() { before = spent() })
	cluster.Run(90)
	total, by := 0.0, spent()
	for cause, v := range by {
		by[cause] = v - before[cause]
		total += by[cause]
	}
	if total < 0.93*charged || total > 1.02*charged {
		t.Errorf("told %.4f of %.4f charged: %v", total, charged, by)
	}
	for _, cause := range []shard.CostCause{shard.CostRunning, shard.CostStarting, shard.CostIdle, "boot"} {
		if by[cause] <= 0 {
			t.Errorf("nothing was paid for %s: %v", cause, by)
		}
	}
	// 60 tasks of about 12 s on a core and a gang of 8 cores for about 13.5 s, on
	// machines of four: some on spot machines, and seen a report late.
	worth := (60*12 + 8*13.5) / 4 / 3600
	var small protocol.MachineType
	for _, m := range cluster.Cloud.Types {
		if m.Name == "small" {
			small = m
		}
	}
	if ran := by[shard.CostRunning]; ran < 0.8*worth*small.SpotPrice || ran > 1.3*worth*small.OnDemandPrice {
		t.Errorf("%.4f was paid for what ran, which is worth %.4f to %.4f", ran, worth*small.SpotPrice, worth*small.OnDemandPrice)
	}
}
