package fleet

import (
	"fmt"
	"testing"

	"curlewspool/internal/part"
	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
)

func cloud() *Fleet {
	return &Fleet{s: &settings.Settings{Operators: settings.Defaults()}, booting: map[string]booting{}, types: map[string]*wire.MachineType{
		"quick": {Name: "quick", Cores: 10, Memory: 99, Boot: 20, Zones: []string{"a"}},
		"slow":  {Name: "slow", Cores: 4, Memory: 99, Boot: 50, Zones: []string{"a"}},
	}}
}

func there(n int, spot bool) []Known {
	var out []Known
	for i := 0; i < n; i++ {
		out = append(out, Known{fmt.Sprintf("%v-%d", spot, i), &part.MachineRecord{Type: "quick", Zone: "a", Spot: spot}})
	}
	return out
}

func array(tasks int, estimate, waited float64, due ...float64) Gap {
	return Gap{Job: &wire.Job{Shape: wire.Array, Cores: 1, Memory: 1, Spot: true, Estimate: estimate}, Tasks: tasks, Waited: waited, Due: due}
}

// Ordinary machines are rented for spot work by what is due, not by what waits:
// found on grown days, where hundreds were rented for a first rush.
func TestDemand(t *testing.T) {
	for _, c := range []struct {
		name        string
		known       []Known
		gaps        []Gap
		busy        Busy
		quick, slow bool // more of the type are wanted
		spared      bool
	}{
		{"nothing waits", there(2, true), nil, Busy{}, false, false, true},
		{"in time on spot machines", there(4, true), []Gap{array(100, 30, 0, 300)}, Busy{}, false, false, true},
		{"late without more", there(1, true), []Gap{array(100, 30, 0, 180)}, Busy{}, true, true, false},
		{"due before a slow machine is up for long", there(1, true), []Gap{array(100, 30, 0, 110)}, Busy{}, true, false, false},
		{"too late for either: the next deadline counts", there(1, true), []Gap{array(20, 30, 80, 110, 500)}, Busy{}, false, false, true},
		{"in time only with the ordinary ones that are there", append(there(1, true), there(3, false)...),
			[]Gap{array(100, 30, 0, 150)}, Busy{}, false, false, false},
		{"gangs hold the ordinary ones", append(there(1, true), there(3, false)...),
			[]Gap{array(100, 30, 0, 150)}, Busy{Cores: 30}, true, true, false},
	} {
		d := cloud().demand(c.known, nil, c.gaps, c.busy, 0)
		if quick, slow := d.lacks(20) > 0, d.lacks(50) > 0; quick != c.quick || slow != c.slow || d.spared != c.spared {
			t.Errorf("%s: quick %v, slow %v, spared %v; want %v, %v, %v", c.name, quick, slow, d.spared, c.quick, c.slow, c.spared)
		}
	}
}
