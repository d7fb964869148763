package fleet

import (
	"log/slog"
	"sort"
	"time"

	"curlewspool/internal/part"
	"curlewspool/internal/wire"
	"curlewspool/internal/world"
)

// This file follows the cloud's list of machines and deletes what is not needed.

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
