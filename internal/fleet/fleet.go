// Package fleet deals with the cloud for the leader: what to rent for work
// that found no room, and what to delete.
package fleet

import (
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"curlewspool/internal/part"
	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
	"curlewspool/internal/world"
)

// Gap is queued work without room.
type Gap struct {
	Job    *wire.Job
	Tasks  int
	Waited float64   // since its submission
	Starts float64   // seconds until it is expected to start where it waits; 0: not known
	Due    []float64 // seconds after submission by which it should be done, rising
	// Free, of a gang, is how many of its tasks would start in each zone now, in its part.
	Free map[string]int
}

// Busy is what runs now, of spot jobs and of others.
type Busy struct {
	Work  float64 // cores times run time that spot jobs may still take
	Cores float64 // that other jobs hold
	Deaf  float64 // cores of machines that hear nothing
}

// Known is a machine with a record.
type Known struct {
	ID  string
	Rec *part.MachineRecord
}

// Fleet belongs to the leader; a new leader starts an empty one and learns
// what boots from the cloud's list.
type Fleet struct {
	w    world.World
	s    *settings.Settings
	addr string
	name string // prefix of request names, never used before
	n    int

	types   map[string]*wire.MachineType
	booting map[string]booting
	late    map[string]bool // of them, those that are overdue
	deleted map[string]time.Duration
	unsure  []*unsure // rentals without answer: asked again under their name
	refused map[option]refusal
	seen    map[string]time.Duration // machines: when last listed

	budget   float64
	budgetAt time.Duration
	listAt   time.Duration
	listing  bool
	page     []wire.ListedMachine
	renting  int
	deleting bool
	spared   bool
	coming   func(rank int) float64
}

type booting struct {
	option
	since time.Duration
	found bool // up already when it was first listed, so not known to be rented
}

type option struct {
	typ, zone string
	spot      bool
}

type refusal struct {
	until time.Duration
	times int
}

type unsure struct {
	req wire.Rental
	at  time.Duration
}

// New makes the fleet of a leader; token makes its request names unique.
func New(w world.World, s *settings.Settings, token uint64) *Fleet {
	return &Fleet{w: w, s: s, addr: s.Services.Cloud, name: fmt.Sprintf("r-%s-%d", s.Name, token),
		booting: map[string]booting{}, deleted: map[string]time.Duration{}, refused: map[option]refusal{}, seen: map[string]time.Duration{},
		budget: s.Deployment.Cloud.RPS, listAt: -time.Hour, coming: func(int) float64 { return 0 }}
}

// Gone tells whether the machine was deleted for certain.
func (f *Fleet) Gone(id string) bool { return f.deleted[id] != 0 }

// Rented tells whether the machine is known to have been rented, by this
// leader or, from the list while it booted, by an earlier one; or may have
// been, by a rental whose answer is missing.
func (f *Fleet) Rented(id string) bool {
	if b, ok := f.booting[id]; ok {
		return !b.found
	}
	return f.n > 0 || len(f.unsure) > 0
}

func (f *Fleet) spend() bool {
	now := f.w.Now()
	rate := f.s.Deployment.Cloud.RPS / 2
	f.budget = min(rate*2, f.budget+rate*(now-f.budgetAt).Seconds())
	f.budgetAt = now
	if f.budget < 1 {
		return false
	}
	f.budget--
	return true
}

const timeout = 4 * time.Second

// Tick rents, lists and deletes. retiring are the machines that their owners
// want deleted; coming is how many cores the spot work of higher ranks than one
// will take that has yet to come; found is told each list, forget machines that
// are surely gone.
func (f *Fleet) Tick(types map[string]*wire.MachineType, known []Known, retiring map[string]bool, gaps []Gap, busy Busy,
	coming func(rank int) float64, found func([]wire.ListedMachine), forget func(ids []string)) {
	f.types, f.coming = types, coming
	now := f.w.Now()
	records := map[string]*part.MachineRecord{}
	for _, k := range known {
		records[k.ID] = k.Rec
		delete(f.booting, k.ID)
	}
	f.remove(records, retiring, now, forget)
	f.list(records, now, found)
	f.late = f.overdue(len(known), now)
	f.rent(known, retiring, gaps, busy, now)
}

// --- deletions ---

