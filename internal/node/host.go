package node

import (
	"time"

	"curlewspool/internal/ledger"
	"curlewspool/internal/part"
	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
)

// This file is what the slices ask of their controller.

// Now is the steady clock.
func (n *Node) Now() time.Duration { return n.w.Now() }

// Wall is the time of day, in seconds.
func (n *Node) Wall() float64 { return float64(n.w.Wall().UnixMilli()) / 1000 }

// Ledger is the controller's view of the state service.
func (n *Node) Ledger() *ledger.Ledger { return n.l }

// Settings are those of the platform and of the operators.
func (n *Node) Settings() *settings.Settings { return n.s }

// Types are the machine types that the cloud rents, by name.
func (n *Node) Types() map[string]*wire.MachineType { return n.types }

// TypeOf is one of them; nil: it is not known.
func (n *Node) TypeOf(name string) *wire.MachineType { return n.types[name] }

// Job is a live job's record in the cache; nil: there is none that can be read.
func (n *Node) Job(id string) *part.JobRecord { return n.jobs[id] }

// MayLaunch tells whether the cache is recent enough for tasks to be started. With
// an older one a job could be started that its user was told is cancelled.
func (n *Node) MayLaunch() bool {
	return n.l.Loaded() && n.l.Grant.Valid() && n.l.Age() < n.launchAge()
}

// launchAge: a watch is answered after at most its hold time when nothing
// changes, so a syncing tick keeps the cache younger than this.
func (n *Node) launchAge() time.Duration {
	return max(time.Second, time.Duration(n.s.Deployment.Workers.Report*float64(time.Second)))
}

// Counts is what the ledger says of a live job's tasks.
func (n *Node) Counts(id string) (doneTasks, running int, started bool) {
	rec := n.jobs[id]
	if rec == nil {
		return 0, 0, false
	}
	for _, p := range n.progress[id] {
		started = true
		running += p.Running
		for _, r := range p.Done {
			doneTasks += r[1] - r[0] + 1
		}
	}
	if len(rec.Done) > 0 || len(rec.Away) > 0 { // some of it was, or is, at a partner
		ranges, abroad := n.Progress(id)
		doneTasks, running, started = 0, abroad, true
		for _, r := range ranges {
			doneTasks += r[1] - r[0] + 1
		}
	}
	doneTasks = min(doneTasks, rec.Job.Tasks)
	return doneTasks, min(running, rec.Job.Tasks-doneTasks), started
}

// Deadlines of a job: one without its own has those that the objectives set
// for its class (ours).
func (n *Node) Deadlines(j *wire.Job) []float64 {
	if j.Deadline > 0 {
		return []float64{j.Deadline}
	}
	d, ok := n.due[j.Class]
	if !ok {
		d = n.s.Deadlines(j.Class)
		n.due[j.Class] = d
	}
	return d
}

// TeamDemand sums a team's unfinished jobs.
func (n *Node) TeamDemand(team string) (cores, gpus float64) {
	now := n.w.Now()
	if n.demand == nil || now-n.demandAt > time.Second/4 {
		n.demand, n.demandAt = map[string][2]float64{}, now
		for id, rec := range n.jobs {
			if rec.Waits() {
				continue // it holds nothing of a guarantee
			}
			d, _, _ := n.Counts(id)
			t := n.demand[rec.Job.Team]
			t[0] += rec.Job.Cores * float64(rec.Job.Tasks-d)
			t[1] += rec.Job.GPUs * float64(rec.Job.Tasks-d)
			n.demand[rec.Job.Team] = t
		}
	}
	t := n.demand[team]
	return t[0], t[1]
}
