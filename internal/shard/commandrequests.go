package shard

// This file sends commands to machines directly, without waiting for their next reports. An event,
// such as a report or the answer to a write, may request commands for one machine once for each of
// thousands of attempts. The machine is checked at the first request, and once more at the end of
// the event if there were others.

// commandRequests is the progress of a machine's requests for commands in the current event.
type commandRequests int

const (
	notRequested   commandRequests = iota
	requestedOnce                  // the machine was checked at the request
	requestedAgain                 // the machine is checked again at the end of the event
)

// requestCommands sends a machine its direct commands, if any are due, by the end of the current
// event.
func (s *Shard) requestCommands(machine *Machine) {
	switch machine.commandRequests {
	case notRequested:
		machine.commandRequests = requestedOnce
		s.requestedMachines = append(s.requestedMachines, machine)
		s.sendCommandsIfDue(machine)
	case requestedOnce:
		machine.commandRequests = requestedAgain
	}
}

// finishCommandRequests ends the requests of an event. Each method that handles an event calls it at
// its end.
func (s *Shard) finishCommandRequests() {
	requested := s.requestedMachines
	s.requestedMachines = nil
	for _, machine := range requested {
		isUnchecked := machine.commandRequests == requestedAgain
		machine.commandRequests = notRequested
		if isUnchecked && s.Machines[machine.ID] == machine {
			s.sendCommandsIfDue(machine)
		}
	}
}

// sendCommandsIfDue sends a machine its commands directly if they should not wait for its next
// report.
func (s *Shard) sendCommandsIfDue(machine *Machine) {
	if machine.NeedsDirectCommands(s.controller.CanLaunch(), s.controller.Now()) {
		s.controller.SendCommands(s, machine)
	}
}
