package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["chaos"] = chaos }

type known struct {
	spec      *jobSpec
	accepted  bool
	final     string
	abortedAt time.Time
	asked     bool // its user has asked to cancel
	rejected  bool
}

type chaosRun struct {
	*cluster
	mu   sync.Mutex
	jobs map[string]*known
	seed int64
	noTr bool
}

func (r *chaosRun) check(k *known, what string, node string, status int, st jobState, before known) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := k.spec.id
	if status == 404 && before.accepted {
		r.rec.violation("forgotten: %s %s at %s: 404", what, id, node)
	}
	if (status == 400 || status == 422) && before.accepted {
		r.rec.violation("forgotten: %s %s at %s: %d %s", what, id, node, status, st.Error)
	}
	if status == 200 || status == 201 {
		k.accepted = true
		if before.final != "" && st.Status != before.final {
			r.rec.violation("went_back: %s %s at %s: %s after %s", what, id, node, st.Status, before.final)
		}
		if st.Status == "withdrawn" && !k.asked {
			r.rec.violation("went_back: %s is withdrawn, nobody asked", id)
		}
		if st.Status == "done" {
			r.site.mu.Lock()
			for i := range k.spec.pieces {
				if !r.site.done[fmt.Sprintf("%s/%d", id, i)] && (k.spec.shape != "ensemble") {
					r.rec.violation("not_done: %s is called done, task %d is not", id, i)
					break
				}
			}
			r.site.mu.Unlock()
		}
		if st.Status == "done" || st.Status == "withdrawn" {
			if k.final == "" && st.Status == "withdrawn" {
				k.abortedAt = time.Now()
			}
			k.final = st.Status
		}
	}
}

func (r *chaosRun) snapshot(k *known) known {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *k
}

func (r *chaosRun) submitOnce(k *known, node string) int {
	before := r.snapshot(k)
	var st jobState
	status, _ := call(r.users, http.MethodPost, "http://"+r.nodes[node].api+"/v2/runs", k.spec.body(), &st, 5*time.Second)
	r.rec.logf("user: submit %s to %s: %d %s", k.spec.id, node, status, st.Status)
	r.check(k, "submit", node, status, st, before)
	return status
}

func (r *chaosRun) user(k *known, rng *rand.Rand, until time.Time) {
	any := func() string { return r.dep.nodes[rng.Intn(len(r.dep.nodes))] }
	r.site.mu.Lock()
	r.site.jobs[k.spec.id] = k.spec
	r.site.mu.Unlock()
	for time.Now().Before(until) {
		if s := r.submitOnce(k, any()); s == 200 || s == 201 {
			break
		}
		time.Sleep(time.Second)
	}
	cancelAt := time.Time{}
	if rng.Intn(4) == 0 {
		cancelAt = time.Now().Add(time.Duration(rng.Intn(20000)) * time.Millisecond)
	}
	for time.Now().Before(until) {
		before := r.snapshot(k)
		if !cancelAt.IsZero() && time.Now().After(cancelAt) && before.final == "" {
			r.mu.Lock()
			k.asked = true
			r.mu.Unlock()
			node := any()
			status, st := r.abort(k.spec.id, node)
			r.check(k, "abort", node, status, st, before)
		} else {
			node := any()
			status, st := r.ask(k.spec.id, node)
			r.check(k, "ask", node, status, st, before)
			if rng.Intn(6) == 0 {
				r.submitOnce(k, any())
			}
		}
		if before.final != "" && rng.Intn(3) > 0 {
			time.Sleep(4 * time.Second)
		}
		time.Sleep(time.Duration(500+rng.Intn(1500)) * time.Millisecond)
	}
}

func (r *chaosRun) arrived(w *worker, t *task) {
	spec := t.job0
	if spec.yard != nil && spec.yard.(string) != w.yard {
		r.rec.violation("wrong_place: %s in %s", t.piece, w.yard)
	}
	if spec.builds != nil && spec.builds[0] != w.kind.Label {
		r.rec.violation("wrong_place: %s on %s", t.piece, w.kind.Label)
	}
	if w.spot && !spec.loaners {
		r.rec.violation("wrong_place: %s on a spot machine", t.piece)
	}
	r.mu.Lock()
	k := r.jobs[t.piece0[:strings.LastIndexByte(t.piece0, '/')]]
	var told time.Time
	if k != nil {
		told = k.abortedAt
	}
	r.mu.Unlock()
	if !told.IsZero() && time.Since(told).Seconds() > r.dep.cancelS {
		r.rec.violation("ran_cancelled: %s starts %.1f s after its user was told", t.piece, time.Since(told).Seconds())
	}
	r.site.mu.Lock()
	defer r.site.mu.Unlock()
	used := map[string]float64{}
	perZone := map[string]int{}
	for piece, on := range r.site.on {
		job := r.site.jobs[piece[:strings.LastIndexByte(piece, '/')]]
		used[job.crew] += job.cores * float64(len(on))
		if job == spec {
			for id := range on {
				perZone[r.cloud.yardOf(id)] += 1
			}
		}
	}
	if used["ecole-meca"] > 12+1e-6 {
		r.rec.violation("quota: ecole-meca uses %v", used["ecole-meca"])
	}
	if spec.together && len(perZone) > 1 {
		r.rec.violation("wrong_place: %s in several zones %v", t.job, perZone)
	}
	if spec.apart {
		for zone, n := range perZone {
			if n > (spec.pieces+1)/2 {
				r.rec.violation("wrong_place: %s has %d tasks in %s", t.job, n, zone)
			}
		}
	}
}

