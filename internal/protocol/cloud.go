package protocol

import "math"

// MachineStatus is the state of a machine in the cloud's machine list.
type MachineStatus string

// The states of machines.
const (
	MachineStarting MachineStatus = "starting"
	MachineRunning  MachineStatus = "running"
	MachineFailed   MachineStatus = "failed"
)

// MachineType is an entry in the cloud's catalog.
type MachineType struct {
	Name             string   `cbor:"label"`
	Cores            float64  `cbor:"cores"`
	GPUs             float64  `cbor:"accelerators"`
	MemoryGB         float64  `cbor:"memoryGb"`
	CacheGB          float64  `cbor:"localGb"` // local disk for images
	FetchGBPerSecond float64  `cbor:"fetchGbPerS"`
	OnDemandPrice    float64  `cbor:"rate"`      // per hour
	SpotPrice        float64  `cbor:"spotPrice"` // per hour
	BootSeconds      float64  `cbor:"bootS"`
	Zones            []string `cbor:"yards"`
}

// HourlyPrice returns the price per hour of a spot machine or an on-demand machine of the type.
func (t *MachineType) HourlyPrice(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.OnDemandPrice
}

// TasksThatFit returns how many tasks of a job fit on an empty machine of the type, at most limit. It
// is never more than one report can list.
func (t *MachineType) TasksThatFit(job *Job, limit int) int {
	count := float64(min(limit, maxReportedTasks(job.ID)))
	count = min(count, tasksWithin(t.Cores, job.Cores))
	count = min(count, tasksWithin(t.GPUs, job.GPUs))
	count = min(count, tasksWithin(t.MemoryGB, job.MemoryGB))
	return int(count)
}

// tasksWithin returns the number of tasks that fit within a capacity of one resource.
func tasksWithin(capacity, perTask float64) float64 {
	const roundingTolerance = 1e-9
	if perTask <= 0 {
		return math.Inf(1)
	}
	return math.Floor(capacity/perTask + roundingTolerance)
}

// MachinesNeeded returns how many empty machines of the type are needed to run all tasks of a job at
// the same time. If a machine is too small for a task, the result is the number of tasks.
func (t *MachineType) MachinesNeeded(job *Job) int {
	perMachine := max(1, t.TasksThatFit(job, job.Tasks))
	return (job.Tasks + perMachine - 1) / perMachine
}

// Catalog is the response to GET /catalog.
type Catalog struct {
	MachineTypes []MachineType `cbor:"builds"`
}

// RentalRequest is the body of POST /rentals.
type RentalRequest struct {
	RequestID string `cbor:"hire"` // a repeated request with the same ID rents no more machines
	Type      string `cbor:"build"`
	Zone      string `cbor:"yard"`
	Spot      bool   `cbor:"loaners"`
	Count     int    `cbor:"howMany"`
}

// MachineIDList is the response to a rental request, and the body of a deletion request.
type MachineIDList struct {
	Machines []string `cbor:"kilns"`
}

// ListedMachine is an entry in the cloud's machine list.
type ListedMachine struct {
	ID         string        `cbor:"id"`
	Address    string        `cbor:"address"`
	Type       string        `cbor:"build"`
	Zone       string        `cbor:"yard"`
	Spot       bool          `cbor:"loaners"`
	Status     MachineStatus `cbor:"status"`
	AgeSeconds float64       `cbor:"heldS"` // time since it was rented
}

// MachineList is the response to GET /rentals. The list may be outdated, and even older than the list
// in the previous response.
type MachineList struct {
	Machines  []ListedMachine `cbor:"kilns"`
	Truncated bool            `cbor:"truncated"` // the list is incomplete
}
