package shard

// unreconciledMachines returns the machines that have not yet reported their tasks to this
// owner.
func (s *Shard) unreconciledMachines() []*Machine {
	var unreconciled []*Machine
	for _, machine := range s.machinesByID() {
		if !machine.Reconciled {
			unreconciled = append(unreconciled, machine)
		}
	}
	return unreconciled
}

// UnreconciledCount returns the number of machines that have not yet reported their tasks to
// this owner.
func (s *Shard) UnreconciledCount() int { return len(s.unreconciledMachines()) }

// UnreachableMachines returns the IDs of the machines whose reports arrive, but which no answer
// or command reaches (an inbound partition).
func (s *Shard) UnreachableMachines() []string {
	ids := []string{}
	for _, machine := range s.machinesByID() {
		if machine.IsUnreachable() {
			ids = append(ids, machine.ID)
		}
	}
	return ids
}

// hasStaleAttempt reports whether an unwanted attempt of the job has not terminated yet. It removes
// terminated attempts from the job's unwantedAttempts.
func (s *Shard) hasStaleAttempt(job *QueuedJob) bool {
	for attempt, machine := range job.unwantedAttempts {
		isPresent := s.Machines[machine.ID] == machine && machine.Attempts[attempt.AttemptID] == attempt
		if isPresent && !attempt.HasEnded() {
			return true
		}
		delete(job.unwantedAttempts, attempt)
	}
	return false
}

// mayHaveUnseenAttempts reports whether the job may have attempts other than its placements. These
// are attempts on an unreconciled machine that the job's stored progress names, and unwanted
// attempts that are still being stopped.
func (s *Shard) mayHaveUnseenAttempts(job *QueuedJob, unreconciled []*Machine) bool {
	if job.mayRunOnAnyMachine() && job.newSinceTakeover {
		return s.hasStaleAttempt(job)
	}
	for _, machine := range unreconciled {
		if job.recordedMachines.contains(machine.ID) {
			return true
		}
	}
	return s.hasStaleAttempt(job)
}

// isPartialGang reports whether a previous owner launched only some tasks of a gang before it lost
// the shard. If the gang is not restarted, these tasks wait for the others, which never start, until
// the agent ends them after gang_wait_s. This took 35 and 45 s for gangs that users expect to start
// within 6 and 20 s. In a simulator without gang_wait_s such a gang waited
// indefinitely.
func (s *Shard) isPartialGang(job *QueuedJob) bool {
	if !job.isGang() || job.gangFailed || job.gangStopping {
		return false
	}
	isPartial := job.placedTasks > 0 && job.idleTasks > 0
	return isPartial && !s.mayHaveUnseenAttempts(job, s.unreconciledMachines())
}