func (c *cloud) yardOf(id string) string {
	if m := c.byID(id); m != nil {
		return m.yard
	}
	return ""
}

var machineByID sync.Map

func (c *cloud) byID(id string) *worker {
	if m, ok := machineByID.Load(id); ok {
		return m.(*worker)
	}
	return nil
}

func (r *chaosRun) watchCancelled(until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Second)
		r.site.mu.Lock()
		for piece, on := range r.site.on {
			if len(on) == 0 {
				continue
			}
			id := piece[:strings.LastIndexByte(piece, '/')]
			r.mu.Lock()
			told := r.jobs[id].abortedAt
			r.mu.Unlock()
			if !told.IsZero() && time.Since(told).Seconds() > r.dep.cancelS+0.5 {
				r.rec.violation("ran_cancelled: %s is on %v %.1f s after", piece, on, time.Since(told).Seconds())
			}
		}
		r.site.mu.Unlock()
	}
}

func chaos(rec *recorder, trouble bool) {
	seed := time.Now().UnixNano()
	if v := num("SEED", 0); v != 0 {
		seed = int64(v)
	}
	rec.logf("seed %d", seed)
	rng := rand.New(rand.NewSource(seed))
	dep := small()
	dep.teams += "\n[[deployment.teams]]\nname = \"ecole-meca\"\ncpus = 0.0\ncpus_max = 12.0\ngpus = 0.0\ngpus_max = 0.0\n"
	c := newCluster(rec, dep, compressorTypes())
	defer c.stop()
	r := &chaosRun{cluster: c, jobs: map[string]*known{}, seed: seed}
	c.site.onArrive = r.arrived
	var workers []*worker
	var wmu sync.Mutex
	start := c.cloud.start
	c.cloud.start = func(id string, t machineType, yard string, spot bool) *worker {
		w := start(id, t, yard, spot)
		machineByID.Store(id, w)
		wmu.Lock()
		workers = append(workers, w)
		wmu.Unlock()
		return w
	}
	c.cloud.capacity["piston"] = 6
	for i := range 8 {
		c.cloud.add("piston", dep.zones[i%2], false)
	}
	for i := range 2 {
		c.cloud.add("turbine", dep.zones[i%2], false)
	}
	c.startAll()
	begin := time.Now()
	until := begin.Add(time.Duration(num("LASTS", 95)) * time.Second)
	go r.watchCancelled(until)
	var group sync.WaitGroup
	total := num("JOBS", 40)
	for i := range total {
		spec := &jobSpec{id: fmt.Sprintf("wk-%06d", i), trade: "vibration-scan", crew: "atelier-central", shape: "batch", rank: "standard",
			pieces: 1 + rng.Intn(20), cores: 1, memory: 1, reckon: 4, runS: 1 + rng.Float64()*8, pull: 0.3, loaners: true,
			kit: fmt.Sprintf("img-%d", rng.Intn(3))}
		switch rng.Intn(8) {
		case 0:
			spec.shape, spec.pieces, spec.cores, spec.memory = "ensemble", 1+rng.Intn(num("GANG", 3)), 3, 3
			if rng.Intn(3) == 0 {
				spec.crew = "ecole-meca"
				spec.pieces = min(spec.pieces, 4)
			}
			switch rng.Intn(3) {
			case 0:
				spec.together = true
			case 1:
				spec.apart = spec.pieces > 1
			}
			spec.mark, spec.stow = 3, 1
		case 1:
			spec.together = true
		case 2:
			spec.apart = true
		case 3, 4:
			spec.crew = "ecole-meca"
			spec.rank = []string{"high", "best_effort"}[rng.Intn(2)]
		case 5:
			spec.pieces = 1
		case 6:
			spec.mark, spec.stow, spec.rank = 2, 1, "best_effort"
		}
		k := &known{spec: spec}
		r.jobs[spec.id] = k
		group.Add(1)
		delay := time.Duration(rng.Intn(num("SPREAD_MS", 45000))) * time.Millisecond
		userRng := rand.New(rand.NewSource(rng.Int63()))
		go func() {
			defer group.Done()
			time.Sleep(delay)
			r.user(k, userRng, until)
		}()
	}
	if trouble {
		r.faults(rng, begin.Add(time.Duration(num("FAULTS_S", 60))*time.Second), func() *worker {
			wmu.Lock()
			defer wmu.Unlock()
			return workers[rng.Intn(len(workers))]
		})
	}
	group.Wait()
	undone := 0
	for _, k := range r.jobs {
		if k.final == "" {
			undone++
			rec.logf("job %s is not final: accepted %v", k.spec.id, k.accepted)
		}
	}
	fmt.Println("seed", seed, "jobs", total, "not final", undone, "violations", len(rec.broken))
	if os.Getenv("REVIEW_KEEP") != "" {
		fmt.Println(c.dir)
	}
}

