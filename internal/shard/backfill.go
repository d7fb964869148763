package shard

import (
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
)

// canBackfill tells whether a task that starts now on a machine does not delay the head of
// the queue: the machine is not reserved, or the task ends before the reservation begins,
// or it takes only what the head leaves (DESIGN, "others start only without delaying it").
func (s *Shard) canBackfill(free *freeCapacity, spec *protocol.Job, now time.Duration) bool {
	if !free.isReserved {
		return true
	}
	if now+s.imageFetchTime(free, spec)+s.expectedRuntime(spec) <= free.reservedFrom {
		return true
	}
	return free.spare.fits(spec)
}

// imageFetchTime is how long a machine takes to fetch a job's image; 0 if it has it.
func (s *Shard) imageFetchTime(free *freeCapacity, spec *protocol.Job) time.Duration {
	if free.machine.cachedImages[spec.Image] || free.machineType.FetchGBPerSecond <= 0 {
		return 0
	}
	return env.Seconds(spec.ImageGB / free.machineType.FetchGBPerSecond)
}
