package shard

import (
	"log/slog"
	"time"

	"curlewspool/internal/settings"
)

// This file checks machines at each tick: expired leases, failed machines, spot machines with
// a preemption notice, and idle machines.

const (
	// maxFailingLeases is the number of machine leases after which a failing machine is
	// retired even if many others fail at the same time.
	maxFailingLeases = 3
	// missedReportIntervals is the number of report intervals without a report after which a
	// machine counts as failing.
	missedReportIntervals = 2
)

// checkMachine runs the periodic checks of one machine. It expires the machine's lease,
// requeues tasks that could not be launched on it because it is unreachable, drains it before a
// preemption, and retires it if it has failed or is idle.
func (s *Shard) checkMachine(machine *Machine, now time.Duration) {
	s.expireLease(machine, now)
	if machine.IsUnreachable() {
		s.requeueUnreachable(machine, requeueGangs)
	}
	if machine.isRetiring() {
		return
	}
	if machine.PreemptionNoticed {
		s.drainBeforePreemption(machine)
	}
	if reason := s.failureReason(machine, now); reason != "" {
		s.retireMachine(machine, reason)
		return
	}
	s.retireIfIdle(machine, now)
}

// expireLease handles the expiry of a machine's lease. All tasks that were on the machine have then
// terminated. The lease of a machine that still reports can expire as well: an unreachable machine
// reports but receives no answers. If its lease did not expire, jobs that could be on it would wait
// indefinitely for its answer to commands.
func (s *Shard) expireLease(machine *Machine, now time.Duration) {
	if !machine.LeaseExpired(now, s.leaseDuration(), settings.MaxClockDrift) {
		return
	}
	if machine.Reconciled && !machine.MayHaveAttempts() {
		return
	}
	slog.Info("shard: lease expired", "shard", s.ID, "machine", machine.ID, "attempts", len(machine.Attempts))
	s.handleEvents(machine, machine.ExpireLease(now))
	s.needsPass = true
}

// failureReason returns the reason for which a failed machine should be retired, or an empty
// one if the machine works or may recover.
func (s *Shard) failureReason(machine *Machine, now time.Duration) retireReason {
	lease, interval := s.leaseDuration(), s.reportInterval()
	unresponsiveFor := now - machine.LastContact
	if machine.PreemptionNoticed && now > machine.PreemptionTime+interval && unresponsiveFor > missedReportIntervals*interval {
		return retirePreempted
	}
	if s.hasFailedTooLong(machine, unresponsiveFor, lease/2, now) {
		return retireUnresponsive
	}
	// A machine that answers commands, but whose reports do not arrive, is alive. If the fault
	// lasts, the machine's tasks end when its lease expires; if the fault is shorter, they survive.
	// If the machine were retired after half a lease, as an unresponsive machine is, these tasks
	// would be destroyed.
	// This happened to eleven machines in a recorded run.
	unreportedLimit := lease
	if machine.MayHaveAttempts() {
		unreportedLimit = maxFailingLeases * lease
	}
	if s.hasFailedTooLong(machine, now-machine.LastHeartbeat, unreportedLimit, now) {
		return retireNoReports
	}
	// Tasks on an unreachable machine run until its lease expires, so the machine is not retired
	// before that.
	since := machine.UnreachableSince()
	if since > 0 && s.hasFailedTooLong(machine, now-since, lease, now) {
		return retireUnreachable
	}
	return ""
}

// hasFailedTooLong reports whether a machine has been failing for longer than limit while most
// other machines work, or for longer than maxFailingLeases even if many others fail.
func (s *Shard) hasFailedTooLong(machine *Machine, failingFor, limit, now time.Duration) bool {
	if failingFor > maxFailingLeases*s.leaseDuration() {
		return true
	}
	return failingFor > limit && s.isIsolatedFailure(machine, now)
}

// isIsolatedFailure reports whether an unresponsive or unreachable machine fails on its own. If many
// machines of the shard or of the machine's zone fail, the cause is the network or this controller,
// and deleting the machines would only destroy work. Without this check, a partition between zones
// led to the deletion of all 70 machines of a shard's smaller zone.
func (s *Shard) isIsolatedFailure(machine *Machine, now time.Duration) bool {
	if s.failing == nil || s.failing.countedAt != now {
		s.failing = s.countFailing(now)
	}
	inShard := s.failing.inShard
	inZone := inShard
	if machine.Zone != "" {
		inZone = s.failing.byZone[machine.Zone]
	}
	return inShard.all > 1 && inShard.isFew() && inZone.isFew()
}

// failureCount holds the number of all machines of a group, and the number of failing ones.
type failureCount struct {
	all, failing int
}

// isFew reports whether at most a third of the machines, or only one, are failing.
func (f failureCount) isFew() bool { return f.failing*3 <= f.all || f.failing == 1 }

// add counts one machine.
func (f failureCount) add(isFailing bool) failureCount {
	f.all++
	if isFailing {
		f.failing++
	}
	return f
}

// failureCounts holds the counts of the whole shard and of each zone. The checks of all machines in
// one tick share them, until a machine is retired.
type failureCounts struct {
	countedAt time.Duration
	inShard   failureCount
	byZone    map[string]failureCount
}

// countFailing counts all machines and the failing machines. It leaves out retiring machines.
func (s *Shard) countFailing(now time.Duration) *failureCounts {
	s.controller.SetActivity(Activity{Operation: OperationCountFailing})
	counts := &failureCounts{countedAt: now, byZone: map[string]failureCount{}}
	for _, machine := range s.Machines {
		if machine.isRetiring() {
			continue
		}
		isFailing := now-machine.LastHeartbeat > missedReportIntervals*s.reportInterval() || machine.IsUnreachable()
		counts.inShard = counts.inShard.add(isFailing)
		counts.byZone[machine.Zone] = counts.byZone[machine.Zone].add(isFailing)
	}
	return counts
}

// drainBeforePreemption stops the tasks of a spot machine with a preemption notice. A running task
// continues if it is expected to finish before the preemption. It also continues if it saves no
// checkpoints and is not a service.
func (s *Shard) drainBeforePreemption(machine *Machine) {
	for attempt := range machine.AllAttempts() {
		job := s.Jobs[attempt.Job]
		if job == nil || attempt.HasEnded() || attempt.StopRequested || attempt.Orphaned {
			continue
		}
		isRunning := attempt.StartedAt > 0
		expectedEnd := attempt.StartedAt + s.expectedRuntime(&job.Record.Job)
		if isRunning && expectedEnd < machine.PreemptionTime {
			continue
		}
		if isRunning && !job.savesCheckpoints() && !job.isService() {
			continue // there is no progress to save, and the task may still finish in time
		}
		s.stopAttempt(job, &placement{machine, attempt}, "spot machine preempted")
	}
}
