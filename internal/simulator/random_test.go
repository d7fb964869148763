package simulator

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/protocol"
)

var days = flag.Int("days", 80, "random days to play")
var firstDay = flag.Int("first", 1, "the first one's seed")

// delayedMessageDays: from this seed on days have combined failures.
const delayedMessageDays = 100000

// unreachableDays: from this seed on also those with machines out of reach.
const unreachableDays = 200000

// staleAnswerDays: and those with answers and news that are out of date.
const staleAnswerDays = 300000

// combinedDays: and those of combined_test.go.
const combinedDays = 500000

// pipelineDays: and pipelines, whose stages are cancelled, late, or repeated.
const pipelineDays = 600000

// vouchedOutageDays: and on these the controllers vouch for each other in an outage.
const vouchedOutageDays = 400000

// singleFaults begin at a time and are over by themselves; each says what it does.
var singleFaults = []struct {
	name string
	do   func(cluster *Cluster, random *rand.Rand, machines []*Machine, at, length float64)
}{
	{"a controller crashes", func(cluster *Cluster, random *rand.Rand, _ []*Machine, at, length float64) {
		cluster.crashFor(at, at+3+length/4, cluster.controllerNames[random.IntN(3)])
	}},
	{"all controllers crash", func(cluster *Cluster, random *rand.Rand, _ []*Machine, at, _ float64) {
		cluster.crashFor(at, at+2+2*random.Float64(), cluster.controllerNames...)
	}},
	{"the controllers are rolled", func(cluster *Cluster, _ *rand.Rand, _ []*Machine, at, length float64) {
		for i, name := range cluster.controllerNames {
			cluster.crashFor(at+float64(i)*length/2, at+float64(i)*length/2+3, name)
		}
	}},
	{"a controller stands still", func(cluster *Cluster, random *rand.Rand, _ []*Machine, at, length float64) {
		name, holds := cluster.controllerNames[random.IntN(3)], random.IntN(2) == 0
		cluster.At(at, func() { cluster.Controllers[name].Pause(time.Duration(length*float64(time.Second)), holds) })
	}},
	{"all controllers stand still", func(cluster *Cluster, random *rand.Rand, _ []*Machine, at, length float64) {
		for _, name := range cluster.controllerNames {
			holds := random.IntN(2) == 0
			cluster.At(at+random.Float64(), func() { cluster.Controllers[name].Pause(time.Duration(length*float64(time.Second)), holds) })
		}
	}},
	{"the state service is down", func(cluster *Cluster, _ *rand.Rand, _ []*Machine, at, length float64) {
		cluster.At(at, func() { cluster.State.StartOutage(time.Duration(length * float64(time.Second))) })
	}},
	{"the state service refuses one controller", func(cluster *Cluster, random *rand.Rand, _ []*Machine, at, length float64) {
		name := cluster.controllerNames[random.IntN(3)]
		cluster.At(at, func() { cluster.SetRefusal(name, "state", true) })
		cluster.At(at+2*length, func() { cluster.SetRefusal(name, "state", false) })
	}},
	{"a controller loses the state service", func(cluster *Cluster, random *rand.Rand, _ []*Machine, at, length float64) {
		cluster.cutLinksFor(at, at+2*length, [][2]string{{cluster.controllerNames[random.IntN(3)], "state"}})
	}},
	{"a controller loses its workers", func(cluster *Cluster, random *rand.Rand, machines []*Machine, at, length float64) {
		name := cluster.controllerNames[random.IntN(3)]
		var pairs [][2]string
		for _, machine := range machines {
			pairs = append(pairs, [2]string{machine.Address(), name}, [2]string{machine.Address(), cluster.apiAddress(name)})
		}
		cluster.cutLinksFor(at, at+2*length, pairs)
	}},
	{"controllers refuse each other", func(cluster *Cluster, random *rand.Rand, _ []*Machine, at, length float64) {
		i := random.IntN(3)
		cluster.cutLinksFor(at, at+2*length, [][2]string{{cluster.controllerNames[i], cluster.controllerNames[(i+1)%3]}})
	}},
	{"a zone is cut off", func(cluster *Cluster, random *rand.Rand, _ []*Machine, at, length float64) {
		zone := []string{"a", "b"}[random.IntN(2)]
		cluster.At(at, func() { cluster.At(at+2*length, cluster.PartitionZone(zone)) })
	}},
	{"machines lose the network", func(cluster *Cluster, random *rand.Rand, machines []*Machine, at, length float64) {
		for range 2 {
			cluster.cutLinksFor(at, at+3*length, cluster.machineLinks(machines[random.IntN(len(machines))]))
		}
	}},
	{"a machine loses the network but for one controller", func(cluster *Cluster, random *rand.Rand, machines []*Machine, at, length float64) {
		machine, n := machines[random.IntN(len(machines))], random.IntN(3)
		pairs := cluster.machineLinks(machine)
		cluster.cutLinksFor(at, at+3*length, slices.Delete(pairs, 2*n, 2*n+2))
	}},
	{"machines hang", func(cluster *Cluster, random *rand.Rand, machines []*Machine, at, length float64) {
		for range 2 {
			machine := machines[random.IntN(len(machines))]
			cluster.At(at, func() { machine.Hung = true })
			cluster.At(at+2*length, func() { machine.Hung = false })
		}
	}},
	{"a machine dies", func(cluster *Cluster, random *rand.Rand, machines []*Machine, at, _ float64) {
		cluster.At(at, machines[random.IntN(len(machines))].Die)
	}},
	{"a machine fails every task", func(cluster *Cluster, random *rand.Rand, machines []*Machine, at, length float64) {
		machine := machines[random.IntN(len(machines))]
		cluster.At(at, func() { machine.Faulty = true })
		cluster.At(at+length, func() { machine.Faulty = false })
	}},
	{"the spot machines are taken", func(cluster *Cluster, random *rand.Rand, machines []*Machine, at, length float64) {
		for _, machine := range machines {
			if machine.spot && random.IntN(2) == 0 {
				cluster.At(at+random.Float64(), func() { machine.AnnounceEviction(time.Duration(length / 2 * float64(time.Second))) })
			} else if machine.spot {
				cluster.At(at+random.Float64(), machine.Die)
			}
		}
	}},
	{"a machine is deaf", func(cluster *Cluster, random *rand.Rand, machines []*Machine, at, length float64) {
		cluster.partitionInboundFor(at, at+3*length, machines[random.IntN(len(machines))])
	}},
	{"some machines are deaf for good", func(cluster *Cluster, random *rand.Rand, machines []*Machine, at, _ float64) {
		for range 1 + random.IntN(3) {
			machine := machines[random.IntN(len(machines))]
			cluster.At(at, func() { cluster.SetInboundPartition(machine.Address(), true) })
		}
	}},
	{"a third of the machines are deaf", func(cluster *Cluster, random *rand.Rand, machines []*Machine, at, length float64) {
		for _, machine := range machines {
			if random.IntN(3) == 0 {
				cluster.partitionInboundFor(at, at+2*length, machine)
			}
		}
	}},
	{"reports are copied", func(cluster *Cluster, random *rand.Rand, _ []*Machine, at, length float64) {
		lease := cluster.Settings.Deployment.Workers.Lease
		cluster.At(at, func() {
			cluster.DuplicateReports = func() (late []time.Duration) {
				if random.IntN(3) == 0 {
					late = append(late, time.Duration((0.1+2*lease*random.Float64())*float64(time.Second)))
				}
				return late
			}
		})
		cluster.At(at+length, func() { cluster.DuplicateReports = nil })
	}},
	{"a machine is back at once", func(cluster *Cluster, random *rand.Rand, machines []*Machine, at, _ float64) {
		for range 1 + random.IntN(2) {
			cluster.At(at, func() { machines[random.IntN(len(machines))].Reboot(cluster.randomMoment(random)) })
		}
	}},
	{"a controller is isolated", func(cluster *Cluster, random *rand.Rand, _ []*Machine, at, length float64) {
		name := cluster.controllerNames[random.IntN(3)]
		cluster.At(at, func() { cluster.At(at+2*length, cluster.IsolateController(name)) })
	}},
	{"controllers are back at once", func(cluster *Cluster, random *rand.Rand, _ []*Machine, at, length float64) {
		for _, name := range cluster.controllerNames {
			for range random.IntN(3) {
				t := at + random.Float64()*min(length, 5)
				cluster.At(t, func() {
					if process := cluster.Controllers[name]; process.running {
						process.Crash()
						cluster.after(cluster.randomMoment(random), process.Start)
					}
				})
			}
		}
	}},
	{"a burst", func(cluster *Cluster, random *rand.Rand, _ []*Machine, at, _ float64) {
		submitBurst(cluster, at, 3+random.IntN(5), 1+random.IntN(6), 3+5*random.Float64())
	}},
}

