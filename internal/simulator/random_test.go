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
	do   func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64)
}{
	{"a controller crashes", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		s.crashFor(at, at+3+length/4, s.controllerNames[r.IntN(3)])
	}},
	{"all controllers crash", func(s *Cluster, r *rand.Rand, _ []*Machine, at, _ float64) {
		s.crashFor(at, at+2+2*r.Float64(), s.controllerNames...)
	}},
	{"the controllers are rolled", func(s *Cluster, _ *rand.Rand, _ []*Machine, at, length float64) {
		for i, n := range s.controllerNames {
			s.crashFor(at+float64(i)*length/2, at+float64(i)*length/2+3, n)
		}
	}},
	{"a controller stands still", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		n, holds := s.controllerNames[r.IntN(3)], r.IntN(2) == 0
		s.At(at, func() { s.Controllers[n].Pause(time.Duration(length*float64(time.Second)), holds) })
	}},
	{"all controllers stand still", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		for _, n := range s.controllerNames {
			holds := r.IntN(2) == 0
			s.At(at+r.Float64(), func() { s.Controllers[n].Pause(time.Duration(length*float64(time.Second)), holds) })
		}
	}},
	{"the state service is down", func(s *Cluster, _ *rand.Rand, _ []*Machine, at, length float64) {
		s.At(at, func() { s.State.StartOutage(time.Duration(length * float64(time.Second))) })
	}},
	{"the state service refuses one controller", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		n := s.controllerNames[r.IntN(3)]
		s.At(at, func() { s.SetRefusal(n, "state", true) })
		s.At(at+2*length, func() { s.SetRefusal(n, "state", false) })
	}},
	{"a controller loses the state service", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		s.cutLinksFor(at, at+2*length, [][2]string{{s.controllerNames[r.IntN(3)], "state"}})
	}},
	{"a controller loses its workers", func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64) {
		n := s.controllerNames[r.IntN(3)]
		var pairs [][2]string
		for _, x := range w {
			pairs = append(pairs, [2]string{x.Address(), n}, [2]string{x.Address(), s.apiAddress(n)})
		}
		s.cutLinksFor(at, at+2*length, pairs)
	}},
	{"controllers refuse each other", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		i := r.IntN(3)
		s.cutLinksFor(at, at+2*length, [][2]string{{s.controllerNames[i], s.controllerNames[(i+1)%3]}})
	}},
	{"a zone is cut off", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		zone := []string{"a", "b"}[r.IntN(2)]
		s.At(at, func() { s.At(at+2*length, s.PartitionZone(zone)) })
	}},
	{"machines lose the network", func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64) {
		for range 2 {
			s.cutLinksFor(at, at+3*length, s.machineLinks(w[r.IntN(len(w))]))
		}
	}},
	{"a machine loses the network but for one controller", func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64) {
		x, n := w[r.IntN(len(w))], r.IntN(3)
		pairs := s.machineLinks(x)
		s.cutLinksFor(at, at+3*length, slices.Delete(pairs, 2*n, 2*n+2))
	}},
	{"machines hang", func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64) {
		for range 2 {
			x := w[r.IntN(len(w))]
			s.At(at, func() { x.Hung = true })
			s.At(at+2*length, func() { x.Hung = false })
		}
	}},
	{"a machine dies", func(s *Cluster, r *rand.Rand, w []*Machine, at, _ float64) { s.At(at, w[r.IntN(len(w))].Die) }},
	{"a machine fails every task", func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64) {
		x := w[r.IntN(len(w))]
		s.At(at, func() { x.Faulty = true })
		s.At(at+length, func() { x.Faulty = false })
	}},
	{"the spot machines are taken", func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64) {
		for _, x := range w {
			if x.spot && r.IntN(2) == 0 {
				s.At(at+r.Float64(), func() { x.AnnounceEviction(time.Duration(length / 2 * float64(time.Second))) })
			} else if x.spot {
				s.At(at+r.Float64(), x.Die)
			}
		}
	}},
	{"a machine is deaf", func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64) {
		s.partitionInboundFor(at, at+3*length, w[r.IntN(len(w))])
	}},
	{"some machines are deaf for good", func(s *Cluster, r *rand.Rand, w []*Machine, at, _ float64) {
		for range 1 + r.IntN(3) {
			x := w[r.IntN(len(w))]
			s.At(at, func() { s.SetInboundPartition(x.Address(), true) })
		}
	}},
	{"a third of the machines are deaf", func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64) {
		for _, x := range w {
			if r.IntN(3) == 0 {
				s.partitionInboundFor(at, at+2*length, x)
			}
		}
	}},
	{"reports are copied", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		lease := s.Settings.Deployment.Workers.Lease
		s.At(at, func() {
			s.DuplicateReports = func() (late []time.Duration) {
				if r.IntN(3) == 0 {
					late = append(late, time.Duration((0.1+2*lease*r.Float64())*float64(time.Second)))
				}
				return late
			}
		})
		s.At(at+length, func() { s.DuplicateReports = nil })
	}},
	{"a machine is back at once", func(s *Cluster, r *rand.Rand, w []*Machine, at, _ float64) {
		for range 1 + r.IntN(2) {
			s.At(at, func() { w[r.IntN(len(w))].Reboot(s.randomMoment(r)) })
		}
	}},
	{"a controller is isolated", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		n := s.controllerNames[r.IntN(3)]
		s.At(at, func() { s.At(at+2*length, s.IsolateController(n)) })
	}},
	{"controllers are back at once", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		for _, n := range s.controllerNames {
			for range r.IntN(3) {
				t := at + r.Float64()*min(length, 5)
				s.At(t, func() {
					if h := s.Controllers[n]; h.running {
						h.Crash()
						s.after(s.randomMoment(r), h.Start)
					}
				})
			}
		}
	}},
	{"a burst", func(s *Cluster, r *rand.Rand, _ []*Machine, at, _ float64) {
		submitBurst(s, at, 3+r.IntN(5), 1+r.IntN(6), 3+5*r.Float64())
	}},
}

