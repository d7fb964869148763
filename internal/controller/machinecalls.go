package controller

import (
	"log/slog"
	"math"
	"net/http"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

const (
	// maxMachineCallTimeout bounds the duration of one request to an agent.
	maxMachineCallTimeout = 2 * time.Second
	// maxCommandBackoffDoublings limits the growth of the backoff after unanswered command
	// batches.
	maxCommandBackoffDoublings = 4
)

// reportInterval returns the period of the agents' reports.
func (c *Controller) reportInterval() time.Duration {
	return env.Seconds(c.settings.Deployment.Workers.Report)
}

func (c *Controller) machineCallTimeout() time.Duration {
	return min(maxMachineCallTimeout, c.reportInterval())
}

// isMachineCallLimitReached reports whether no further request to an agent may be started now.
// These requests may use at most an eighth of the sockets.
func (c *Controller) isMachineCallLimitReached() bool {
	return c.machineCallsInFlight >= c.settings.Deployment.Limits.Sockets/8
}

// commandCall is a command batch in flight to a machine.
type commandCall struct {
	owned   *shard.Shard
	machine *shard.Machine
	batch   *protocol.CommandBatch
	known   reportVersion // the machine's latest report before the call
	timeout time.Duration
}

// SendCommands sends a machine its commands without waiting for its next report. A request without
// commands still carries the shard's fencing token, and its answer is a report. If the request
// cannot be sent now, the shard's next tick tries again.
func (c *Controller) SendCommands(owned *shard.Shard, machine *shard.Machine) {
	if c.ownedShard(owned.ID) != owned || machine.CommandsInFlight() || machine.Address == "" || c.isMachineCallLimitReached() {
		return
	}
	c.machineCallsInFlight++
	machine.CommandsSent()
	batch := &protocol.CommandBatch{
		FencingToken: machine.FencingToken,
		Incarnation:  max(machine.Incarnation, 1),
		Commands:     nonNilCommands(machine.NextCommands(agent.Direct, c.CanLaunch(), c.env.Now())),
	}
	call := &commandCall{
		owned:   owned,
		machine: machine,
		batch:   batch,
		known:   latestReportOf(machine),
		timeout: c.machineCallTimeout(),
	}
	answer := &protocol.Report{}
	c.env.Call(machine.Address, http.MethodPost, "/orders", batch, answer, call.timeout, func(status int) {
		c.machineCallsInFlight--
		c.handleCommandAnswer(call, status, answer)
	})
}

// handleCommandAnswer handles the outcome of a call. An agent answers 200, or 409 if it executed
// nothing because the fencing token or the incarnation is not the latest. Both answers are
// reports. After any other outcome it is unknown whether the commands were executed.
func (c *Controller) handleCommandAnswer(call *commandCall, status int, answer *protocol.Report) {
	machine := call.machine
	isAnswered := status == http.StatusOK || status == http.StatusConflict
	if !isAnswered || !isReportOf(answer, machine.ID) {
		c.handleLostCommands(call)
		return
	}
	machine.CommandsAnswered()
	if !c.isCurrent(call.owned, machine) {
		return
	}
	if answer.FencingToken > machine.FencingToken {
		c.claimHigherToken(call.owned, answer.FencingToken)
		machine.PauseCommands(c.env.Now() + call.timeout)
		return
	}
	c.acceptSolicitedReport(call.owned, machine, answer, call.known)
	if status == http.StatusConflict {
		machine.PauseCommands(c.env.Now() + call.timeout/8)
	}
}

// handleLostCommands handles a command batch whose outcome is unknown. Unresponsive machines must
// not occupy sockets that others need. So the backoff before the next batch doubles with each
// unanswered batch, up to a limit, and has jitter.
func (c *Controller) handleLostCommands(call *commandCall) {
	machine := call.machine
	machine.CommandsLost(call.batch.FencingToken)
	doublings := min(machine.UnansweredCommands(), maxCommandBackoffDoublings)
	backoff := (call.timeout << doublings) / 2
	jitter := time.Duration(c.env.Rand().Int64N(int64(call.timeout) / 2))
	machine.PauseCommands(c.env.Now() + backoff + jitter)
}

// reportVersion identifies a report of a machine.
type reportVersion struct {
	incarnation uint64
	sequence    uint64
}

func latestReportOf(machine *shard.Machine) reportVersion {
	return reportVersion{incarnation: machine.Incarnation, sequence: machine.Sequence}
}

// acceptSolicitedReport handles a report that an agent sent in answer to a request. known is the
// machine's newest report before the request. An answer that is not newer than known comes from a
// restarted machine.
func (c *Controller) acceptSolicitedReport(owned *shard.Shard, machine *shard.Machine, report *protocol.Report, known reportVersion) {
	canBeNewer := known.incarnation > 0 && known.sequence < math.MaxUint64
	if canBeNewer && !report.IsNewerThan(known.incarnation, known.sequence) {
		slog.Info("controller: machine restarted", "shard", owned.ID, "machine", machine.ID,
			"incarnation", report.Incarnation, "fencing_token", report.FencingToken)
		machine.ResetIncarnation(c.env.Now())
		return // its reports are accepted only after it has received a fencing token
	}
	owned.HandleReport(machine, report, agent.Requested)
}

// queryMachine requests a machine's status after a report that is older than the latest one. Such a
// report may be a late copy, or come from a restarted machine. Without the request, the reports of
// a restarted machine would be taken for late copies until their incarnation and sequence numbers
// exceed those of the latest report.
func (c *Controller) queryMachine(owned *shard.Shard, machine *shard.Machine) {
	if machine.CommandsInFlight() || machine.ThrottleStatusProbe(c.env.Now(), c.reportInterval()) || c.isMachineCallLimitReached() {
		return
	}
	known := latestReportOf(machine)
	c.fetchMachineStatus(machine.ID, machine.Address, func(report *protocol.Report) {
		if report != nil && c.isCurrent(owned, machine) {
			c.acceptSolicitedReport(owned, machine, report, known)
		}
	})
}

// fetchMachineStatus requests a machine's report and passes it to done. It passes nil if the machine
// did not answer or if another machine did.
func (c *Controller) fetchMachineStatus(id, address string, done func(report *protocol.Report)) {
	c.machineCallsInFlight++
	report := &protocol.Report{}
	c.env.Call(address, http.MethodGet, "/status", nil, report, c.machineCallTimeout(), func(status int) {
		c.machineCallsInFlight--
		if status != http.StatusOK || !isReportOf(report, id) {
			report = nil
		}
		done(report)
	})
}

// isCurrent reports whether this controller still owns the shard and the machine is still in it.
func (c *Controller) isCurrent(owned *shard.Shard, machine *shard.Machine) bool {
	return c.ownedShard(owned.ID) == owned && owned.Machines[machine.ID] == machine
}

func isReportOf(report *protocol.Report, machineID string) bool {
	return report.Machine == machineID && report.Validate() == nil
}