type fault struct {
	name string
	do   func(cluster *Cluster, random *rand.Rand, machines []*Machine, at, length float64)
}

// delayedMessages are what the users saw rules break by, where two troubles meet. Each is a
// pair of them by itself; random days have two or three beside another trouble.
var delayedMessages = []fault{
	{"orders are held up", func(cluster *Cluster, random *rand.Rand, _ []*Machine, at, length float64) {
		cluster.delayRequestsFor(at, at+length, 0.1+0.5*random.Float64(), 0.01, 12*random.Float64(), "/orders")
	}},
	{"answers to orders are lost", func(cluster *Cluster, random *rand.Rand, _ []*Machine, at, length float64) {
		cluster.delayRequestsFor(at, at+length, 0.1+0.4*random.Float64(), 0.001, 0.01, "/orders", "/status")
	}},
	{"answers to reports are lost", func(cluster *Cluster, random *rand.Rand, _ []*Machine, at, length float64) {
		cluster.delayRequestsFor(at, at+length, 0.1+0.4*random.Float64(), 0.001, 6, "/v1/report")
	}},
	{"orders are repeated", func(cluster *Cluster, random *rand.Rand, _ []*Machine, at, length float64) {
		cluster.duplicateOrdersFor(at, at+2*length, 0.5, 0.2, 15)
	}},
	{"writes are late", func(cluster *Cluster, random *rand.Rand, _ []*Machine, at, length float64) {
		cluster.delayRequestsFor(at, at+length, 0.1+0.5*random.Float64(), 2, 12, "/multi")
	}},
	{"the state service is slow", func(cluster *Cluster, random *rand.Rand, _ []*Machine, at, length float64) {
		cluster.At(at, func() {
			cluster.State.ResponseDelay = func(string) time.Duration {
				if random.IntN(3) > 0 {
					return 0
				}
				return time.Duration(2.5 * random.Float64() * float64(time.Second))
			}
		})
		cluster.At(at+length, func() { cluster.State.ResponseDelay = nil })
	}},
	{"a part goes there and back", func(cluster *Cluster, random *rand.Rand, _ []*Machine, at, length float64) {
		cluster.At(at, func() { // its owner is refused until another has taken it, who then ends
			process := cluster.nonLeaderOwner()
			cluster.SetRefusal(process.name, "state", true)
			cluster.after(time.Duration((4+4*random.Float64())*float64(time.Second)), func() {
				cluster.SetRefusal(process.name, "state", false)
				if taker := cluster.nonLeaderOwner(); taker.running && taker != process {
					taker.Crash()
					cluster.after(time.Duration((0.05+length*random.Float64())*float64(time.Second)), taker.Start)
				}
			})
		})
	}},
	{"all end and one returns", func(cluster *Cluster, random *rand.Rand, _ []*Machine, at, length float64) {
		first := random.IntN(3)
		for i, name := range cluster.controllerNames {
			back := at + 3 + 2*length
			if i == first {
				back = at + cluster.randomMoment(random).Seconds()
			}
			cluster.crashFor(at, back, name)
		}
	}},
	{"the leader ends while machines are out of reach", func(cluster *Cluster, random *rand.Rand, machines []*Machine, at, length float64) {
		for range 1 + random.IntN(3) {
			machine := machines[random.IntN(len(machines))]
			if random.IntN(2) == 0 {
				cluster.partitionInboundFor(at-1, at+3*length, machine)
			} else {
				cluster.cutLinksFor(at-1, at+3*length, cluster.machineLinks(machine))
			}
		}
		cluster.At(at, func() {
			process := cluster.leaderProcess()
			if process.running {
				process.Crash()
				cluster.after(time.Duration((0.1+2*length*random.Float64())*float64(time.Second)), process.Start)
			}
		})
	}},
	{"refused alone, then down for all", func(cluster *Cluster, random *rand.Rand, machines []*Machine, at, length float64) {
		g := refusalThenOutage{refused: []func(*Cluster) []string{leaderOnly, largestOwnerOnly, leaderAndLargestOwner}[random.IntN(3)], length: length, outage: length * random.Float64(), back: random.IntN(3) == 0}
		if random.IntN(2) == 0 {
			g.outage = 0
		}
		cluster.inject(&g, machines, at, (0.5+random.Float64())*cluster.Settings.Deployment.Workers.Cancel)
		for i := range 3 {
			cluster.Cancel(at+length*random.Float64(), fmt.Sprintf("wk-%d", i+1))
		}
	}},
	{"the leader is cut off with its workers, and jobs are cancelled", func(cluster *Cluster, random *rand.Rand, machines []*Machine, at, length float64) {
		cluster.At(at, func() {
			cluster.after(time.Duration(3*length*float64(time.Second)), cluster.IsolateController(cluster.leaderProcess().name))
		})
		for i := range 3 {
			cluster.Cancel(at+3*length*random.Float64(), fmt.Sprintf("wk-%d", i+1))
		}
	}},
	{"jobs of two or three tasks, and controllers that end", func(cluster *Cluster, random *rand.Rand, machines []*Machine, at, length float64) {
		cluster.RuntimeSpread = map[string]float64{"apart": 1 + 2*random.Float64()}
		for i := range 4 {
			cluster.Submit(at-2+float64(i), NewSubmission(fmt.Sprintf("wk-t%d", i+1), protocol.ShapeArray, 2+random.IntN(2), 1, 2+6*random.Float64(),
				func(submission *protocol.Submission) { submission.Class = stringPointer("apart") }))
		}
		for range 2 + random.IntN(3) {
			cluster.restartQuickly(at+2*length*random.Float64(), cluster.randomMoment(random).Seconds(), func() *ControllerProcess { return cluster.Controllers[cluster.controllerNames[random.IntN(3)]] })
		}
	}},
}

