package faults

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

var testPriors = Priors{FaultyJob: 0.02, FaultyMachine: 0.005, Transient: 0.001}

// recordEvents notes failures written as "job:machine", words "job+" for one that ended well
// and "machine+" likewise (jobs are lower case, machines upper).
func recordEvents(b *Attribution, events ...string) {
	for _, e := range events {
		switch {
		case len(e) == 2 && e[1] == '+' && e[0] >= 'a':
			b.RecordJobSuccess(e[:1])
		case len(e) == 2 && e[1] == '+':
			b.RecordMachineSuccess(e[:1])
		default:
			b.RecordFailure(e[:1], e[2:])
		}
	}
}

// Who fails with whom: a reader's table of what is held against job a and machine A.
func TestAttribution(t *testing.T) {
	for _, c := range []struct {
		name     string
		events   []string
		job, mac string // of a and A: "yes", "no", "?" in between
	}{
		{"one failure says little", []string{"a:A"}, "?", "no"},
		{"one job on three machines", []string{"a:A", "a:B", "a:C"}, "yes", "no"},
		{"three jobs on one machine", []string{"a:A", "b:A", "c:A"}, "no", "yes"},
		{"a job that works elsewhere", []string{"a:A", "a:A", "a+"}, "no", "yes"},
		{"two mistaken jobs meet on a machine", []string{"a:A", "a:B", "a:C", "b:A", "b:D", "b:E"}, "yes", "no"},
		{"three mistaken jobs on the same machines", []string{"a:A", "a:B", "a:C", "b:A", "b:B", "b:C", "c:A", "c:B", "c:C"}, "yes", "no"},
		{"two sick machines, jobs that work", []string{"a:A", "b:A", "a:B", "b:B", "a+", "b+"}, "no", "yes"},
		{"a sick machine beside a mistaken job", []string{"a:A", "a:B", "a:C", "b:A", "b:A", "b+"}, "yes", "yes"},
		{"a machine that ran something well since", []string{"a:A", "b:A", "A+"}, "yes", "no"},
	} {
		b := New(testPriors)
		recordEvents(b, c.events...)
		for _, v := range []struct {
			of, want string
			p        float64
		}{{"job", c.job, b.JobFaultProbability("a")}, {"machine", c.mac, b.MachineFaultProbability("A")}} {
			got := "?"
			if v.p >= 0.9 {
				got = "yes"
			} else if v.p < 0.5 {
				got = "no"
			}
			if got != v.want {
				t.Errorf("%s: %s at fault: %s (%.4f), want %s", c.name, v.of, got, v.p, v.want)
			}
		}
	}
}

// What was held against a machine stays when the job that showed it is over, and the
// other way round; a machine that is gone and comes again begins anew.
func TestEvidenceOutlivesTheOtherSide(t *testing.T) {
	b := New(testPriors)
	recordEvents(b, "a:A", "a:A", "a+")
	b.ForgetJob("a")
	if p := b.MachineFaultProbability("A"); p < 0.99 {
		t.Errorf("a sick machine is forgiven (%.3f) as its witness ended", p)
	}
	recordEvents(b, "b:B", "b:C", "b:D")
	for _, m := range []string{"B", "C", "D"} {
		b.ForgetMachine(m)
	}
	if p := b.JobFaultProbability("b"); p < 0.9 {
		t.Errorf("a mistaken job is forgiven (%.3f) as its machines went", p)
	}
	b.ForgetMachine("A")
	if p := b.MachineFaultProbability("A"); p != 0 {
		t.Errorf("a new machine of an old name is in doubt (%.3f)", p)
	}
	b.InheritJobOdds("d", 9)
	if p, a := b.JobFaultProbability("d"), b.LocalJobOdds("d"); p < 0.9 || a < 8.9 {
		t.Errorf("inherited: likely %.3f, told on as own evidence %.3f", p, a)
	}
	b.SetRemoteJobOdds("c", 9)
	if p, a := b.JobFaultProbability("c"), b.LocalJobOdds("c"); p < 0.9 || a > 0 {
		t.Errorf("heard from others: likely %.3f, told on as own evidence %.3f", p, a)
	}
}

// How often the verdict is wrong, either way, over random histories: 60 machines, jobs
// of 1 to 40 tasks, a share mistaken, some machines sick, all mixed. (A count of two
// jobs had five healthy machines returned in the first minute of a simulated day.)
func TestAttributionErrorRates(t *testing.T) {
	for _, c := range []struct {
		mistaken, sick             float64
		goodHeld, goodReturned     float64 // most that may be judged wrongly
		mistakenMissed, sickMissed float64
		histories, jobs, machines  int
	}{
		{0.02, 0.01, 0.002, 0.0005, 0.1, 0.1, 60, 60, 60},
		{0.15, 0.02, 0.002, 0.001, 0.1, 0.1, 60, 60, 60},
		{0, 0.1, 0.004, 0.0005, 0, 0.1, 60, 60, 60},
	} {
		r := rand.New(rand.NewPCG(7, 1))
		var wrongJobs, goodJobs, missedJobs, badJobs, wrongMs, goodMs, missedMs, badMs float64
		for range c.histories {
			b := New(testPriors)
			sick, held, returned := map[string]bool{}, map[string]bool{}, map[string]bool{}
			failed := map[string]int{}
			for m := range c.machines {
				sick[fmt.Sprint("M", m)] = r.Float64() < c.sick
			}
			for j := range c.jobs {
				job, bad := fmt.Sprint("j", j), r.Float64() < c.mistaken
				tried := 0
				for range 1 + r.IntN(40) {
					m := fmt.Sprint("M", r.IntN(c.machines))
					if returned[m] || held[job] && tried > 0 {
						continue // no more is tried
					}
					if bad || sick[m] {
						b.RecordFailure(job, m)
						failed[m]++
						tried++
					} else {
						b.RecordJobSuccess(job)
						b.RecordMachineSuccess(m)
					}
					held[job] = b.JobFaultProbability(job) >= 0.9
					if b.MachineFaultProbability(m) >= 0.99 {
						returned[m] = true
						b.ForgetMachine(m)
					}
				}
				if bad && tried >= 2 {
					badJobs++
					if !held[job] {
						missedJobs++
					}
				} else if !bad {
					goodJobs++
					if held[job] {
						wrongJobs++
					}
				}
				b.ForgetJob(job)
			}
			for m, is := range sick {
				if is && failed[m] >= 2 {
					badMs++
					if !returned[m] {
						missedMs++
					}
				} else if !is {
					goodMs++
					if returned[m] {
						wrongMs++
					}
				}
			}
		}
		share := func(a, b float64) float64 { return a / max(b, 1) }
		t.Logf("mistaken %.2f, sick %.2f: good jobs held %.4f of %.0f, good machines returned %.4f of %.0f, mistaken jobs missed %.3f of %.0f, sick machines missed %.3f of %.0f",
			c.mistaken, c.sick, share(wrongJobs, goodJobs), goodJobs, share(wrongMs, goodMs), goodMs, share(missedJobs, badJobs), badJobs, share(missedMs, badMs), badMs)
		if share(wrongJobs, goodJobs) > c.goodHeld || share(wrongMs, goodMs) > c.goodReturned || share(missedJobs, badJobs) > c.mistakenMissed || share(missedMs, badMs) > c.sickMissed {
			t.Errorf("wrong more often than that")
		}
	}
}