func (f *Fleet) remove(records map[string]*part.MachineRecord, retiring map[string]bool, now time.Duration, forget func([]string)) {
	var gone []string // deleted, but the record is still there
	for id := range records {
		if f.Gone(id) {
			gone = append(gone, id)
		}
	}
	forget(gone)
	if f.deleting {
		return
	}
	var ids []string
	for id := range retiring {
		if records[id] != nil && !f.Gone(id) {
			ids = append(ids, id)
		}
	}
	for id, b := range f.booting {
		if t := f.types[b.typ]; t != nil && now-b.since > world.Seconds(t.Boot*f.s.Rent.LateBoots) {
			slog.Info("fleet: never came up", "machine", id, "type", b.typ)
			ids = append(ids, id)
		}
	}
	for id, at := range f.deleted { // and ones the list still shows, see list
		if at == 0 {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 || !f.spend() {
		return
	}
	sort.Strings(ids)
	ids = ids[:min(len(ids), 100)]
	f.deleting = true
	f.w.Call(f.addr, "POST", "/rentals/delete", &wire.MachineNames{Machines: ids}, nil, timeout, func(status int) {
		f.deleting = false
		if status != 200 {
			return // the next tick asks again
		}
		slog.Info("fleet: deleted", "machines", ids)
		for _, id := range ids {
			delete(f.booting, id)
			f.deleted[id] = f.w.Now()
		}
		for opt := range f.refused { // what was returned may be rented again
			delete(f.refused, opt)
		}
		forget(ids)
	})
}

// --- the cloud's list ---

func (f *Fleet) list(records map[string]*part.MachineRecord, now time.Duration, found func([]wire.ListedMachine)) {
	every := world.Seconds(max(f.s.Deployment.Cloud.ListLag, 10/f.s.Deployment.Cloud.RPS))
	if f.listing || now-f.listAt < every || !f.spend() {
		return
	}
	f.listing, f.listAt = true, now
	f.page = f.page[:0]
	f.next("", records, found)
}

func (f *Fleet) next(since string, records map[string]*part.MachineRecord, found func([]wire.ListedMachine)) {
	out := &wire.MachineList{}
	path := "/rentals?limit=500"
	if since != "" {
		path += "&since=" + since
	}
	f.w.Call(f.addr, "GET", path, nil, out, timeout, func(status int) {
		if status != 200 {
			f.listing = false
			return
		}
		f.page = append(f.page, out.Machines...)
		if out.More && len(out.Machines) > 0 {
			f.w.After(world.Seconds(1/f.s.Deployment.Cloud.RPS), func() { f.next(out.Machines[len(out.Machines)-1].ID, records, found) })
			return
		}
		f.listing = false
		f.listed(records)
		found(f.page)
	})
}

// listed learns what boots and what failed. A list is old: it never proves
// that something is gone.
func (f *Fleet) listed(records map[string]*part.MachineRecord) {
	now := f.w.Now()
	for _, m := range f.page {
		if _, gone := f.deleted[m.ID]; gone {
			continue
		}
		switch {
		case m.State == wire.MachineDead:
			f.deleted[m.ID] = 0 // to be deleted
		case records[m.ID] == nil:
			if _, ok := f.booting[m.ID]; !ok {
				b := booting{option{m.Type, m.Zone, m.Spot}, now - world.Seconds(m.Age), false}
				if m.State != wire.Starting {
					b.since, b.found = now, true // it will report
				}
				f.booting[m.ID] = b
			}
		}
	}
	// A machine that was listed and no longer is may be gone without a word.
	// Deleting it proves it. A list may be older than the one before.
	here := map[string]bool{}
	for _, m := range f.page {
		here[m.ID] = true
		f.seen[m.ID] = now
	}
	wait := world.Seconds(max(3*f.s.Deployment.Cloud.ListLag, f.s.Deployment.Workers.Lease/2))
	for id, at := range f.seen {
		_, gone := f.deleted[id]
		switch {
		case records[id] == nil && !here[id]:
			delete(f.seen, id)
		case !here[id] && !gone && now-at > wait:
			slog.Info("fleet: no longer listed", "machine", id)
			f.deleted[id] = 0
		}
	}
	for id, at := range f.deleted {
		if at != 0 && now-at > 10*time.Minute {
			delete(f.deleted, id)
		}
	}
}

// --- rentals ---

type bin struct {
	option
	t                *wire.MachineType
	cores, gpus, mem float64
}

func (b *bin) take(j *wire.Job, n int) int {
	k := 0
	for k < n && b.cores+1e-9 >= j.Cores && b.gpus+1e-9 >= j.GPUs && b.mem+1e-9 >= j.Memory {
		b.cores -= j.Cores
		b.gpus -= j.GPUs
		b.mem -= j.Memory
		k++
		if j.Cores+j.GPUs+j.Memory == 0 {
			return n
		}
	}
	return k
}

// Spared tells that spot jobs are in time without ordinary machines that were
// rented: those take no more of them, empty, and are returned.
func (f *Fleet) Spared() bool { return f.spared }

// Spend adds what the machines that boot cost in a time: those that are in time, and
// those that are overdue (see longBoot), whether they come after all or never.
func (f *Fleet) Spend(took time.Duration, to part.Spent) {
	now := f.w.Now()
	for _, b := range f.booting {
		t := f.types[b.typ]
		if t == nil || b.found {
			continue
		}
		cause := "boot"
		if b.slow(t, now) {
			cause = "overdue"
		}
		to[cause] += t.Rate(b.spot) * took.Hours()
	}
}

// Coming is how many cores boot, and in how many seconds they should be up, on
// average.
func (f *Fleet) Coming() (cores, in float64) {
	now, sum := f.w.Now(), 0.0
	for id, b := range f.booting {
		if t := f.types[b.typ]; t != nil && !f.late[id] {
			cores += t.Cores
			sum += t.Cores * max(0, t.Boot-(now-b.since).Seconds())
		}
	}
	return cores, sum / max(cores, 1)
}

func (f *Fleet) rent(known []Known, retiring map[string]bool, gaps []Gap, busy Busy, now time.Duration) {
	// A rental without an answer is asked again under its name, so that what
	// it rented is known.
	for len(f.unsure) > 0 && f.renting < 2 && f.spend() {
		u := f.unsure[0]
		f.unsure = f.unsure[1:]
		f.ask(u.req, u.at)
	}
	// What may only use ordinary machines comes first, large before small:
	// else small tasks would be counted into the machines that boot for it,
	// and more would be rented than start.
	sort.SliceStable(gaps, func(i, k int) bool {
		if gaps[i].Job.Spot != gaps[k].Job.Spot {
			return !gaps[i].Job.Spot
		}
		if a, b := gaps[i].Job, gaps[k].Job; !a.Spot && a.Cores != b.Cores {
			return a.Cores > b.Cores
		}
		if gaps[i].Job.Rank != gaps[k].Job.Rank {
			return gaps[i].Job.Rank > gaps[k].Job.Rank
		}
		return gaps[i].Waited > gaps[k].Waited
	})
	var bins []*bin
	add := func(o option) *bin {
		t := f.types[o.typ]
		if t == nil {
			return nil
		}
		b := &bin{o, t, t.Cores, t.GPUs, t.Memory}
		bins = append(bins, b)
		return b
	}
	late := map[option]int{}
	for _, id := range slices.Sorted(maps.Keys(f.booting)) {
		if b := f.booting[id]; f.late[id] {
			late[b.option]++
		} else {
			add(b.option)
		}
	}
	for _, u := range f.unsure {
		for i := 0; i < u.req.Count; i++ {
			add(option{u.req.Type, u.req.Zone, u.req.Spot})
		}
	}
	all := f.demand(known, retiring, gaps, busy, now)
	f.spared = all.spared
	want := map[option]int{}
	var order []option
	probed := map[option]bool{}
	for _, g := range gaps {
		n := g.Tasks
		z := f.zonesOf(&g, bins)
		n -= z.free
		for _, b := range bins {
			if n <= 0 {
				break
			}
			if part.Allows(g.Job, b.t, b.zone, b.spot) {
				n -= z.took(b.zone, b.take(g.Job, min(n, z.may(b.zone))))
			}
		}
		for n > 0 {
			o, ok := f.cheapest(g, n, &z, &all, probed, late, now)
			if !ok {
				break
			}
			// What was refused last is asked for one machine, which counts for
			// nothing before it is granted. (Hundreds of spot machines that the
			// cloud did not have were counted as good as there, round after
			// round, and thousands of cores' worth of work was late without the
			// ordinary machines that there were.)
			if f.refused[o].times > 0 {
				probed[o], want[o] = true, 1
				order = append(order, o)
				continue
			}
			b := add(o)
			if g.Job.Spot { // spot machines wanted now count as well
				all.added += b.cores
			}
			k := z.took(o.zone, b.take(g.Job, min(n, z.may(o.zone))))
			if k == 0 {
				break
			}
			n -= k
			if want[o] == 0 {
				order = append(order, o)
			}
			want[o]++
			if want[o] >= 50 {
				break
			}
		}
	}
	for _, o := range order {
		if f.renting >= 2 || !f.spend() {
			return
		}
		f.n++
		slog.Debug("fleet: asks", "type", o.typ, "zone", o.zone, "spot", o.spot, "count", want[o], "lacks", all.lacks(f.types[o.typ].Boot), "wait", all.cores, "busy", busy)
		f.ask(wire.Rental{Request: fmt.Sprintf("%s-%d", f.name, f.n), Type: o.typ, Zone: o.zone, Spot: o.spot, Count: min(want[o], 50)}, now)
	}
}

// cheapest finds what to rent for up to n tasks of a job: the least money for
// a task until it is done, boot time included; a boot counts twice, since the
// job waits for it as well.
func (f *Fleet) cheapest(g Gap, n int, z *zones, all *demand, probed map[option]bool, late map[option]int, now time.Duration) (option, bool) {
	var best option
	cost := math.Inf(1)
	for _, name := range slices.Sorted(maps.Keys(f.types)) {
		t := f.types[name]
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				o := option{name, zone, spot}
				if z.may(zone) <= 0 || !part.Allows(g.Job, t, zone, spot) || probed[o] || now < f.refused[o].until {
					continue
				}
				if !spot && g.Starts > 0 && g.Starts < t.Boot {
					continue // it starts sooner where it waits
				}
				price := t.Price
				if spot {
					price = t.Spot
				} else if g.Job.Spot && all.lacks(t.Boot) <= 0 && (g.Job.Shape != wire.Gang || g.Waited < f.s.Rent.LateBoots*t.Boot) {
					// There is enough in all. (A gang may need it in one zone, which
					// the sum does not show: it would wait for ever.)
					continue
				}
				full := t.Fits(g.Job, math.MaxInt32)
				if full == 0 {
					continue
				}
				// What this job leaves free is there for the others that wait.
				used := min(1, max(float64(min(full, n, z.may(zone)))/float64(full), all.cores/max(t.Cores, 1)))
				c := price / used / float64(full) * (2*t.Boot + max(g.Job.Estimate, 1))
				// Where machines are overdue another may be as well: rather another
				// zone, and another type only if it costs little more.
				c *= 1 + overduePays*float64(min(late[o], 4))/4
				if c < cost {
					best, cost = o, c
				}
			}
		}
	}
	return best, !math.IsInf(cost, 1)
}

