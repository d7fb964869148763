package fleet

import (
	"math"
	"slices"

	"curlewspool/internal/part"
	"curlewspool/internal/wire"
)

// zones says where machines help a gang, of which each zone may take but so many tasks.
// For what may be anywhere it counts nothing.
//
// A gang apart needs room in two zones at once, and one in one zone all of it there.
// Rented where they were cheapest, machines came up in the wrong zone, stood idle, were
// returned, and the next were rented, for ever (random day 300683: a gang apart, whose
// part had lost the last machine of a zone, waited for 370 s beside 37 rentals). A gang
// in one zone nearly always has its machines there, so only one that has waited for as
// long as machines may boot is looked after in this way.
type zones struct {
	most  int            // tasks in a zone; 0: nothing is counted
	one   bool           // all of it in one zone
	only  string         // that one; "": not chosen yet
	count map[string]int // tasks that have room there, or are to have it
	free  int            // of them, in what is free now
}

func (f *Fleet) zonesOf(g *Gap, bins []*bin) (z zones) {
	j := g.Job
	switch {
	case j.Shape != wire.Gang || j.Tasks < 2:
		return z
	case j.Spread:
		z.most = part.Half(j)
	case j.OneZone && g.Waited > f.patience():
		z.most, z.one = j.Tasks, true
		z.only = f.bestZone(g, bins)
	default:
		return z
	}
	z.count = map[string]int{}
	if z.one && z.only == "" {
		return z // all of it anew
	}
	for zone, k := range g.Free {
		z.free += z.took(zone, min(k, z.may(zone)))
	}
	return z
}

// patience is how long the slowest type may take to boot, in seconds.
func (f *Fleet) patience() (s float64) {
	for _, t := range f.types {
		s = max(s, longBoot*t.Boot)
	}
	return s
}

// bestZone is the one that has most for a gang in what is free and what boots, of those
// that have all of it or where the cloud has not refused the rest; "" if there is none:
// the first machine asked for decides then.
func (f *Fleet) bestZone(g *Gap, bins []*bin) (best string) {
	has, open := map[string]int{}, map[string]bool{}
	for zone, k := range g.Free {
		has[zone] += k
	}
	for _, b := range bins {
		if part.Allows(g.Job, b.t, b.zone, b.spot) {
			has[b.zone] += (&wire.MachineType{Cores: b.cores, GPUs: b.gpus, Memory: b.mem}).Fits(g.Job, g.Tasks)
		}
	}
	var all []string
	for _, t := range f.types {
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				if part.Allows(g.Job, t, zone, spot) {
					all = append(all, zone)
					open[zone] = open[zone] || f.refused[option{t.Name, zone, spot}].times == 0
				}
			}
		}
	}
	slices.Sort(all)
	for _, zone := range all {
		if (has[zone] >= g.Job.Tasks || open[zone]) && has[zone] > has[best] {
			best = zone
		}
	}
	return best
}

// may is how many more tasks a zone may take.
func (z *zones) may(zone string) int {
	switch {
	case z.most == 0:
		return math.MaxInt32
	case z.only != "" && z.only != zone:
		return 0
	}
	return z.most - z.count[zone]
}

// took counts tasks into a zone and gives their number.
func (z *zones) took(zone string, k int) int {
	if z.most > 0 && k > 0 {
		z.count[zone] += k
		if z.one {
			z.only = zone
		}
	}
	return k
}
