package autoscaler

import (
	"log/slog"
	"sort"
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file follows the cloud's list of machines and deletes what is not needed.

// --- deletions ---

func (f *Autoscaler) deleteMachines(records map[string]*shard.MachineRecord, retiring map[string]bool, now time.Duration, forget func([]string)) {
	var gone []string // deleted, but the record is still there
	for id := range records {
		if f.IsDeleted(id) {
			gone = append(gone, id)
		}
	}
	forget(gone)
	if f.isDeleting {
		return
	}
	var ids []string
	for id := range retiring {
		if records[id] != nil && !f.IsDeleted(id) {
			ids = append(ids, id)
		}
	}
	for id, b := range f.booting {
		if t := f.machineTypes[b.typeName]; t != nil && now-b.requestedAt > env.Seconds(t.BootSeconds*f.settings.Rent.LateBoots) {
			slog.Info("fleet: never came up", "machine", id, "type", b.typeName)
			ids = append(ids, id)
		}
	}
	for id, at := range f.deletedAt { // and ones the list still shows, see list
		if at == 0 {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 || !f.takeRequestBudget() {
		return
	}
	sort.Strings(ids)
	ids = ids[:min(len(ids), 100)]
	f.isDeleting = true
	f.env.Call(f.cloudAddress, "POST", "/rentals/delete", &protocol.MachineIDList{Machines: ids}, nil, cloudTimeout, func(status int) {
		f.isDeleting = false
		if status != 200 {
			return // the next tick asks again
		}
		slog.Info("fleet: deleted", "machines", ids)
		for _, id := range ids {
			delete(f.booting, id)
			f.deletedAt[id] = f.env.Now()
		}
		for opt := range f.backoffs { // what was returned may be rented again
			delete(f.backoffs, opt)
		}
		forget(ids)
	})
}

// --- the cloud's list ---

func (f *Autoscaler) refreshInventory(records map[string]*shard.MachineRecord, now time.Duration, found func([]protocol.ListedMachine)) {
	every := env.Seconds(max(f.settings.Deployment.Cloud.ListLag, 10/f.settings.Deployment.Cloud.RPS))
	if f.isListing || now-f.lastListing < every || !f.takeRequestBudget() {
		return
	}
	f.isListing, f.lastListing = true, now
	f.listed = f.listed[:0]
	f.fetchInventoryPage("", records, found)
}

func (f *Autoscaler) fetchInventoryPage(since string, records map[string]*shard.MachineRecord, found func([]protocol.ListedMachine)) {
	out := &protocol.MachineList{}
	path := "/rentals?limit=500"
	if since != "" {
		path += "&since=" + since
	}
	f.env.Call(f.cloudAddress, "GET", path, nil, out, cloudTimeout, func(status int) {
		if status != 200 {
			f.isListing = false
			return
		}
		f.listed = append(f.listed, out.Machines...)
		if out.Truncated && len(out.Machines) > 0 {
			f.env.After(env.Seconds(1/f.settings.Deployment.Cloud.RPS), func() { f.fetchInventoryPage(out.Machines[len(out.Machines)-1].ID, records, found) })
			return
		}
		f.isListing = false
		f.applyListing(records)
		found(f.listed)
	})
}

// applyListing learns what boots and what failed. A list is old: it never proves
// that something is gone.
func (f *Autoscaler) applyListing(records map[string]*shard.MachineRecord) {
	now := f.env.Now()
	for _, m := range f.listed {
		if _, gone := f.deletedAt[m.ID]; gone {
			continue
		}
		switch {
		case m.Status == protocol.MachineFailed:
			f.deletedAt[m.ID] = 0 // to be deleted
		case records[m.ID] == nil:
			if _, ok := f.booting[m.ID]; !ok {
				b := bootingMachine{offering{m.Type, m.Zone, m.Spot}, now - env.Seconds(m.AgeSeconds), false}
				if m.Status != protocol.MachineStarting {
					b.requestedAt, b.foundRunning = now, true // it will report
				}
				f.booting[m.ID] = b
			}
		}
	}
	// A machine that was listed and no longer is may be gone without a word.
	// Deleting it proves it. A list may be older than the one before.
	here := map[string]bool{}
	for _, m := range f.listed {
		here[m.ID] = true
		f.lastListed[m.ID] = now
	}
	wait := env.Seconds(max(3*f.settings.Deployment.Cloud.ListLag, f.settings.Deployment.Workers.Lease/2))
	for id, at := range f.lastListed {
		_, gone := f.deletedAt[id]
		switch {
		case records[id] == nil && !here[id]:
			delete(f.lastListed, id)
		case !here[id] && !gone && now-at > wait:
			slog.Info("fleet: no longer listed", "machine", id)
			f.deletedAt[id] = 0
		}
	}
	for id, at := range f.deletedAt {
		if at != 0 && now-at > 10*time.Minute {
			delete(f.deletedAt, id)
		}
	}
}