// boots of the usual length take up to this many times the type's boot time
// (PROTOCOL, "Controller nodes -> cloud"). What takes longer takes several times as
// long, or never comes up.
const longBoot = 1.5

// slow: it takes longer than machines of its type usually do.
func (b *booting) slow(t *wire.MachineType, now time.Duration) bool {
	return (now - b.since).Seconds() > longBoot*t.Boot
}

// overduePays is how much dearer an option may be whose machines come up in time.
const overduePays = 0.25

// overdue lists machines that take longer to boot than machines usually do. They
// count for nothing until they come, and what waits for them is rented anew: they
// come too late or never. Those that come after all are used like any other, or
// returned. Not more of them than a quarter of what is up, the oldest first: where
// most are late, the next would be, too, and would only be paid for as well.
func (f *Fleet) overdue(up int, now time.Duration) map[string]bool {
	var ids []string
	for id, b := range f.booting {
		if t := f.types[b.typ]; t != nil && b.slow(t, now) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, k int) bool {
		a, b := f.booting[ids[i]].since, f.booting[ids[k]].since
		return a < b || a == b && ids[i] < ids[k]
	})
	out := map[string]bool{}
	for _, id := range ids[:min(len(ids), max(2, up/4))] {
		out[id] = true
	}
	return out
}

