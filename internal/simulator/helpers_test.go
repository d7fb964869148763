package simulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// What days of several tests are made of: failures, questions of users, what is looked for.

// newMonitoredCluster is a deployment whose users see whether jobs wait beside room, once all troubles are
// over, in seconds.
func newMonitoredCluster(seed uint64, calm float64) *Cluster {
	cluster := NewCluster(seed)
	cluster.ServeAPI()
	cluster.histories.FaultsOver = time.Duration(calm * float64(time.Second))
	cluster.monitorWaitingJobs()
	return cluster
}

// delayRequestsFor has a share of the requests to a path get no answer for a time, and be carried
// out from least to most seconds later.
func (c *Cluster) delayRequestsFor(from, to, share, least, most float64, paths ...string) {
	c.DelayedRequests = append(c.DelayedRequests, func(_, path string, _ []byte) (time.Duration, bool) {
		now := c.now.Seconds()
		if now < from || now >= to || !slices.Contains(paths, path) || c.random.Float64() >= share {
			return 0, false
		}
		return time.Duration((least + (most-least)*c.random.Float64()) * float64(time.Second)), true
	})
}

// duplicateOrdersFor has a share of the orders to machines arrive again, least to most seconds
// after they were carried out.
func (c *Cluster) duplicateOrdersFor(from, to, share, least, most float64) {
	c.At(from, func() {
		c.DuplicateRequest = func(to string) time.Duration {
			if !strings.Contains(to, "w-i-") || c.random.Float64() >= share {
				return 0
			}
			return time.Duration((least + (most-least)*c.random.Float64()) * float64(time.Second))
		}
	})
	c.At(to, func() { c.DuplicateRequest = nil })
}

func leaderOnly(cluster *Cluster) []string { return []string{cluster.leaderProcess().name} }

func largestOwnerOnly(cluster *Cluster) []string { return []string{cluster.largestOwner().name} }

func leaderAndLargestOwner(cluster *Cluster) []string {
	return []string{cluster.leaderProcess().name, cluster.largestOwner().name}
}

// largestOwner is the owner of most machines but the leader.
func (c *Cluster) largestOwner() *ControllerProcess {
	best, most := c.leaderProcess(), -1
	for _, name := range c.runningControllers() {
		all := 0
		for _, p := range c.Controllers[name].Controller.DebugState().Shards {
			all += p.Machines
		}
		if process := c.Controllers[name]; process != c.leaderProcess() && all > most {
			best, most = process, all
		}
	}
	return best
}

// partitionOutbound lets machines reach no controller for a time, while direct commands reach them.
func (c *Cluster) partitionOutbound(from, to float64, machines ...*Machine) {
	c.At(from, func() {
		for _, machine := range machines {
			c.Trace("%s reaches nobody", machine.id)
		}
	})
	c.DelayedRequests = append(c.DelayedRequests, func(by, path string, _ []byte) (time.Duration, bool) {
		now := c.now.Seconds()
		return time.Hour, now >= from && now < to && path == "/v1/report" && slices.ContainsFunc(machines, func(machine *Machine) bool { return machine.address == by })
	})
}

// addLinkLatency has messages from and to machines take up to so many seconds each way.
func (c *Cluster) addLinkLatency(from, to, most float64) {
	c.At(from, func() {
		c.ExtraLatency = func(a, violation string) time.Duration {
			if !strings.Contains(a+violation, "w-i-") {
				return 0
			}
			return time.Duration(most * c.random.Float64() * float64(time.Second))
		}
	})
	c.At(to, func() { c.ExtraLatency = nil })
}

// killMachinesOf ends all machines that a controller answers.
func (c *Cluster) killMachinesOf(process *ControllerProcess, machines []*Machine) {
	for _, machine := range machines {
		if c.ownerOf(machine) == process {
			machine.Die()
		}
	}
}

// repeatRequest has a user ask about a job, submit it once more, or cancel it, at one
// controller. What it says must agree with all that was said before the question.
func (c *Cluster) repeatRequest(node, what string, submission *protocol.Submission) {
	id, out, asked, known := *submission.ID, &protocol.JobState{}, c.now, c.reportedStatus[*submission.ID] != ""
	method, path, body := "POST", "/v2/runs", any(submission)
	switch what {
	case "ask":
		method, path, body = "GET", "/v2/runs/"+id, nil
	case "cancel":
		path, body = "/v2/runs/"+id+"/abort", nil
		c.cancelledAt[id] = max(c.cancelledAt[id], 1)
	}
	c.request(c.address("user"), c.apiAddress(node), method, path, body, out, 5*time.Second, func(status int) {
		switch {
		case status == 400 || status == 404 || status == 422:
			if known { // else nobody was told that it is accepted
				c.reportViolation("forgotten: %s, %s at %s gets %d", id, what, node, status)
			}
		case status/100 != 2, c.endReportedAt[id] > asked && out.Status != c.reportedStatus[id]:
		case what == "cancel" && out.Status == protocol.JobCancelled && c.cancelledAt[id] <= 1:
			c.recordCancellation(id)
			c.recordStatus(id, out.Status)
		default:
			c.recordStatus(id, out.Status)
		}
	})
}