// randomMoment is a fraction of a second, in which a process or machine may be back.
func (c *Cluster) randomMoment(random *rand.Rand) time.Duration {
	return 50*time.Millisecond + time.Duration(random.IntN(850))*time.Millisecond
}

// partitionInboundFor lets nothing reach a machine for a time.
func (c *Cluster) partitionInboundFor(from, to float64, machine *Machine) {
	c.At(from, func() { c.SetInboundPartition(machine.Address(), true) })
	c.At(to, func() { c.SetInboundPartition(machine.Address(), false) })
}

// useLongLeases: a machine that nobody answers is back at a controller within its lease.
func (c *Cluster) useLongLeases() {
	for _, name := range c.controllerNames {
		d := &c.Controllers[name].settings.Deployment.Workers
		d.Report, d.Lease, d.Cancel = 3, 26, 51
	}
}

// play plays a random day of two to five troubles that overlap and end by 80 s,
// and gives what went wrong.
func play(seed int) (cluster *Cluster, script, wrong []string) { return playObserved(seed, nil) }

// playObserved plays a random day and tells observe, if any, of each message on its network.
func playObserved(seed int, observe func(Traffic)) (cluster *Cluster, script, wrong []string) {
	random := rand.New(rand.NewPCG(uint64(seed), 7))
	cluster = NewCluster(uint64(seed))
	cluster.OnTraffic = observe
	cluster.ServeAPI()
	singles := seed%2 == 1 // every second day has a rush of single tasks, on record as being anywhere
	if singles {
		for _, name := range cluster.controllerNames {
			cluster.Controllers[name].settings.Dispatch.Anywhere = 0
		}
	}
	if seed%4 >= 2 {
		cluster.useLongLeases()
	}
	machines := addMachines(cluster, 4+random.IntN(5), random.IntN(3))
	for range random.IntN(4) {
		machines = append(machines, cluster.AddMachine("small", []string{"a", "b"}[random.IntN(2)], true))
	}
	for _, zone := range []string{"a", "b"} {
		cluster.Cloud.Capacity["small/"+zone+"/false"] = 4
		cluster.Cloud.Capacity["small/"+zone+"/true"] = random.IntN(3)
	}
	for i := range 5 + random.IntN(5) {
		id := fmt.Sprintf("wk-%d", i+1)
		shape, tasks, cores := protocol.ShapeArray, 1+random.IntN(16), float64(1+random.IntN(2))
		if random.IntN(3) == 0 {
			shape, tasks, cores = protocol.ShapeGang, 2+random.IntN(2), float64(2+random.IntN(3))
		}
		if singles && shape == protocol.ShapeArray && i > 0 {
			tasks = 1
		}
		together, apart, mark := random.IntN(3) == 0, random.IntN(4) == 0, 4*float64(random.IntN(2))
		at := 4 + 40*random.Float64()
		cluster.Submit(at, NewSubmission(id, shape, tasks, cores, 4+16*random.Float64(), func(submission *protocol.Submission) {
			save := mark / 4
			apart := apart && !together
			submission.SingleZone, submission.SpreadZones, submission.CheckpointInterval, submission.CheckpointDuration = &together, &apart, &mark, &save
		}))
		if random.IntN(5) == 0 {
			cluster.Cancel(at+20*random.Float64(), id)
		}
	}
	for i := range 20 {
		if at, takes := 6+30*random.Float64(), 3+12*random.Float64(); singles {
			cluster.Submit(at, NewSubmission(fmt.Sprintf("wk-s%d", i), protocol.ShapeArray, 1, 1, takes, nil))
		}
	}
	if seed >= pipelineDays {
		cluster.submitRandomPipelines(random)
	}
	at, burst := 8+20*random.Float64(), false
	if seed >= vouchedOutageDays && seed < combinedDays {
		cluster.enableVouching()
		script = append(script, cluster.randomVouchedOutage(random, machines, at+10*random.Float64()))
	}
	if seed >= delayedMessageDays { // seldom from the first second: something is to be lost
		seen, pool := map[string]bool{}, delayedMessages
		if seed >= unreachableDays {
			pool = slices.Concat(unreachableMachines, delayedMessages)
		}
		if seed >= staleAnswerDays { // half of what meets is of these
			pool = slices.Concat(staleAnswers, staleAnswers, staleAnswers, staleAnswers, pool)
		}
		if seed >= combinedDays { // two of three
			pool = slices.Concat(slices.Repeat(combinedFaults, 10), pool)
		}
		for range 2 + random.IntN(2) {
			m, length := pool[random.IntN(len(pool))], 2+12*random.Float64()
			if seen[m.name] {
				continue
			}
			seen[m.name] = true
			script = append(script, fmt.Sprintf("%.1f %s (%.1f)", at, m.name, length))
			m.do(cluster, random, machines, at, length)
			cluster.histories.FaultsOver = max(cluster.histories.FaultsOver, time.Duration((at+4*length+1.5*cluster.Settings.Deployment.Workers.Cancel+4)*float64(time.Second)))
			at += 10 * random.Float64()
		}
	}
	more := 2 + random.IntN(4)
	if seed >= delayedMessageDays {
		more /= 3
	}
	for range more {
		t, length := singleFaults[random.IntN(len(singleFaults))], 2+14*random.Float64()
		if t.name == "a burst" && burst {
			continue // its jobs have the same names
		}
		burst = burst || t.name == "a burst"
		script = append(script, fmt.Sprintf("%.1f %s (%.1f)", at, t.name, length))
		t.do(cluster, random, machines, at, length)
		cluster.histories.FaultsOver = max(cluster.histories.FaultsOver, time.Duration((at+3*length+4)*float64(time.Second)))
		at += 8 * random.Float64()
	}
	cluster.monitorWaitingJobs()
	cluster.Start()
	cluster.Run(400)
	return cluster, script, cluster.checkDay(seed >= delayedMessageDays)
}