// demand is what waits in all, against what could take it.
type demand struct {
	cores  float64 // that waiting tasks of spot jobs take
	spared bool    // they are in time without the ordinary machines rented
	short  []short // what is late without more of them
	added  float64 // cores that this round rents
}

// short is a lack of cores for what is due within a time.
type short struct{ in, cores float64 }

// lacks is how many cores of machines that boot in the given time would help:
// ones that are up for less than half of the time in question are not for it.
func (d *demand) lacks(boot float64) float64 {
	most := 0.0
	for _, s := range d.short {
		if s.in >= 2*boot {
			most = max(most, s.cores)
		}
	}
	return most - d.added
}

// demand works out what spot jobs wait for. Ordinary machines are rented for
// them only as far as work that can still be in time would be late on what is
// there or boots: done in the order of what is due, with the runs under way
// half over.
func (f *Fleet) demand(known []Known, retiring map[string]bool, gaps []Gap, busy Busy, now time.Duration) demand {
	type supply struct{ cores, boot float64 }
	up, boots := -busy.Deaf, []supply{}
	rented := -busy.Cores // ordinary cores that the others leave
	for _, k := range known {
		if t := f.types[k.Rec.Type]; t != nil && !retiring[k.ID] {
			up += t.Cores
			if !k.Rec.Spot && !k.Rec.Own {
				rented += t.Cores
			}
		}
	}
	for id, b := range f.booting {
		if t := f.types[b.typ]; t != nil && !f.late[id] {
			boots = append(boots, supply{t.Cores, max(0, t.Boot-(now-b.since).Seconds())})
			if !b.spot {
				rented += t.Cores
			}
		}
	}
	fastest := math.Inf(1)
	for _, t := range f.types {
		fastest = min(fastest, t.Boot)
	}
	held := busy.Cores
	type due struct {
		in, work float64
		rank     int
	}
	var d demand
	var list []due
	for _, g := range gaps {
		c := float64(g.Tasks) * max(g.Job.Cores, g.Job.GPUs)
		if !g.Job.Spot {
			held += c
			continue
		}
		d.cores += c
		e := max(g.Job.Estimate, 1)
		if len(g.Due) == 0 { // as soon as it could be
			list = append(list, due{max(e/2, 2*fastest), c * e, g.Job.Rank})
		}
		for _, at := range g.Due {
			// The first that can still be met without an effort out of
			// proportion, by machines that would be up for half of the time. A
			// part of an estimate is kept for what estimates miss.
			if in := at - g.Waited - 1.25*e; in >= max(e/2, 2*fastest) {
				list = append(list, due{in, c * e, g.Job.Rank})
				break
			}
		}
	}
	sort.SliceStable(list, func(i, k int) bool { return list[i].in < list[k].in })
	d.spared = true
	rented = max(0, rented)
	work := busy.Work
	for _, g := range list {
		work += g.work
		capacity := up - held
		for _, s := range boots {
			capacity += s.cores * max(0, 1-s.boot/g.in)
		}
		missing := work/g.in + f.coming(g.rank) - max(0, capacity)
		d.short = append(d.short, short{g.in, missing})
		if missing+rented > 0 {
			d.spared = false
		}
	}
	return d
}

