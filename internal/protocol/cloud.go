package protocol

import "math"

// MachineStatus is the state of a machine in the cloud's list.
type MachineStatus string

// The states of machines.
const (
	MachineStarting MachineStatus = "starting"
	MachineRunning  MachineStatus = "running"
	MachineFailed   MachineStatus = "failed"
)

// MachineType is an entry of the cloud's catalog.
type MachineType struct {
	Name             string   `cbor:"label"`
	Cores            float64  `cbor:"cores"`
	GPUs             float64  `cbor:"accelerators"`
	MemoryGB         float64  `cbor:"memoryGb"`
	CacheGB          float64  `cbor:"localGb"` // for images
	FetchGBPerSecond float64  `cbor:"fetchGbPerS"`
	OnDemandPrice    float64  `cbor:"rate"`      // per hour
	SpotPrice        float64  `cbor:"spotPrice"` // per hour
	BootSeconds      float64  `cbor:"bootS"`
	Zones            []string `cbor:"yards"`
}

// HourlyPrice returns the price of a spot instance or of an on-demand one.
func (t *MachineType) HourlyPrice(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.OnDemandPrice
}

// TasksThatFit returns how many tasks of a job an empty machine holds, at most limit.
func (t *MachineType) TasksThatFit(job *Job, limit int) int {
	count := float64(limit)
	count = min(count, tasksWithin(t.Cores, job.Cores))
	count = min(count, tasksWithin(t.GPUs, job.GPUs))
	count = min(count, tasksWithin(t.MemoryGB, job.MemoryGB))
	return int(count)
}

// tasksWithin returns how many tasks fit into an amount of one resource.
func tasksWithin(capacity, perTask float64) float64 {
	const roundingTolerance = 1e-9
	if perTask <= 0 {
		return math.Inf(1)
	}
	return math.Floor(capacity/perTask + roundingTolerance)
}

// MachinesNeeded returns how many empty machines all tasks of a job take, if one fits.
func (t *MachineType) MachinesNeeded(job *Job) int {
	perMachine := max(1, t.TasksThatFit(job, job.Tasks))
	return (job.Tasks + perMachine - 1) / perMachine
}

// Catalog answers GET /catalog.
type Catalog struct {
	MachineTypes []MachineType `cbor:"builds"`
}

// RentalRequest is the body of POST /rentals.
type RentalRequest struct {
	RequestID string `cbor:"hire"` // repeating a request with the same ID rents nothing more
	Type      string `cbor:"build"`
	Zone      string `cbor:"yard"`
	Spot      bool   `cbor:"loaners"`
	Count     int    `cbor:"howMany"`
}

// MachineIDList answers a rental, and is the body of a deletion.
type MachineIDList struct {
	Machines []string `cbor:"kilns"`
}

// ListedMachine is an entry of the cloud's list.
type ListedMachine struct {
	ID         string        `cbor:"id"`
	Address    string        `cbor:"address"`
	Type       string        `cbor:"build"`
	Zone       string        `cbor:"yard"`
	Spot       bool          `cbor:"loaners"`
	Status     MachineStatus `cbor:"status"`
	AgeSeconds float64       `cbor:"heldS"` // since it was rented
}

// MachineList answers GET /rentals. The list lags behind, and a list may be older than the
// one before.
type MachineList struct {
	Machines  []ListedMachine `cbor:"kilns"`
	Truncated bool            `cbor:"truncated"` // there are more
}
