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

// Random days: whatever overlaps, no rule breaks and all is done or cancelled in
// the end. A day that fails is played again by its seed:
// go test ./internal/simulator -run TestRandomDays -first SEED -days 1 -v
func TestRandomDays(t *testing.T) {
	randomDays(t, *firstDay)
}

// The same with combined failures.
func TestRandomDelayedMessages(t *testing.T) { randomDays(t, *firstDay+delayedMessageDays) }

// And with those of the users' letter that came later.
func TestRandomUnreachableMachines(t *testing.T) { randomDays(t, *firstDay+unreachableDays) }

// And with those.
func TestRandomStaleResponses(t *testing.T) { randomDays(t, *firstDay+staleAnswerDays) }

// Random days on which they vouch, with the combined failures that matter to it more often: an
// outage longer than cancel_s on each, cancellations around its beginning and in it, and
// parts that change hands shortly before.
func TestRandomVouchedOutages(t *testing.T) { randomDays(t, *firstDay+vouchedOutageDays) }

// Random days with the users' second list.
func TestRandomCombinedFaults(t *testing.T) { randomDays(t, *firstDay+combinedDays) }

// Random days with pipelines among everything else.
func TestRandomDependencies(t *testing.T) { randomDays(t, *firstDay+pipelineDays) }

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

// An array that had started in a part stayed there, however few machines that had, though
// others had room (day 10526: one machine for 16 tasks, beside idle ones that went back).
func TestStartedArrayUsesCapacityElsewhere(t *testing.T) {
	if _, script, wrong := play(10526); len(wrong) > 0 {
		t.Errorf("%s\n  with %s", strings.Join(wrong, "; "), strings.Join(script, ", "))
	}
}