func (f *Fleet) ask(req wire.Rental, at time.Duration) {
	f.renting++
	out := &wire.MachineNames{}
	f.w.Call(f.addr, "POST", "/rentals", &req, out, timeout, func(status int) {
		f.renting--
		o := option{req.Type, req.Zone, req.Spot}
		now := f.w.Now()
		switch status {
		case 200:
			slog.Info("fleet: rented", "type", req.Type, "zone", req.Zone, "spot", req.Spot, "wanted", req.Count, "got", out.Machines)
			for _, id := range out.Machines {
				f.booting[id] = booting{o, at, false}
			}
			if len(out.Machines) < req.Count {
				f.refuse(o, now)
			} else {
				delete(f.refused, o)
			}
		case 503:
			f.refuse(o, now)
		case 400:
			slog.Error("fleet: rental refused as malformed", "type", req.Type)
			f.refuse(o, now)
		default:
			f.unsure = append(f.unsure, &unsure{req, at})
		}
	})
}

// refuse: none to be had of this type, zone and kind; asked again after a
// pause that grows.
func (f *Fleet) refuse(o option, now time.Duration) {
	r := f.refused[o]
	r.times = min(r.times+1, 4)
	boot := 20.0
	if t := f.types[o.typ]; t != nil {
		boot = t.Boot
	}
	r.until = now + world.Seconds(boot/4*float64(r.times)*(0.75+f.w.Rand().Float64()/2))
	f.refused[o] = r
}