// checkDay tells what was wrong with a day that is over: broken rules, what the users
// added to them, caches that differ from the state service, and jobs that have not
// ended. outages: a user may have given up a submission that fell into one.
func (c *Cluster) checkDay(outages bool) (wrong []string) {
	if len(c.staleCaches()) > 0 { // not for something that is on its way just now
		c.Run(c.now.Seconds() + 5)
		wrong = append(wrong, c.staleCaches()...)
	}
	wrong = append(wrong, c.Violations...)
	wrong = append(wrong, c.ServiceLevelViolations()...)
	for id := range c.jobs {
		got := c.ReportedStatus(id)
		gaveUp := outages && got == "" && c.failedSubmissions[id] > 15 // of 31 tries
		if got != protocol.JobDone && got != protocol.JobCancelled && !gaveUp {
			wrong = append(wrong, c.describeUnfinished(id))
		}
	}
	slices.Sort(wrong)
	return wrong
}

// describeUnfinished says of a job that has not ended what it is and why it waits.
func (c *Cluster) describeUnfinished(id string) string {
	job, why := c.jobs[id], ""
	for _, name := range c.runningControllers() {
		if x := c.Controllers[name].Controller.DebugState().WaitingJobs[id]; x != "" {
			why += name + ": " + x + "; "
		}
	}
	return fmt.Sprintf("%s is %q at the end (%s %d x %v one zone %v apart %v): %s", id, c.ReportedStatus(id), job.Shape, job.Tasks, job.Cores, job.SingleZone, job.SpreadZones, why)
}

