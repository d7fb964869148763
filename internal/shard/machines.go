package shard

import (
	"log/slog"
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

// This file judges machines: which are silent, taken, idle, and go back.

// retireMachine takes a machine out of use for good; the leader has it deleted.
func (s *Shard) retireMachine(machine *Machine, why string) {
	if machine.retireReason != "" {
		return
	}
	slog.Info("part: machine is returned", "part", s.ID, "machine", machine.ID, "type", machine.Type, "spot", machine.Spot, "why", why)
	machine.retireReason = why
}

// checkMachine judges one machine.
func (s *Shard) checkMachine(machine *Machine, now time.Duration) {
	lease := s.leaseDuration()
	// Whether it reports does not matter: a deaf machine does, and its lease ends all
	// the same. (Jobs that might be on one waited for ever for its answer.)
	if machine.LeaseExpired(now, lease, settings.Drift) && (!machine.Reconciled || machine.MayHaveAttempts()) {
		slog.Info("part: lease is over", "part", s.ID, "machine", machine.ID, "runs", len(machine.Attempts))
		s.handleEvents(machine, machine.ExpireLease(now))
		s.needsPass = true
	}
	if machine.IsUnreachable() {
		s.requeueUnreachable(machine, true)
	}
	if machine.retireReason != "" {
		return
	}
	if machine.PreemptionNoticed {
		s.drainForNotice(machine, now)
		if now > machine.PreemptionTime+s.reportInterval() && now-machine.LastContact > 2*s.reportInterval() {
			s.retireMachine(machine, "taken")
			return
		}
	}
	if now-machine.LastContact > lease/2 && s.isIsolatedFailure(machine, now) || now-machine.LastContact > 3*lease {
		s.retireMachine(machine, "silent")
		return
	}
	// One that answers orders and reaches nobody lives; what is on it ends with its lease
	// if it goes on so. (Returned like a silent one it lost, half a lease early, what a
	// shorter trouble would have let it keep: eleven machines of a recorded day.)
	if since := now - machine.LastHeartbeat; since > lease && !machine.MayHaveAttempts() && s.isIsolatedFailure(machine, now) || since > 3*lease {
		s.retireMachine(machine, "mute")
		return
	}
	// What may be on a deaf one runs on until its lease ends, and is gone then.
	if since := machine.UnreachableSince(); since > 0 && (now-since > lease && s.isIsolatedFailure(machine, now) || now-since > 3*lease) {
		s.retireMachine(machine, "deaf")
		return
	}
	switch {
	case !machine.Reconciled || len(machine.Attempts) > 0 && !machine.draining && !s.canMoveToSpot(machine, now):
		machine.emptySince = now
	case !machine.draining && !s.isIdleTooLong(machine, now):
	case len(machine.Attempts) == 0:
		s.retireMachine(machine, "idle")
	default:
		machine.draining = true
		for attempt := range machine.AllAttempts() {
			if job := s.Jobs[attempt.Job]; job != nil && !attempt.HasEnded() && !attempt.StopRequested && !attempt.Orphaned {
				s.stopAttempt(job, &placement{machine, attempt}, "its machine is returned")
			}
		}
	}
}

// canMoveToSpot: an ordinary machine that only holds tasks which lose nothing when
// they are stopped, and which free spot machines of the part would take, is
// as good as idle.
func (s *Shard) canMoveToSpot(machine *Machine, now time.Duration) bool {
	if machine.Spot || machine.record.Owned {
		return false
	}
	need := 0.0
	for _, attempt := range machine.Attempts {
		job := s.Jobs[attempt.Job]
		if attempt.HasEnded() {
			continue
		}
		if job == nil || job.isGang() || job.Record.Job.CheckpointInterval <= 0 || !job.Record.Job.AllowSpot || attempt.StartedAt == 0 {
			return false
		}
		need += job.Record.Job.Cores
	}
	if s.spotFreeCores < 0 { // once a tick
		s.spotFreeCores = 0
		for _, r := range s.freeCapacities(now) {
			if r.machine.Spot {
				s.spotFreeCores += r.cores
			}
		}
	}
	return s.spotFreeCores >= need
}

// isIsolatedFailure tells whether a silent, or deaf, machine is so by itself: if many are, in
// the part or in the machine's zone, the network or this controller is at
// fault, and deleting them would only destroy work. (With zones apart, the 70
// machines of a part's smaller zone were once deleted.)
func (s *Shard) isIsolatedFailure(machine *Machine, now time.Duration) bool {
	// few counts in a zone, or in all of them.
	few := func(zone string) (ok bool, all int) {
		silent := 0
		for _, o := range s.Machines {
			if o.retireReason != "" || zone != "" && o.Zone != zone {
				continue
			}
			all++
			if now-o.LastHeartbeat > 2*s.reportInterval() || o.IsUnreachable() {
				silent++
			}
		}
		return silent*3 <= all || silent == 1, all
	}
	inPart, all := few("")
	inZone, _ := few(machine.Zone)
	return all > 1 && inPart && inZone
}

// drainForNotice stops what can save its progress before a spot machine is taken, and
// cannot end before.
func (s *Shard) drainForNotice(machine *Machine, now time.Duration) {
	for attempt := range machine.AllAttempts() {
		job := s.Jobs[attempt.Job]
		if job == nil || attempt.HasEnded() || attempt.StopRequested || attempt.Orphaned {
			continue
		}
		spec := &job.Record.Job
		ends := attempt.StartedAt + s.expectedRuntime(spec)
		if attempt.StartedAt > 0 && ends < machine.PreemptionTime {
			continue
		}
		if spec.CheckpointInterval <= 0 && attempt.StartedAt > 0 && !job.isService() {
			continue // nothing to save, it may yet end in time
		}
		s.stopAttempt(job, &placement{machine, attempt}, "spot notice")
	}
}

// largeJobKeepFactor is for how many times the time that idle machines are kept, after the
// last large job was seen, they are kept for the next.
const largeJobKeepFactor = 10

// idleKeepTime is how long an idle machine is kept: for as long as a new one takes to
// boot costs what the boot of a new one would, and waiting longer than that on
// luck costs more.
func idleKeepTime(controller Controller, own bool, machineType *protocol.MachineType) time.Duration {
	if own {
		return env.Seconds(machineType.BootSeconds * controller.Settings().Rent.OwnIdleBoots)
	}
	return env.Seconds(machineType.BootSeconds * controller.Settings().Rent.IdleBoots)
}

func (s *Shard) isIdleTooLong(machine *Machine, now time.Duration) bool {
	t := s.controller.MachineType(machine.Type)
	if t == nil {
		return false
	}
	keep := idleKeepTime(s.controller, machine.record.Owned, t)
	large := false
	for _, shape := range s.controller.LargeJobs() {
		// Few machines take such jobs: one that does is kept as long as the
		// next may be expected.
		if 2*shape.Job.Cores > t.Cores && now-shape.LastSeen < largeJobKeepFactor*keep && s.canRunOn(machine, &shape.Job) {
			large = true
			if now-machine.emptySince >= keep && !s.controller.HasSpareFor(machine, &shape.Job) {
				keep *= 6
				break
			}
		}
	}
	if !large && !machine.Spot && !machine.record.Owned && s.controller.SpotSuffices() {
		keep /= 3 // it was rented for a rush that is over
	}
	if now-machine.emptySince < keep {
		return false
	}
	return !s.controller.HasDemandFor(machine, machine.Spot || machine.record.Owned || !s.controller.SpotSuffices())
}