type fault struct {
	name string
	do   func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64)
}

// delayedMessages are what the users saw rules break by, where two troubles meet. Each is a
// pair of them by itself; random days have two or three beside another trouble.
var delayedMessages = []fault{
	{"orders are held up", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		s.delayRequestsFor(at, at+length, 0.1+0.5*r.Float64(), 0.01, 12*r.Float64(), "/orders")
	}},
	{"answers to orders are lost", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		s.delayRequestsFor(at, at+length, 0.1+0.4*r.Float64(), 0.001, 0.01, "/orders", "/status")
	}},
	{"answers to reports are lost", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		s.delayRequestsFor(at, at+length, 0.1+0.4*r.Float64(), 0.001, 6, "/v1/report")
	}},
	{"orders are repeated", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		s.duplicateOrdersFor(at, at+2*length, 0.5, 0.2, 15)
	}},
	{"writes are late", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		s.delayRequestsFor(at, at+length, 0.1+0.5*r.Float64(), 2, 12, "/multi")
	}},
	{"the state service is slow", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		s.At(at, func() {
			s.State.ResponseDelay = func(string) time.Duration {
				if r.IntN(3) > 0 {
					return 0
				}
				return time.Duration(2.5 * r.Float64() * float64(time.Second))
			}
		})
		s.At(at+length, func() { s.State.ResponseDelay = nil })
	}},
	{"a part goes there and back", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		s.At(at, func() { // its owner is refused until another has taken it, who then ends
			h := s.nonLeaderOwner()
			s.SetRefusal(h.name, "state", true)
			s.after(time.Duration((4+4*r.Float64())*float64(time.Second)), func() {
				s.SetRefusal(h.name, "state", false)
				if taker := s.nonLeaderOwner(); taker.running && taker != h {
					taker.Crash()
					s.after(time.Duration((0.05+length*r.Float64())*float64(time.Second)), taker.Start)
				}
			})
		})
	}},
	{"all end and one returns", func(s *Cluster, r *rand.Rand, _ []*Machine, at, length float64) {
		first := r.IntN(3)
		for i, n := range s.controllerNames {
			back := at + 3 + 2*length
			if i == first {
				back = at + s.randomMoment(r).Seconds()
			}
			s.crashFor(at, back, n)
		}
	}},
	{"the leader ends while machines are out of reach", func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64) {
		for range 1 + r.IntN(3) {
			x := w[r.IntN(len(w))]
			if r.IntN(2) == 0 {
				s.partitionInboundFor(at-1, at+3*length, x)
			} else {
				s.cutLinksFor(at-1, at+3*length, s.machineLinks(x))
			}
		}
		s.At(at, func() {
			h := s.leaderProcess()
			if h.running {
				h.Crash()
				s.after(time.Duration((0.1+2*length*r.Float64())*float64(time.Second)), h.Start)
			}
		})
	}},
	{"refused alone, then down for all", func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64) {
		g := refusalThenOutage{refused: []func(*Cluster) []string{leaderOnly, largestOwnerOnly, leaderAndLargestOwner}[r.IntN(3)], length: length, outage: length * r.Float64(), back: r.IntN(3) == 0}
		if r.IntN(2) == 0 {
			g.outage = 0
		}
		s.inject(&g, w, at, (0.5+r.Float64())*s.Settings.Deployment.Workers.Cancel)
		for i := range 3 {
			s.Cancel(at+length*r.Float64(), fmt.Sprintf("wk-%d", i+1))
		}
	}},
	{"the leader is cut off with its workers, and jobs are cancelled", func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64) {
		s.At(at, func() {
			s.after(time.Duration(3*length*float64(time.Second)), s.IsolateController(s.leaderProcess().name))
		})
		for i := range 3 {
			s.Cancel(at+3*length*r.Float64(), fmt.Sprintf("wk-%d", i+1))
		}
	}},
	{"jobs of two or three tasks, and controllers that end", func(s *Cluster, r *rand.Rand, w []*Machine, at, length float64) {
		s.RuntimeSpread = map[string]float64{"apart": 1 + 2*r.Float64()}
		for i := range 4 {
			s.Submit(at-2+float64(i), NewSubmission(fmt.Sprintf("wk-t%d", i+1), protocol.ShapeArray, 2+r.IntN(2), 1, 2+6*r.Float64(),
				func(x *protocol.Submission) { x.Class = stringPointer("apart") }))
		}
		for range 2 + r.IntN(3) {
			s.restartQuickly(at+2*length*r.Float64(), s.randomMoment(r).Seconds(), func() *ControllerProcess { return s.Controllers[s.controllerNames[r.IntN(3)]] })
		}
	}},
}

