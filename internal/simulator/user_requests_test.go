package simulator

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"curlewspool/internal/protocol"
)

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

// pollEveryController has users ask at all controllers, again and again within milliseconds,
// and repeat the submission, right after a job was accepted, done or confirmed as
// cancelled; a share of the jobs is cancelled at once.
func (c *Cluster) pollEveryController(random *rand.Rand, cancelled float64) {
	c.OnStatusReported = func(id string, status protocol.JobStatus) {
		if status == protocol.JobRunning {
			return
		}
		cancel := status == protocol.JobPending && random.Float64() < cancelled
		for i, name := range c.controllerNames {
			for k := range 4 {
				what := []string{"ask", "submit", "ask", "ask"}[(i+k)%4]
				if cancel && k == 1 && i == int(c.now)%len(c.controllerNames) {
					what = "cancel"
				}
				c.after(time.Duration(random.IntN(15*(k+1)))*time.Millisecond, func() { c.repeatRequest(name, what, c.submissions[id]) })
			}
		}
	}
}

// pollAllJobs asks a controller about all jobs that were accepted.
func (c *Cluster) pollAllJobs(node string) {
	for _, id := range slices.Sorted(maps.Keys(c.submissions)) {
		if c.reportedStatus[id] != "" {
			c.repeatRequest(node, "ask", c.submissions[id])
		}
	}
}

// submitOnceAccepted submits as users do: as soon as those that it needs are accepted.
func (c *Cluster) submitOnceAccepted(at float64, submission *protocol.Submission) {
	c.At(at, func() {
		for _, need := range submission.Dependencies {
			if c.reportedStatus[need] == "" {
				c.submitOnceAccepted(c.now.Seconds()+0.1, submission)
				return
			}
		}
		c.trySubmit(submission, 0)
	})
}

// submitPipeline submits four stages as users do, each as soon as those that it needs are
// accepted: a first one, two that need it, a gang that needs both, and a last one.
func (c *Cluster) submitPipeline(at float64, name string) (ids []string) {
	first, left, right, join, last := name+"-first", name+"-left", name+"-right", name+"-join", name+"-last"
	due := 120.0
	c.Submit(at, NewSubmission(first, protocol.ShapeArray, 4, 1, 5, nil))
	c.submitOnceAccepted(at+0.2, NewSubmission(left, protocol.ShapeArray, 6, 1, 4, DependsOn(first)))
	c.submitOnceAccepted(at+0.3, NewSubmission(right, protocol.ShapeArray, 3, 1, 8, DependsOn(first)))
	c.submitOnceAccepted(at+0.5, NewSubmission(join, protocol.ShapeGang, 2, 2, 5, DependsOn(left, right)))
	c.submitOnceAccepted(at+0.7, NewSubmission(last, protocol.ShapeArray, 2, 1, 3, func(submission *protocol.Submission) {
		DependsOn(join)(submission)
		submission.Priority, submission.Deadline = stringPointer("high"), &due
	}))
	return []string{first, left, right, join, last}
}

// submitRandomPipelines submits some pipelines of random form: each stage needs one to three of
// those before it; some stages are cancelled, late, or need something that is long over.
func (c *Cluster) submitRandomPipelines(random *rand.Rand) {
	for p := range 2 + random.IntN(3) {
		at := 5 + 25*random.Float64()
		for i := range 3 + random.IntN(4) {
			id := fmt.Sprintf("wk-p%d-%d", p, i)
			var needs []string
			for range min(i, 1+random.IntN(3)) {
				needs = append(needs, fmt.Sprintf("wk-p%d-%d", p, random.IntN(i)))
			}
			shape, tasks, due := protocol.ShapeArray, 1+random.IntN(5), 60+60*random.Float64()
			if random.IntN(4) == 0 {
				shape, tasks = protocol.ShapeGang, 2
			}
			c.submitOnceAccepted(at+0.1*float64(i), NewSubmission(id, shape, tasks, 1, 2+6*random.Float64(), func(submission *protocol.Submission) {
				submission.Dependencies, submission.Deadline = needs, &due
			}))
			if random.IntN(10) == 0 {
				c.Cancel(at+30*random.Float64(), id)
			}
			if random.IntN(6) == 0 {
				at += 30 * random.Float64()
			}
		}
	}
}

// makePartsUneven has some parts full for longer than they seemed to be, so that chunks move.
func (c *Cluster) makePartsUneven() {
	c.RuntimeFactors = map[string]float64{"long": 6}
	for i := range 24 {
		c.Submit(5+float64(i)/2, NewSubmission(fmt.Sprintf("wk-%d", i+1), protocol.ShapeArray, 4+i%3, 1, 6, func(submission *protocol.Submission) {
			if i%3 == 0 {
				submission.Class = stringPointer("long")
			}
		}))
	}
}
