package controller

import (
	"net/http"

	"curlewspool/internal/agent"
	"curlewspool/internal/election"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// HeartbeatReply sends the answer to an agent's report.
type HeartbeatReply func(status int, body any)

// heartbeatRefusal is an answer without commands. It does not renew the machine's lease.
type heartbeatRefusal struct {
	status int
	body   protocol.ErrorResponse
}

func refuseHeartbeat(status int, reason string) *heartbeatRefusal {
	return &heartbeatRefusal{status: status, body: protocol.ErrorResponse{Error: reason}}
}

// HandleHeartbeat handles POST /v1/report: it finds the shard of the agent's machine, reconciles
// the report with the shard's state, schedules the machine and answers with its commands.
func (c *Controller) HandleHeartbeat(report *protocol.Report, reply HeartbeatReply) {
	if err := report.Validate(); err != nil {
		reply(http.StatusBadRequest, &protocol.ErrorResponse{Error: err.Error()})
		return
	}
	if !c.store.IsLoaded() {
		reply(http.StatusServiceUnavailable, &protocol.ErrorResponse{Error: "starting"})
		return
	}
	record := c.machines[report.Machine]
	isOwnMachine := record != nil && c.shards[record.Shard] != nil
	c.reachability.recordReport(report, isOwnMachine, c.env.Now())
	if record == nil {
		c.answerUnknownMachine(report, reply)
		return
	}
	owned, machine, refusal := c.findMachine(record)
	if refusal == nil {
		refusal = c.reconcileReport(owned, machine, report)
	}
	if refusal != nil {
		reply(refusal.status, &refusal.body)
		return
	}
	owned.ScheduleMachine(machine)
	// The clock is read again: the process may have been paused since the report arrived, and
	// the time of the answer determines which attempts may no longer run.
	machine.ReportAnswered(c.env.Now())
	commands := nonNilCommands(machine.NextCommands(agent.InAnswer, c.CanLaunch(), c.env.Now()))
	reply(http.StatusOK, &protocol.CommandBatch{FencingToken: machine.FencingToken, Commands: commands})
}

// findMachine finds a machine in its shard if this controller owns the shard. Otherwise it returns
// a refusal, which names the shard's owner if another controller owns it.
func (c *Controller) findMachine(record *shard.MachineRecord) (*shard.Shard, *shard.Machine, *heartbeatRefusal) {
	owned := c.ownedShard(record.Shard)
	if owned == nil {
		return nil, nil, c.redirectToOwner(record.Shard)
	}
	machine := owned.Machines[record.ID]
	if machine == nil {
		return nil, nil, refuseHeartbeat(http.StatusServiceUnavailable, "not known yet")
	}
	return owned, machine, nil
}

func (c *Controller) redirectToOwner(shardID int) *heartbeatRefusal {
	owner := c.registry.OwnerOf(election.ShardKey(shardID))
	if owner == "" || owner == c.settings.Name {
		return refuseHeartbeat(http.StatusServiceUnavailable, "the part has no owner")
	}
	refusal := refuseHeartbeat(http.StatusMisdirectedRequest, "not the owner")
	refusal.body.Owner = owner
	return refusal
}

// reconcileReport updates the shard's view of the machine from a report. It returns a refusal if
// the report cannot be answered with commands.
func (c *Controller) reconcileReport(owned *shard.Shard, machine *shard.Machine, report *protocol.Report) *heartbeatRefusal {
	if report.FencingToken > machine.FencingToken {
		// The agent has seen the token of a newer owner, or its machine was in another shard
		// before. The agent ignores an answer with a lower token and goes on reporting here, so its
		// machine lease would expire.
		c.claimHigherToken(owned, report.FencingToken)
		return rejectReport(machine, report, "a higher token is needed")
	}
	if !owned.HandleReport(machine, report, agent.Posted) {
		if mayBeRestarted := machine.ReportRejected(report, agent.Outdated); mayBeRestarted {
			c.queryMachine(owned, machine)
		}
		return refuseHeartbeat(http.StatusServiceUnavailable, "outdated report")
	}
	switch {
	case machine.IsUnreachable():
		return rejectReport(machine, report, "does not hear")
	case owned.ShouldDelayAnswer(machine, c.env.Now()):
		return rejectReport(machine, report, "waits for a partner's word")
	case machine.StopsExceedAnswer(c.env.Now()):
		refusal := rejectReport(machine, report, "more is to stop than an answer holds")
		c.SendCommands(owned, machine)
		return refusal
	}
	return nil
}

// rejectReport refuses, for the given reason, a report that must not be answered with commands.
func rejectReport(machine *shard.Machine, report *protocol.Report, reason string) *heartbeatRefusal {
	machine.ReportRejected(report, agent.Unanswerable)
	return refuseHeartbeat(http.StatusServiceUnavailable, reason)
}

// claimHigherToken claims an owned shard again to get a fencing token higher than the one that an
// agent has seen. It ignores a token that the registry cannot have issued.
func (c *Controller) claimHigherToken(owned *shard.Shard, seen uint64) {
	if c.registry.IsTokenIssued(seen) {
		c.registry.Claim(election.ShardKey(owned.ID), false)
	}
}

// nonNilCommands replaces nil by an empty list, so that the commands are always encoded as a list.
func nonNilCommands(commands []protocol.Command) []protocol.Command {
	if commands == nil {
		return []protocol.Command{}
	}
	return commands
}