func (r *chaosRun) faults(rng *rand.Rand, until time.Time, anyWorker func() *worker) {
	c := r.cluster
	names := c.dep.nodes
	var lateShare float64
	var lateMu sync.Mutex
	lateRng := rand.New(rand.NewSource(rng.Int63()))
	c.store.mu.Lock()
	c.store.delay = func(string, *storeTransaction) (time.Duration, time.Duration) {
		lateMu.Lock()
		defer lateMu.Unlock()
		if lateRng.Float64() >= lateShare {
			return 0, 0
		}
		d := time.Duration(2000+lateRng.Intn(8000)) * time.Millisecond
		if lateRng.Intn(2) == 0 {
			return d, 0
		}
		return 0, d
	}
	c.store.mu.Unlock()
	later := func(d time.Duration, f func()) { time.AfterFunc(d, f) }
	for time.Now().Before(until) {
		time.Sleep(time.Duration(1000+rng.Intn(5000)) * time.Millisecond)
		name := names[rng.Intn(len(names))]
		span := time.Duration(1000+rng.Intn(num("SPAN_MS", 20000))) * time.Millisecond
		if c.hasEnded(name) {
			continue
		}
		switch kind := rng.Intn(15); kind {
		case 0, 1:
			c.rec.logf("fault: kill %s", name)
			c.kill(name)
			later(time.Duration(200+rng.Intn(5000))*time.Millisecond, func() { c.start(name) })
		case 2:
			c.rec.logf("fault: freeze %s for %v", name, span)
			c.signal(name, syscall.SIGSTOP)
			later(span, func() { c.signal(name, syscall.SIGCONT) })
		case 3:
			c.rec.logf("fault: %s is refused by the state service for %v", name, span)
			c.store.setReach(name, refused)
			later(span, func() { c.store.setReach(name, reachable) })
		case 4:
			c.rec.logf("fault: %s is cut from the state service for %v", name, span)
			c.store.setReach(name, silent)
			later(span, func() { c.store.setReach(name, reachable) })
		case 5:
			c.rec.logf("fault: state outage %v", span)
			c.store.setDown(true)
			later(span, func() { c.store.setDown(false) })
		case 6:
			c.rec.logf("fault: %s cut from peers %v", name, span)
			for l, between := range c.links {
				if strings.HasPrefix(l, name+">") || strings.HasSuffix(l, ">"+name) {
					between.cut(true)
					later(span, func() { between.cut(false) })
				}
			}
		case 7:
			c.rec.logf("fault: late writes for %v", span)
			lateMu.Lock()
			lateShare = 0.3
			lateMu.Unlock()
			later(span, func() { lateMu.Lock(); lateShare = 0; lateMu.Unlock() })
		case 8:
			w := anyWorker()
			c.rec.logf("fault: %s hangs %v", w.id, span)
			w.set(func() { w.hung = true })
			later(span, func() { w.set(func() { w.hung = false }) })
		case 9:
			w := anyWorker()
			c.rec.logf("fault: %s is deaf %v", w.id, span)
			w.set(func() { w.deaf = true })
			later(span, func() { w.set(func() { w.deaf = false }) })
		case 10:
			c.rec.logf("fault: all controllers end")
			for _, n := range names {
				if !c.hasEnded(n) {
					c.signal(n, syscall.SIGCONT)
					c.kill(n)
				}
				later(time.Duration(200+rng.Intn(3000))*time.Millisecond, func() {
					if c.hasEnded(n) {
						c.start(n)
					}
				})
			}
		case 12:
			slow := time.Duration(100+rng.Intn(1500)) * time.Millisecond
			c.rec.logf("fault: the state service takes %v for %v", slow, span)
			c.store.mu.Lock()
			c.store.slowness = slow
			c.store.mu.Unlock()
			later(span, func() {
				c.store.mu.Lock()
				c.store.slowness = 0
				c.store.mu.Unlock()
			})
		case 13:
			c.rec.logf("fault: late commands for %v", span)
			c.site.mu.Lock()
			c.site.lateCommands = 0.3
			c.site.mu.Unlock()
			later(span, func() { c.site.mu.Lock(); c.site.lateCommands = 0; c.site.mu.Unlock() })
		case 14:
			c.rec.logf("fault: late reports for %v", span)
			c.site.mu.Lock()
			c.site.lateReports = 0.4
			c.site.mu.Unlock()
			later(span, func() { c.site.mu.Lock(); c.site.lateReports = 0; c.site.mu.Unlock() })
		case 11:
			c.rec.logf("fault: %s frozen briefly", name)
			c.signal(name, syscall.SIGSTOP)
			later(time.Duration(1000+rng.Intn(4000))*time.Millisecond, func() { c.signal(name, syscall.SIGCONT) })
		}
	}
	time.Sleep(0)
}
