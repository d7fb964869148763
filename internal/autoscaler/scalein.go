package autoscaler

import (
	"log/slog"
	"net/http"
	"sort"
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file deletes machines that are no longer needed or do not work.

// maxMachinesPerDeletion is the maximum number of machines that one request deletes.
const maxMachinesPerDeletion = 100

// deleteMachines deletes up to maxMachinesPerDeletion machines with one request, and keeps at
// most one request in flight. In each round, deleted is called with the machines that still have
// records although their deletion is confirmed. After each successful request, it is called with
// the machines that the request deleted.
func (a *Autoscaler) deleteMachines(
	records map[string]*shard.MachineRecord, retiring map[string]bool, now time.Duration, deleted func([]string),
) {
	var stale []string // machines with records whose deletion is confirmed
	for id := range records {
		if a.IsDeleted(id) {
			stale = append(stale, id)
		}
	}
	deleted(stale)
	if a.isDeleting {
		return
	}
	ids := a.deletionCandidates(records, retiring, now)
	if len(ids) == 0 || !a.takeRequestBudget() {
		return
	}
	sort.Strings(ids)
	a.requestDeletion(ids[:min(len(ids), maxMachinesPerDeletion)], deleted)
}

// deletionCandidates returns the machines to delete: those that their shards have retired, those
// that did not boot in time, and those that failed or are missing from the cloud's list (see
// applyListing).
func (a *Autoscaler) deletionCandidates(
	records map[string]*shard.MachineRecord, retiring map[string]bool, now time.Duration,
) []string {
	var ids []string
	for id := range retiring {
		if records[id] != nil && !a.IsDeleted(id) {
			ids = append(ids, id)
		}
	}
	for id, machine := range a.booting {
		t := a.machineTypes[machine.typeName]
		if t != nil && now-machine.requestedAt > env.Seconds(t.BootSeconds*a.settings.ScaleIn.BootTimeoutFactor) {
			slog.Info("autoscaler: machine did not boot in time, deleting it", "machine", id, "type", machine.typeName)
			ids = append(ids, id)
		}
	}
	for id := range a.pendingDeletion {
		ids = append(ids, id)
	}
	return ids
}

// requestDeletion asks the cloud to delete machines. If the request fails, a later round repeats
// it; deletion is idempotent.
func (a *Autoscaler) requestDeletion(ids []string, deleted func([]string)) {
	a.isDeleting = true
	request := &protocol.MachineIDList{Machines: ids}
	a.env.Call(a.cloudAddress, http.MethodPost, deletionsPath, request, nil, cloudTimeout, func(status int) {
		a.isDeleting = false
		if status != http.StatusOK {
			return
		}
		slog.Info("autoscaler: machines deleted", "machines", ids)
		for _, id := range ids {
			delete(a.booting, id)
			delete(a.pendingDeletion, id)
			a.deletedAt[id] = a.env.Now()
		}
		clear(a.backoffs) // the deleted machines may be available for rental again
		deleted(ids)
	})
}
