package shard

import (
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
)

// This file retires machines that are idle, or whose tasks spot machines can take over.

const (
	// largeJobRecencyFactor limits how long machines are kept for similar jobs after a large job
	// was last seen. The limit is the regular keep time (see idleKeepTime) multiplied by
	// largeJobRecencyFactor.
	largeJobRecencyFactor = 10
	// largeJobKeepMultiplier multiplies the keep time of an empty machine that large jobs need.
	largeJobKeepMultiplier = 6
	// peakKeepDivisor divides the keep time of an on-demand machine that no large job needs, while
	// spot machines suffice. In that case the load peak for which the machine was started is over.
	peakKeepDivisor = 3
)

// retireIfIdle retires a machine that has been idle for longer than its keep time. A machine
// whose tasks can move to spot machines is drained first.
func (s *Shard) retireIfIdle(machine *Machine, now time.Duration) {
	isEmpty := len(machine.Attempts) == 0
	if !machine.Reconciled || !isEmpty && !machine.draining && !s.canMoveTasksToSpot(machine, now) {
		machine.emptySince = now
		return
	}
	if !machine.draining && !s.isIdleTooLong(machine, now) {
		return
	}
	if isEmpty {
		s.retireMachine(machine, retireIdle)
		return
	}
	machine.draining = true
	for attempt := range machine.AllAttempts() {
		job := s.Jobs[attempt.Job]
		if job != nil && !attempt.HasEnded() && !attempt.StopRequested && !attempt.Orphaned {
			s.stopAttempt(job, &placement{machine, attempt}, "machine to be retired")
		}
	}
}

// canMoveTasksToSpot reports whether the shard's spot machines could take over all tasks of an
// on-demand machine. The tasks must lose no work when they are stopped, and the spot machines must
// have enough free cores for them. Such an on-demand machine is treated as idle.
func (s *Shard) canMoveTasksToSpot(machine *Machine, now time.Duration) bool {
	if !machine.isOnDemand() {
		return false
	}
	needed := 0.0
	for _, attempt := range machine.Attempts {
		if attempt.HasEnded() {
			continue
		}
		job := s.Jobs[attempt.Job]
		if job == nil || job.isGang() || attempt.StartedAt == 0 {
			return false
		}
		if !job.savesCheckpoints() || !job.Record.Job.AllowSpot {
			return false
		}
		needed += job.Record.Job.Cores
	}
	return s.freeSpotCores(now) >= needed
}

// freeSpotCores returns the free cores of the shard's spot machines, counted once per tick.
func (s *Shard) freeSpotCores(now time.Duration) float64 {
	if s.spotFreeCores >= 0 {
		return s.spotFreeCores
	}
	s.spotFreeCores = 0
	for _, free := range s.freeCapacities(now) {
		if free.machine.Spot {
			s.spotFreeCores += free.cores
		}
	}
	return s.spotFreeCores
}

// idleKeepTime returns how long an idle machine is kept: a multiple of the boot time of its
// type. Keeping a machine idle for one boot time costs as much as booting a replacement, and
// keeping it longer costs more.
func idleKeepTime(controller Controller, isPermanent bool, machineType *protocol.MachineType) time.Duration {
	scaleIn := &controller.Settings().ScaleIn
	if isPermanent {
		return env.Seconds(machineType.BootSeconds * scaleIn.PermanentIdleTimeoutFactor)
	}
	return env.Seconds(machineType.BootSeconds * scaleIn.IdleTimeoutFactor)
}

// isIdleTooLong reports whether a machine has been empty for longer than its keep time and no
// queued task could run on it.
func (s *Shard) isIdleTooLong(machine *Machine, now time.Duration) bool {
	machineType := s.controller.MachineType(machine.Type)
	if machineType == nil {
		return false
	}
	if now-machine.emptySince < s.keepTime(machine, machineType, now) {
		return false
	}
	withSpotJobs := !machine.isOnDemand() || !s.controller.SpotSuffices()
	return !s.controller.HasDemandFor(machine, withSpotJobs)
}

// keepTime returns how long an empty machine is kept. The time is longer if large jobs need the
// machine, and shorter if the machine was started for a load peak that is over.
func (s *Shard) keepTime(machine *Machine, machineType *protocol.MachineType, now time.Duration) time.Duration {
	keep := idleKeepTime(s.controller, machine.record.IsPermanent, machineType)
	takesLargeJobs := false
	for _, large := range s.controller.LargeJobs() {
		wasSeenLately := now-large.LastSeen < largeJobRecencyFactor*keep
		if 2*large.Job.Cores <= machineType.Cores || !wasSeenLately || !s.canRunOn(machine, &large.Job) {
			continue
		}
		takesLargeJobs = true
		// Few machines are large enough for such jobs. The machine is therefore kept until the next
		// such job can be expected. It need not be kept if enough other machines can be kept for
		// that job instead.
		if now-machine.emptySince >= keep && !s.controller.HasSpareFor(machine, &large.Job) {
			return largeJobKeepMultiplier * keep
		}
	}
	if !takesLargeJobs && machine.isOnDemand() && s.controller.SpotSuffices() {
		return keep / peakKeepDivisor
	}
	return keep
}
