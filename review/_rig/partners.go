package main

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"curlewspool/internal/pki"
)

func init() { cases["partners"] = partners }

// partnership links two clusters that lend to each other; the links can be cut.
type partnership struct {
	links []*link
}

func federate(west, east *cluster) *partnership {
	p := &partnership{}
	authority := filepath.Join(west.dir, "authority")
	if err := pki.MakeCA(authority, "review", time.Hour); err != nil {
		cannotRun("%v", err)
	}
	listens := map[string]string{}
	for _, c := range []*cluster{west, east} {
		for i, address := range freePorts(c.host, len(c.dep.nodes)) {
			listens[c.dep.nodes[i]] = address
		}
	}
	for i, c := range []*cluster{west, east} {
		names := []string{"west", "east"}
		self, other, partner := names[i], names[1-i], []*cluster{west, east}[1-i]
		keys := filepath.Join(c.dir, "keys")
		if err := pki.MakeCert(keys, authority, self, time.Hour); err != nil {
			cannotRun("%v", err)
		}
		for _, name := range c.dep.nodes {
			var addresses []string
			for _, at := range partner.dep.nodes {
				between, address := newLink(listens[at])
				p.links = append(p.links, between)
				addresses = append(addresses, address)
			}
			text := fmt.Sprintf("[dispatch]\nchunks_per_part = 3\n\n[federation]\ncluster = %s\nlisten = %s\nca = %s/%s\ncert = %s/%s\nkey = %s/%s\n\n[partner %s]\naddresses = %s\nclasses = *\nservices = no\nlends = 0.8\nlease_s = %v\nterm_s = 15\nratio = 1\n",
				self, listens[name], keys, pki.CAFile, keys, pki.CertFile, keys, pki.KeyFile, other, strings.Join(addresses, ", "), c.dep.leaseS)
			if err := os.WriteFile(filepath.Join(c.dir, name, "curlewspool.ini"), []byte(text), 0o600); err != nil {
				cannotRun("%v", err)
			}
		}
	}
	return p
}