// Random days: whatever overlaps, no rule breaks and all is done or cancelled in
// the end. A day that fails is played again by its seed:
// go test ./internal/simulator -run TestRandomDays -first SEED -days 1 -v
func TestRandomDays(t *testing.T) {
	randomDays(t, *firstDay)
}

func randomDays(t *testing.T, first int) {
	for seed := first; seed < first+*days; seed++ {
		cluster, script, wrong := play(seed)
		if len(wrong) > 0 {
			t.Errorf("day %d: %s\n  with %s", seed, strings.Join(wrong, "; "), strings.Join(script, ", "))
		}
		if *days == 1 {
			t.Log(cluster.TraceText())
		}
	}
}

// The same with combined failures.
func TestRandomDelayedMessages(t *testing.T) { randomDays(t, *firstDay+delayedMessageDays) }

// Days that failed once, each of its own cause or mended together: kept.
func TestRegressionDays(t *testing.T) {
	for _, seed := range []int{
		200018, 200229, 200244, 200352, 200586, 200590, 200681, // jobs of a team whose part has no machine left
		203025, // a gang that was stopped twice before its launch
		20046,  // the rest of an array in one zone, in a part without more machines there
		5110,   // a gang and a machine that is in doubt for ever
		300683, // a gang apart, and machines that are rented in the wrong zone
		200526, // of the judge: an unaccepted job's repetition without a field gets 400
	} {
		if _, script, wrong := play(seed); len(wrong) > 0 {
			t.Errorf("day %d: %s\n  with %s", seed, strings.Join(wrong, "; "), strings.Join(script, ", "))
		}
	}
}

// And with those of the users' letter that came later.
func TestRandomUnreachableMachines(t *testing.T) { randomDays(t, *firstDay+unreachableDays) }

// An array that had started in a part stayed there, however few machines that had, though
// others had room (day 10526: one machine for 16 tasks, beside idle ones that went back).
func TestStartedArrayUsesCapacityElsewhere(t *testing.T) {
	if _, script, wrong := play(10526); len(wrong) > 0 {
		t.Errorf("%s\n  with %s", strings.Join(wrong, "; "), strings.Join(script, ", "))
	}
}