// sendInvalidRequests has users repeat submissions of a job, also with other fields, and submit jobs
// that lack a field or can never run.
func (c *Cluster) sendInvalidRequests(from, to float64, submission *protocol.Submission) {
	n := 0
	for at := from; at < to; at += 0.7 {
		n++
		other, none, never := *submission, *submission, *submission
		other.Tasks, other.Estimate = nil, nil
		none.ID, never.ID = stringPointer(fmt.Sprintf("wk-x%d", n)), stringPointer(fmt.Sprintf("wk-y%d", n))
		lacks := []func(){func() { none.Image = nil }, func() { none.Cores = nil }, func() { none.SingleZone = nil }, func() { none.Priority = stringPointer("urgent") }, func() { none.Zone = stringPointer("") }}
		lacks[n%len(lacks)]()
		cores, many, gang, yes := 4096.0, uint64(9), protocol.ShapeGang, true
		hopeless := []func(){func() { never.Cores = &cores }, func() { never.Team = stringPointer("nobody") }, func() { never.MachineTypes = []string{"none"} },
			func() { never.Team, never.Shape, never.Tasks = stringPointer("blue"), &gang, &many },
			func() { never.Shape, never.Tasks, never.SpreadZones, never.SingleZone = &gang, &many, &yes, &yes },
			func() {
				never.Shape, never.Tasks, never.SpreadZones, never.Zone = &gang, &many, &yes, stringPointer("b")
			}}
		hopeless[n%len(hopeless)]()
		c.At(at, func() {
			node := c.controllerNames[n%len(c.controllerNames)]
			c.repeatRequest(node, "submit", submission)
			c.repeatRequest(node, "submit", &other)
			refused := func(submission *protocol.Submission, want int) {
				c.request(c.address("user"), c.apiAddress(node), "POST", "/v2/runs", submission, nil, 5*time.Second, func(status int) {
					if status != want && status != 503 && status != 429 && status != 0 {
						c.reportViolation("accepted though it can't run: %s gets %d", *submission.ID, status)
					}
				})
			}
			refused(&none, 400)
			refused(&never, 422)
		})
	}
}

// tasksStartedOnce counts the tasks of a job that started once only.
func (c *Cluster) tasksStartedOnce(id string) (n int) {
	for i := range c.jobs[id].Tasks {
		if strings.Count(c.TraceText(), fmt.Sprintf("starts %s/%d\n", id, i)) == 1 {
			n++
		}
	}
	return n
}

// delayResponsesFor has the state service carry out requests at once and answer those for the path
// up to so many seconds late.
func (c *Cluster) delayResponsesFor(path string, random *rand.Rand, from, to, most float64) {
	c.At(from, func() {
		c.State.ResponseDelay = func(p string) time.Duration {
			if !strings.HasPrefix(p, path) {
				return 0
			}
			return time.Duration((0.2 + (most-0.2)*random.Float64()) * float64(time.Second))
		}
	})
	c.At(to, func() { c.State.ResponseDelay = nil })
}

// staleCaches lists what controllers have in their caches that the state service does not
// have, or has otherwise, and what their parts have of jobs that are over, when all has
// been calm for long.
func (c *Cluster) staleCaches() (wrong []string) {
	for _, name := range c.runningControllers() {
		l := c.Controllers[name].Controller.Store()
		mine := 0
		for _, key := range c.State.keys("a/") {
			mine++
			if e, ok := l.Get(key); !ok || e.Revision != c.State.entries[key].Revision {
				wrong = append(wrong, fmt.Sprintf("%s has not %s as it is", name, key))
			}
		}
		if l.IsLoaded() && l.CachedKeys() > mine {
			wrong = append(wrong, fmt.Sprintf("%s has %d keys, there are %d", name, l.CachedKeys(), mine))
		}
		for _, p := range c.Controllers[name].Controller.DebugState().Shards {
			if p.Jobs > len(c.State.keys(shard.JobKey(""))) {
				wrong = append(wrong, fmt.Sprintf("part %d of %s has %d jobs, there are %d", p.Shard, name, p.Jobs, len(c.State.keys(shard.JobKey("")))))
			}
		}
	}
	return wrong
}