// partners plays two clusters that lend to each other, with faults in both and between them.
func partners(rec *recorder, trouble bool) {
	seed := time.Now().UnixNano()
	if v := num("SEED", 0); v != 0 {
		seed = int64(v)
	}
	rng := rand.New(rand.NewSource(seed))
	west := newCluster(rec, small(), compressorTypes())
	defer west.stop()
	far := small()
	far.nodes = []string{"east-0", "east-1", "east-2"}
	east := newCluster(rec, far, compressorTypes())
	defer east.stop()
	for name, address := range east.site.apis {
		west.site.apis[name] = address
	}
	site := west.site
	between := federate(west, east)
	r := &chaosRun{cluster: west, jobs: map[string]*known{}, seed: seed}
	site.onArrive = r.arrivedAnywhere
	var workers []*worker
	east.cloud.next = 500
	for _, c := range []*cluster{west, east} {
		nodes := c.dep.nodes
		c.cloud.start = func(id string, t machineType, yard string, spot bool) *worker {
			w := newWorker(site, id, t, yard, spot)
			w.nodes = nodes
			workers = append(workers, w)
			return w
		}
	}
	for i := range 4 {
		west.cloud.add("piston", yards[i%2], false)
	}
	for i := range 12 {
		east.cloud.add("piston", yards[i%2], false)
	}
	west.startAll()
	east.startAll()
	begin := time.Now()
	until := begin.Add(98 * time.Second)
	go r.watchCancelled(until)
	var group sync.WaitGroup
	for i := range num("JOBS", 30) {
		spec := &jobSpec{id: jobID(i), trade: "vibration-scan", crew: "atelier-central", shape: "batch", rank: "standard",
			pieces: 4 + rng.Intn(24), cores: 1, memory: 1, reckon: 4, runS: 1 + rng.Float64()*8, pull: 0.3, loaners: true}
		if rng.Intn(5) == 0 {
			spec.shape, spec.pieces, spec.cores, spec.mark, spec.stow = "ensemble", 2+rng.Intn(2), 3, 3, 1
		}
		k := &known{spec: spec}
		r.jobs[spec.id] = k
		group.Add(1)
		delay := time.Duration(rng.Intn(num("SPREAD_MS", 30000))) * time.Millisecond
		userRng := rand.New(rand.NewSource(rng.Int63()))
		go func() {
			defer group.Done()
			time.Sleep(delay)
			r.user(k, userRng, until)
		}()
	}
	if trouble {
		faultsEnd := begin.Add(time.Duration(num("FAULTS_S", 60)) * time.Second)
		for time.Now().Before(faultsEnd) {
			time.Sleep(time.Duration(1000+rng.Intn(4000)) * time.Millisecond)
			c := []*cluster{west, east}[rng.Intn(2)]
			name := c.dep.nodes[rng.Intn(3)]
			span := time.Duration(2000+rng.Intn(num("SPAN_MS", 25000))) * time.Millisecond
			if c.hasEnded(name) {
				continue
			}
			switch rng.Intn(8) {
			case 0:
				rec.logf("fault: kill %s", name)
				c.kill(name)
				time.AfterFunc(time.Duration(200+rng.Intn(9000))*time.Millisecond, func() { c.start(name) })
			case 1:
				rec.logf("fault: freeze %s %v", name, span)
				c.signal(name, syscall.SIGSTOP)
				time.AfterFunc(span, func() { c.signal(name, syscall.SIGCONT) })
			case 2:
				rec.logf("fault: partners cut %v", span)
				for _, l := range between.links {
					l.cut(true)
					time.AfterFunc(span, func() { l.cut(false) })
				}
			case 3:
				rec.logf("fault: state of %s out %v", name, span)
				c.store.setDown(true)
				time.AfterFunc(span, func() { c.store.setDown(false) })
			case 4:
				rec.logf("fault: %s silent state %v", name, span)
				c.store.setReach(name, silent)
				time.AfterFunc(span, func() { c.store.setReach(name, reachable) })
			case 5:
				rec.logf("fault: all of %v end", c.dep.nodes)
				for _, n := range c.dep.nodes {
					if !c.hasEnded(n) {
						c.kill(n)
						time.AfterFunc(time.Duration(200+rng.Intn(20000))*time.Millisecond, func() {
							if c.hasEnded(n) {
								c.start(n)
							}
						})
					}
				}
			case 6:
				w := workers[rng.Intn(len(workers))]
				rec.logf("fault: %s hangs %v", w.id, span)
				w.set(func() { w.hung = true })
				time.AfterFunc(span, func() { w.set(func() { w.hung = false }) })
			case 7:
				rec.logf("fault: one link cut %v", span)
				l := between.links[rng.Intn(len(between.links))]
				l.cut(true)
				time.AfterFunc(span, func() { l.cut(false) })
			}
		}
	}
	group.Wait()
	undone, lent := 0, 0
	for _, k := range r.jobs {
		if k.final == "" {
			undone++
			rec.logf("job %s is not final: accepted %v", k.spec.id, k.accepted)
		}
	}
	site.mu.Lock()
	for _, l := range site.launches {
		if strings.HasPrefix(l.piece, "wk-at.") {
			lent++
		}
	}
	site.mu.Unlock()
	fmt.Println("seed", seed, "not final", undone, "launches of lent tasks", lent, "violations", len(rec.broken))
}

// arrivedAnywhere checks what holds in both clusters.
func (r *chaosRun) arrivedAnywhere(w *worker, t *task) {
	r.mu.Lock()
	k := r.jobs[t.piece0[:strings.LastIndexByte(t.piece0, '/')]]
	var told time.Time
	if k != nil {
		told = k.abortedAt
	}
	r.mu.Unlock()
	if !told.IsZero() && time.Since(told).Seconds() > r.dep.cancelS {
		r.rec.violation("ran_cancelled: %s starts %.1f s after its user was told", t.piece0, time.Since(told).Seconds())
	}
}
