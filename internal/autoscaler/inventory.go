package autoscaler

import (
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file reads the cloud's list of machines and updates the autoscaler's state from it.

// Paths and limits of the cloud's API.
const (
	rentalsPath   = "/rentals"
	deletionsPath = "/rentals/delete"

	// listingPageSize is the maximum number of machines on one page of the list.
	listingPageSize = 500
	// cloudTimeout is the timeout of one request.
	cloudTimeout = 4 * time.Second
)

// deletionRetention is how long a confirmed deletion is remembered, as the cloud may still list
// the machine for some time.
const deletionRetention = 10 * time.Minute

// refreshInventory starts to read the cloud's list again if the previous reading is complete, enough
// time has passed since its start, and the request budget allows it. listed is called with the complete
// list.
func (a *Autoscaler) refreshInventory(records map[string]*shard.MachineRecord, now time.Duration, listed func([]protocol.ListedMachine)) {
	cloud := &a.settings.Deployment.Cloud
	interval := env.Seconds(max(cloud.ListLag, 10/cloud.RPS))
	if a.isListing || now-a.listingStartedAt < interval || !a.takeRequestBudget() {
		return
	}
	a.isListing, a.listingStartedAt = true, now
	a.listed = a.listed[:0]
	a.fetchInventoryPage("", records, listed)
}

// fetchInventoryPage reads the page of the list that begins after the given machine, and then the
// remaining pages. It pauses between the requests to stay within the cloud's rate limit.
func (a *Autoscaler) fetchInventoryPage(after string, records map[string]*shard.MachineRecord, listed func([]protocol.ListedMachine)) {
	page := &protocol.MachineList{}
	path := fmt.Sprintf("%s?limit=%d", rentalsPath, listingPageSize)
	if after != "" {
		path += "&since=" + after
	}
	a.env.Call(a.cloudAddress, http.MethodGet, path, nil, page, cloudTimeout, func(status int) {
		if status != http.StatusOK {
			a.isListing = false
			return
		}
		a.listed = append(a.listed, page.Machines...)
		if page.Truncated && len(page.Machines) > 0 {
			last := page.Machines[len(page.Machines)-1].ID
			pause := env.Seconds(1 / a.settings.Deployment.Cloud.RPS)
			a.env.After(pause, func() { a.fetchInventoryPage(last, records, listed) })
			return
		}
		a.isListing = false
		a.applyListing(records)
		listed(a.listed)
	})
}

// applyListing compares a complete list with the machines that are known. It finds those that are
// booting, that failed or that are missing from the list. A list may be outdated, so a machine
// that is missing from it is not proven to be terminated.
func (a *Autoscaler) applyListing(records map[string]*shard.MachineRecord) {
	now := a.env.Now()
	for i := range a.listed {
		a.applyListedMachine(&a.listed[i], records, now)
	}
	a.findMissing(records, now)
	for id, at := range a.deletedAt {
		if now-at > deletionRetention {
			delete(a.deletedAt, id)
		}
	}
}

// applyListedMachine applies one entry of the list. A failed machine is marked for deletion, and a
// machine that was unknown is added to the booting ones.
func (a *Autoscaler) applyListedMachine(machine *protocol.ListedMachine, records map[string]*shard.MachineRecord, now time.Duration) {
	if a.IsDeleted(machine.ID) || a.pendingDeletion[machine.ID] {
		return
	}
	if machine.Status == protocol.MachineFailed {
		a.pendingDeletion[machine.ID] = true
		return
	}
	if _, known := a.booting[machine.ID]; known || records[machine.ID] != nil {
		return
	}
	entry := bootingMachine{
		offering:    offering{machine.Type, machine.Zone, machine.Spot},
		requestedAt: now - env.Seconds(machine.AgeSeconds),
	}
	if machine.Status != protocol.MachineStarting { // the machine is already up and will send a report
		entry.requestedAt, entry.foundRunning = now, true
	}
	a.booting[machine.ID] = entry
}

// findMissing marks for deletion the machines that have records and are no longer listed. They
// may have been terminated without notice, and only a confirmed deletion proves that they are
// terminated. A machine is marked only if it has been missing for longer than missingTimeout, as
// the cloud may answer with an older list than before.
func (a *Autoscaler) findMissing(records map[string]*shard.MachineRecord, now time.Duration) {
	isListed := map[string]bool{}
	for _, machine := range a.listed {
		isListed[machine.ID] = true
		a.lastListedAt[machine.ID] = now
	}
	deployment := &a.settings.Deployment
	missingTimeout := env.Seconds(max(3*deployment.Cloud.ListLag, deployment.Workers.Lease/2))
	for id, at := range a.lastListedAt {
		switch {
		case isListed[id]:
		case records[id] == nil:
			delete(a.lastListedAt, id)
		case !a.IsDeleted(id) && !a.pendingDeletion[id] && now-at > missingTimeout:
			slog.Info("autoscaler: machine is missing from the cloud's list, deleting it", "machine", id)
			a.pendingDeletion[id] = true
		}
	}
}
