package standin

import (
	"testing"

	"curlewspool/internal/part"
	"curlewspool/internal/wire"
)

// What controllers say a day cost, by cause, is what the cloud would charge for the
// machines that were there: each second of each machine once, whoever owned it.
func TestMoneyByCause(t *testing.T) {
	s := New(71)
	s.API()
	fleet(s, 6, 0)
	s.Cloud.Left["small/a/true"] = 3
	s.Submit(10, Spec("wk-1", wire.Array, 60, 1, 12, nil))
	s.Submit(12, Spec("wk-2", wire.Gang, 2, 4, 15, nil))
	s.Start()
	charged := 0.0
	var each func()
	each = func() { // ten times a second
		for _, w := range s.Workers {
			if !w.gone {
				charged += w.typ.Rate(w.spot) / 36000
			}
		}
		s.after(100e6, each)
	}
	s.At(5, each)
	spent := func() part.Spent {
		sum := part.Spent{}
		for _, n := range s.names() {
			for cause, v := range s.Nodes[n].Node.Describe().Spent {
				sum[cause] += v
			}
		}
		return sum
	}
	before := part.Spent{}
	s.At(5, func() { before = spent() })
	s.Run(90)
	total, by := 0.0, spent()
	for cause, v := range by {
		by[cause] = v - before[cause]
		total += by[cause]
	}
	if total < 0.93*charged || total > 1.02*charged {
		t.Errorf("told %.4f of %.4f charged: %v", total, charged, by)
	}
	for _, cause := range []string{part.Ran, part.Fetched, part.Idled, "boot"} {
		if by[cause] <= 0 {
			t.Errorf("nothing was paid for %s: %v", cause, by)
		}
	}
	// 60 tasks of about 12 s on a core and a gang of 8 cores for about 13.5 s, on
	// machines of four: some on spot machines, and seen a report late.
	worth := (60*12 + 8*13.5) / 4 / 3600
	var small wire.MachineType
	for _, m := range s.Cloud.Types {
		if m.Name == "small" {
			small = m
		}
	}
	if ran := by[part.Ran]; ran < 0.8*worth*small.Spot || ran > 1.3*worth*small.Price {
		t.Errorf("%.4f was paid for what ran, which is worth %.4f to %.4f", ran, worth*small.Spot, worth*small.Price)
	}
}
