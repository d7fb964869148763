package controller

import (
	"log/slog"
	"math"
	"time"

	"curlewspool/internal/election"
	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file speaks to workers.

// HeartbeatReply answers a worker.
type HeartbeatReply func(status int, body any)

// HandleHeartbeat handles POST /v1/report.
func (c *Controller) HandleHeartbeat(report *protocol.Report, reply HeartbeatReply) {
	if err := report.Validate(); err != nil {
		reply(400, &protocol.ErrorResponse{Error: err.Error()})
		return
	}
	if !c.store.IsLoaded() {
		reply(503, &protocol.ErrorResponse{Error: "starting"})
		return
	}
	record := c.machines[report.Machine]
	c.reachability.recordReport(report, record != nil && c.shards[record.Shard] != nil, c.env.Now())
	if record == nil {
		c.reportFromUnknownMachine(report, reply)
		return
	}
	key := election.ShardKey(record.Shard)
	p := c.ownedShard(record.Shard)
	if p == nil {
		owner := c.registry.OwnerOf(key)
		if owner == "" || owner == c.settings.Name {
			reply(503, &protocol.ErrorResponse{Error: "the part has no owner"})
			return
		}
		reply(421, &protocol.ErrorResponse{Error: "not the owner", Owner: owner})
		return
	}
	machine := p.Machines[report.Machine]
	if machine == nil {
		reply(503, &protocol.ErrorResponse{Error: "not known yet"})
		return
	}
	if report.FencingToken > machine.FencingToken {
		// It has seen a newer owner, or comes from another part: an answer
		// with a lower token would hold it here while its lease runs out. A token
		// that nobody can have given says nothing.
		if c.registry.IsTokenIssued(report.FencingToken) {
			c.registry.Claim(key, false)
		}
		machine.ReportRejected(report, false)
		reply(503, &protocol.ErrorResponse{Error: "a higher token is needed"})
		return
	}
	switch {
	case !p.HandleReport(machine, report, true):
		if machine.ReportRejected(report, true) {
			c.queryMachine(p, machine)
		}
		reply(503, &protocol.ErrorResponse{Error: "outdated report"})
		return
	case machine.IsUnreachable():
		machine.ReportRejected(report, false)
		reply(503, &protocol.ErrorResponse{Error: "does not hear"})
		return
	case p.ShouldDelayAnswer(machine, c.env.Now()):
		machine.ReportRejected(report, false)
		reply(503, &protocol.ErrorResponse{Error: "waits for a partner's word"})
		return
	}
	if machine.StopsExceedAnswer(c.env.Now()) {
		machine.ReportRejected(report, false)
		c.SendOrders(p, machine)
		reply(503, &protocol.ErrorResponse{Error: "more is to stop than an answer holds"})
		return
	}
	p.ScheduleMachine(machine)
	machine.ReportAnswered(c.env.Now())
	orders := nonNilCommands(machine.NextCommands(false, c.CanLaunch(), c.env.Now()))
	reply(200, &protocol.CommandBatch{FencingToken: machine.FencingToken, Commands: orders})
}

func nonNilCommands(commands []protocol.Command) []protocol.Command {
	if commands == nil {
		return []protocol.Command{}
	}
	return commands
}

// SendOrders sends a machine its orders directly. With nothing to order it still
// brings the part's token, and the answer is a report.
func (c *Controller) SendOrders(p *shard.Shard, machine *shard.Machine) {
	if c.ownedShard(p.ID) != p || machine.CommandsInFlight() || machine.Address == "" || c.isWorkerCallLimitReached() {
		return // the next tick presses again
	}
	c.workerCallsInFlight++
	machine.CommandsSent()
	orders := nonNilCommands(machine.NextCommands(true, c.CanLaunch(), c.env.Now()))
	body := &protocol.CommandBatch{FencingToken: machine.FencingToken, Incarnation: max(machine.Incarnation, 1), Commands: orders}
	answer, session, seq := &protocol.Report{}, machine.Incarnation, machine.Sequence
	limit := min(2*time.Second, env.Seconds(c.settings.Deployment.Workers.Report))
	c.env.Call(machine.Address, "POST", "/orders", body, answer, limit, func(status int) {
		c.workerCallsInFlight--
		// What is not this machine's report does not say what became of the orders.
		if status != 200 && status != 409 || answer.Machine != machine.ID || answer.Validate() != nil {
			machine.CommandsLost(body.FencingToken)
			// A machine that does not answer must not hold sockets that others need.
			machine.PauseCommands(c.env.Now() + limit<<min(machine.UnansweredCommands(), 4)/2 + time.Duration(c.env.Rand().Int64N(int64(limit)/2)))
			return
		}
		machine.CommandsAnswered()
		if c.ownedShard(p.ID) != p || p.Machines[machine.ID] != machine {
			return
		}
		if answer.FencingToken > machine.FencingToken {
			if c.registry.IsTokenIssued(answer.FencingToken) {
				c.registry.Claim(election.ShardKey(p.ID), false)
			}
			machine.PauseCommands(c.env.Now() + limit)
			return
		}
		c.acceptSolicitedReport(p, machine, answer, session, seq)
		if status == 409 {
			machine.PauseCommands(c.env.Now() + limit/8)
		}
	})
}

// acceptSolicitedReport takes a report that was made after a question; session and seq are of
// the newest one before it. One that is not newer is from a new life of the machine.
func (c *Controller) acceptSolicitedReport(p *shard.Shard, machine *shard.Machine, report *protocol.Report, session, seq uint64) {
	if session > 0 && seq < math.MaxUint64 && !report.IsNewerThan(session, seq) {
		slog.Info("node: machine is back", "part", p.ID, "machine", machine.ID, "session", report.Incarnation, "token", report.FencingToken)
		machine.ResetIncarnation(c.env.Now())
		return // it is given a token before anything it says is taken
	}
	p.HandleReport(machine, report, false)
}

// queryMachine asks a machine how it is, after a report that is older than what is
// known: a late copy, or of a machine that is back under its name, whose reports
// would be taken for copies until they are numbered higher than those of its life
// before.
func (c *Controller) queryMachine(p *shard.Shard, machine *shard.Machine) {
	if machine.CommandsInFlight() || machine.ThrottleStatusProbe(c.env.Now(), c.reportInterval()) || c.isWorkerCallLimitReached() {
		return
	}
	session, seq := machine.Incarnation, machine.Sequence
	c.fetchMachineStatus(machine.ID, machine.Address, func(report *protocol.Report) {
		if report != nil && c.ownedShard(p.ID) == p && p.Machines[machine.ID] == machine {
			c.acceptSolicitedReport(p, machine, report, session, seq)
		}
	})
}

// isWorkerCallLimitReached: no more machines are to be called for now.
func (c *Controller) isWorkerCallLimitReached() bool {
	return c.workerCallsInFlight >= c.settings.Deployment.Limits.Sockets/8
}

// fetchMachineStatus asks a machine how it is; nil: it did not answer, or another did.
func (c *Controller) fetchMachineStatus(id, address string, done func(report *protocol.Report)) {
	c.workerCallsInFlight++
	report := &protocol.Report{}
	c.env.Call(address, "GET", "/status", nil, report, min(2*time.Second, c.reportInterval()), func(status int) {
		c.workerCallsInFlight--
		if status != 200 || report.Machine != id || report.Validate() != nil {
			report = nil
		}
		done(report)
	})
}