// randomMoment is a fraction of a second, in which a process or machine may be back.
func (c *Cluster) randomMoment(r *rand.Rand) time.Duration {
	return 50*time.Millisecond + time.Duration(r.IntN(850))*time.Millisecond
}

// partitionInboundFor lets nothing reach a machine for a time.
func (c *Cluster) partitionInboundFor(from, to float64, w *Machine) {
	c.At(from, func() { c.SetInboundPartition(w.Address(), true) })
	c.At(to, func() { c.SetInboundPartition(w.Address(), false) })
}

// useLongLeases: a machine that nobody answers is back at a controller within its lease.
func (c *Cluster) useLongLeases() {
	for _, n := range c.controllerNames {
		d := &c.Controllers[n].settings.Deployment.Workers
		d.Report, d.Lease, d.Cancel = 3, 26, 51
	}
}

// play plays a random day of two to five troubles that overlap and end by 80 s,
// and gives what went wrong.
func play(seed int) (s *Cluster, script, wrong []string) { return playObserved(seed, nil) }

// playObserved plays a random day and tells observe, if any, of each message on its network.
func playObserved(seed int, observe func(Traffic)) (s *Cluster, script, wrong []string) {
	r := rand.New(rand.NewPCG(uint64(seed), 7))
	s = NewCluster(uint64(seed))
	s.OnTraffic = observe
	s.ServeAPI()
	singles := seed%2 == 1 // every second day has a rush of single tasks, on record as being anywhere
	if singles {
		for _, n := range s.controllerNames {
			s.Controllers[n].settings.Dispatch.Anywhere = 0
		}
	}
	if seed%4 >= 2 {
		s.useLongLeases()
	}
	w := addMachines(s, 4+r.IntN(5), r.IntN(3))
	for range r.IntN(4) {
		w = append(w, s.AddMachine("small", []string{"a", "b"}[r.IntN(2)], true))
	}
	for _, z := range []string{"a", "b"} {
		s.Cloud.Capacity["small/"+z+"/false"] = 4
		s.Cloud.Capacity["small/"+z+"/true"] = r.IntN(3)
	}
	for i := range 5 + r.IntN(5) {
		id := fmt.Sprintf("wk-%d", i+1)
		shape, tasks, cores := protocol.ShapeArray, 1+r.IntN(16), float64(1+r.IntN(2))
		if r.IntN(3) == 0 {
			shape, tasks, cores = protocol.ShapeGang, 2+r.IntN(2), float64(2+r.IntN(3))
		}
		if singles && shape == protocol.ShapeArray && i > 0 {
			tasks = 1
		}
		together, apart, mark := r.IntN(3) == 0, r.IntN(4) == 0, 4*float64(r.IntN(2))
		at := 4 + 40*r.Float64()
		s.Submit(at, NewSubmission(id, shape, tasks, cores, 4+16*r.Float64(), func(x *protocol.Submission) {
			save := mark / 4
			apart := apart && !together
			x.SingleZone, x.SpreadZones, x.CheckpointInterval, x.CheckpointDuration = &together, &apart, &mark, &save
		}))
		if r.IntN(5) == 0 {
			s.Cancel(at+20*r.Float64(), id)
		}
	}
	for i := range 20 {
		if at, takes := 6+30*r.Float64(), 3+12*r.Float64(); singles {
			s.Submit(at, NewSubmission(fmt.Sprintf("wk-s%d", i), protocol.ShapeArray, 1, 1, takes, nil))
		}
	}
	if seed >= pipelineDays {
		s.submitRandomPipelines(r)
	}
	at, burst := 8+20*r.Float64(), false
	if seed >= vouchedOutageDays && seed < combinedDays {
		s.enableVouching()
		script = append(script, s.randomVouchedOutage(r, w, at+10*r.Float64()))
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
		for range 2 + r.IntN(2) {
			m, length := pool[r.IntN(len(pool))], 2+12*r.Float64()
			if seen[m.name] {
				continue
			}
			seen[m.name] = true
			script = append(script, fmt.Sprintf("%.1f %s (%.1f)", at, m.name, length))
			m.do(s, r, w, at, length)
			s.histories.FaultsOver = max(s.histories.FaultsOver, time.Duration((at+4*length+1.5*s.Settings.Deployment.Workers.Cancel+4)*float64(time.Second)))
			at += 10 * r.Float64()
		}
	}
	more := 2 + r.IntN(4)
	if seed >= delayedMessageDays {
		more /= 3
	}
	for range more {
		t, length := singleFaults[r.IntN(len(singleFaults))], 2+14*r.Float64()
		if t.name == "a burst" && burst {
			continue // its jobs have the same names
		}
		burst = burst || t.name == "a burst"
		script = append(script, fmt.Sprintf("%.1f %s (%.1f)", at, t.name, length))
		t.do(s, r, w, at, length)
		s.histories.FaultsOver = max(s.histories.FaultsOver, time.Duration((at+3*length+4)*float64(time.Second)))
		at += 8 * r.Float64()
	}
	s.monitorWaitingJobs()
	s.Start()
	s.Run(400)
	return s, script, s.checkDay(seed >= delayedMessageDays)
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
	j, why := c.jobs[id], ""
	for _, n := range c.runningControllers() {
		if x := c.Controllers[n].Controller.DebugState().WaitingJobs[id]; x != "" {
			why += n + ": " + x + "; "
		}
	}
	return fmt.Sprintf("%s is %q at the end (%s %d x %v one zone %v apart %v): %s", id, c.ReportedStatus(id), j.Shape, j.Tasks, j.Cores, j.SingleZone, j.SpreadZones, why)
}

// Random days: whatever overlaps, no rule breaks and all is done or cancelled in
// the end. A day that fails is played again by its seed:
// go test ./internal/simulator -run TestRandomDays -first SEED -days 1 -v
func TestRandomDays(t *testing.T) {
	randomDays(t, *firstDay)
}

func randomDays(t *testing.T, first int) {
	for seed := first; seed < first+*days; seed++ {
		s, script, wrong := play(seed)
		if len(wrong) > 0 {
			t.Errorf("day %d: %s\n  with %s", seed, strings.Join(wrong, "; "), strings.Join(script, ", "))
		}
		if *days == 1 {
			t.Log(s.TraceText())
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
