package main

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"curlewspool/internal/remotelease"
)

// jobSpec is a job as users submit it, with how long its tasks really run.
type jobSpec struct {
	id, trade, crew, shape, rank string
	pieces                       int
	cores, memory                float64
	builds                       []string
	yard                         any
	together, apart, loaners     bool
	reckon, mark, stow           float64
	due                          any
	kit                          string
	pull                         float64
	runS                         float64
}

func (j *jobSpec) body() object {
	var builds any
	if j.builds != nil {
		builds = j.builds
	}
	kit := j.kit
	if kit == "" {
		kit = "img-01"
	}
	return object{
		"id": j.id, "trade": j.trade, "crew": j.crew, "shape": j.shape, "rank": j.rank, "pieces": j.pieces,
		"cores": j.cores, "accelerators": 0.0, "memoryGb": j.memory, "kit": kit, "pullGb": j.pull,
		"builds": builds, "yard": j.yard, "together": j.together, "apart": j.apart, "loaners": j.loaners,
		"reckonS": j.reckon, "markS": j.mark, "stowS": j.stow, "dueS": j.due,
	}
}

// site is what all workers share: the jobs that users have uploaded, the judge, the rules of time.
type site struct {
	mu       sync.Mutex
	rec      *recorder
	jobs     map[string]*jobSpec
	done     map[string]bool // tasks whose result is kept
	on       map[string]map[string]bool
	gangs    map[string]map[int]*task // by job and attempt
	nodes    []string                 // names in order
	apis     map[string]string        // address that workers use, by name
	reportS  float64
	leaseS   float64
	gangWait float64
	launches []launchEvent
	onLaunch func(e launchEvent)
	onArrive func(w *worker, t *task)
	// Shares of direct commands that are held up, and of reports of which a copy arrives again.
	lateCommands, lateReports float64
	// reachable reports whether a worker reaches a node.
	cut func(workerID, node string) bool
}

type launchEvent struct {
	at      time.Time
	worker  string
	piece   string
	attempt uint64
	via     string // node that answered the report, or "orders"
}

type task struct {
	piece    string // as commands name it
	piece0   string // as its user knows it
	job      string
	index    int
	attempt  uint64
	state    string
	cause    string
	kept     bool
	job0     *jobSpec
	stateAt  time.Time
	runUntil time.Time
	spent    time.Duration
	w        *worker
	isOn     bool
}

type worker struct {
	id, address, yard string
	kind              machineType
	spot              bool
	site              *site
	mu                sync.Mutex
	up, gone          bool
	hung              bool
	sick              bool
	deaf              bool // answers and direct commands are lost
	shift, tally      uint64
	baton             uint64
	tasks             map[string]*task
	images            map[string]bool
	leaseFrom         time.Time
	node              int
	changed           bool
	lastReport        time.Time
	client            *http.Client
	listener          net.Listener
	nodes             []string // the controllers that it knows
}

func newWorker(s *site, id string, kind machineType, yard string, spot bool) *worker {
	w := &worker{
		id: id, kind: kind, yard: yard, spot: spot, site: s, tasks: map[string]*task{}, images: map[string]bool{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}, nodes: s.nodes,
	}
	w.listener = listen("127.0.0.1")
	w.address = w.listener.Addr().String()
	return w
}

func (w *worker) isUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}

func (w *worker) boot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return
	}
	w.up, w.shift, w.leaseFrom = true, 1, time.Now()
	w.node = rand.Intn(len(w.nodes))
	serve(w.listener, http.HandlerFunc(w.handle))
	go w.loop()
	go w.work()
}

// end deletes the machine with all that is on it.
func (w *worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = true
	w.killAll("machine gone")
	_ = w.listener.Close()
}

func (w *worker) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

func (w *worker) killAll(why string) {
	for _, id := range w.order() {
		w.leave(w.tasks[id], why)
		delete(w.tasks, id)
	}
}

func (w *worker) order() []string {
	ids := make([]string, 0, len(w.tasks))
	for id := range w.tasks {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

func (j *jobSpec) task(index int) string { return j.id + "/" + strconv.Itoa(index) }

func taskID(piece string, attempt uint64) string {
	return piece + "#" + strconv.FormatUint(attempt, 10)
}

func (w *worker) report() object {
	w.tally++
	pieces := []object{}
	for _, id := range w.order() {
		t := w.tasks[id]
		entry := object{"piece": t.piece, "try": t.attempt, "status": t.state}
		if t.state == "ended" {
			entry["cause"], entry["kept"] = t.cause, t.kept
		}
		pieces = append(pieces, entry)
	}
	return object{
		"kiln": w.id, "address": w.address, "build": w.kind.Label, "yard": w.yard, "loaners": w.spot,
		"shift": w.shift, "tally": w.tally, "baton": w.baton, "warningS": nil, "pieces": pieces,
	}
}

type order struct {
	Verb    string   `cbor:"verb"`
	Piece   string   `cbor:"piece"`
	Try     uint64   `cbor:"try"`
	LeewayS *float64 `cbor:"leewayS"`
}

// loop reports to one node at a time.
func (w *worker) loop() {
	wait := time.Duration(0)
	for {
		deadline := time.Now().Add(wait)
		for time.Now().Before(deadline) {
			time.Sleep(10 * time.Millisecond)
			w.mu.Lock()
			early := w.changed && time.Since(w.lastReport) > 500*time.Millisecond
			gone := w.gone
			w.mu.Unlock()
			if gone {
				return
			}
			if early {
				break
			}
		}
		wait = w.reportOnce()
	}
}

func (w *worker) reportOnce() time.Duration {
	w.mu.Lock()
	if w.gone || w.hung {
		w.mu.Unlock()
		return 100 * time.Millisecond
	}
	w.checkLease()
	w.changed, w.lastReport = false, time.Now()
	sentAt, shift := time.Now(), w.shift
	node := w.nodes[w.node%len(w.nodes)]
	body := w.report()
	w.mu.Unlock()
	next := func(to int, wait time.Duration) time.Duration {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.node = to
		w.client.CloseIdleConnections()
		return wait
	}
	if w.site.cut != nil && w.site.cut(w.id, node) {
		time.Sleep(4 * time.Second)
		return next(w.node+1, time.Second)
	}
	var response struct {
		Baton   *uint64 `cbor:"baton"`
		Orders  []order `cbor:"orders"`
		Foreman string  `cbor:"foreman"`
	}
	w.site.copyLater(body)
	status, _ := call(w.client, http.MethodPost, "http://"+w.site.apis[node]+"/v1/report", body, &response, 4*time.Second)
	w.mu.Lock()
	isDeaf := w.deaf
	w.mu.Unlock()
	if isDeaf {
		time.Sleep(max(0, 4*time.Second-time.Since(sentAt)))
		status = 0
	}
	switch {
	case status == http.StatusOK:
		w.mu.Lock()
		defer w.mu.Unlock()
		for w.hung && !w.gone { // a hanging machine resumes later
			w.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			w.mu.Lock()
		}
		if w.gone || time.Since(sentAt) > 4*time.Second {
			return time.Second
		}
		if shift == w.shift && response.Baton != nil && *response.Baton >= w.baton {
			if *response.Baton > w.baton {
				w.baton, w.changed = *response.Baton, true
			}
			w.leaseFrom = sentAt
			w.execute(response.Orders, node)
		}
		interval := w.site.reportS * (0.75 + rand.Float64()/2)
		return time.Duration(interval * float64(time.Second))
	case status == http.StatusMisdirectedRequest:
		for i, name := range w.nodes {
			if name == response.Foreman && name != node {
				return next(i, 50*time.Millisecond)
			}
		}
	}
	return next(w.node+1, time.Second)
}

// checkLease ends the session if its lease has run out.
func (w *worker) checkLease() {
	if time.Since(w.leaseFrom).Seconds() > w.site.leaseS {
		w.site.rec.logf("worker %s: lease ran out in session %d", w.id, w.shift)
		w.killAll("lease")
		w.shift++
		w.tally = 0
		w.leaseFrom, w.changed = time.Now(), true
	}
}

func (w *worker) handle(out http.ResponseWriter, r *http.Request) {
	content, _ := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if held := w.site.holdCommand(); held > 0 && r.URL.Path == "/orders" {
		time.Sleep(held) // held up on its way, and then carried out once
		out = lost{}
		r = r.Clone(context.Background())
	}
	for {
		w.mu.Lock()
		if !w.hung && !w.deaf {
			break
		}
		w.mu.Unlock()
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(20 * time.Millisecond):
		}
	}
	defer w.mu.Unlock()
	if w.gone {
		panic(http.ErrAbortHandler)
	}
	w.checkLease()
	if r.URL.Path == "/status" {
		answer(out, http.StatusOK, w.report())
		return
	}
	var request struct {
		Baton  *uint64 `cbor:"baton"`
		Shift  *uint64 `cbor:"shift"`
		Orders []order `cbor:"orders"`
	}
	if err := decode(content, &request); err != nil || request.Baton == nil || request.Shift == nil {
		answer(out, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	if *request.Baton < w.baton || *request.Shift != w.shift {
		answer(out, http.StatusConflict, w.report())
		return
	}
	if *request.Baton > w.baton {
		w.baton, w.changed = *request.Baton, true
	}
	w.execute(request.Orders, "orders")
	answer(out, http.StatusOK, w.report())
}

func (w *worker) execute(orders []order, via string) {
	for _, o := range orders {
		id := taskID(o.Piece, o.Try)
		switch o.Verb {
		case "launch":
			if w.tasks[id] == nil {
				w.launch(o, via)
				w.changed = true
			}
		case "halt":
			if t := w.tasks[id]; t != nil && t.state != "ended" {
				w.halt(t, o.LeewayS)
				w.changed = true
			}
		case "reap":
			if t := w.tasks[id]; t != nil && t.state == "ended" {
				delete(w.tasks, id)
				w.changed = true
			}
		}
	}
}

func (w *worker) launch(o order, via string) {
	s := w.site
	slash := strings.LastIndexByte(o.Piece, '/')
	t := &task{piece: o.Piece, piece0: o.Piece, attempt: o.Try, w: w, stateAt: time.Now()}
	w.tasks[taskID(o.Piece, o.Try)] = t
	s.mu.Lock()
	if slash > 0 {
		t.job = o.Piece[:slash]
		t.index, _ = strconv.Atoi(o.Piece[slash+1:])
		t.job0 = s.jobs[t.job]
		if _, key, ok := remotelease.ParseJobID(t.job); ok { // a task of a partner's job
			t.job0 = s.jobs[key.Job]
			t.index += key.FirstTask
			t.piece0 = key.Job + "/" + strconv.Itoa(t.index)
		}
	}
	event := launchEvent{time.Now(), w.id, o.Piece, o.Try, via}
	s.launches = append(s.launches, event)
	s.mu.Unlock()
	s.rec.logf("worker %s: launch %s try %d (by %s)", w.id, o.Piece, o.Try, via)
	if s.onLaunch != nil {
		s.onLaunch(event)
	}
	if t.job0 == nil || t.index >= t.job0.pieces {
		t.state, t.cause = "ended", "unknown"
		return
	}
	cores, memory := 0.0, 0.0
	for _, other := range w.tasks {
		if other == t || other.state == "ended" {
			continue
		}
		if other.piece == t.piece {
			t.state, t.cause = "ended", "busy"
			return
		}
		cores += other.job0.cores
		memory += other.job0.memory
	}
	if cores+t.job0.cores > w.kind.Cores+1e-6 || memory+t.job0.memory > w.kind.MemoryGb+1e-6 {
		t.state, t.cause = "ended", "full"
		return
	}
	t.state = "pulling"
	fetch := t.job0.pull / w.kind.FetchGbPerS
	if w.images[t.job0.kit] {
		fetch = 0
	}
	t.runUntil = time.Now().Add(time.Duration(fetch * float64(time.Second)))
}

func (w *worker) halt(t *task, leeway *float64) {
	grace := 0.0
	if leeway != nil {
		grace = *leeway
	}
	if t.state == "running" && t.job0.mark > 0 && grace >= t.job0.stow {
		t.state, t.stateAt = "flushing", time.Now()
		t.runUntil = time.Now().Add(time.Duration(t.job0.stow * float64(time.Second)))
		return
	}
	if t.state == "flushing" && grace > 0 {
		return
	}
	w.exit(t, "halted", false)
}

func (w *worker) exit(t *task, cause string, kept bool) {
	w.leave(t, cause)
	t.state, t.cause, t.kept, t.stateAt = "ended", cause, kept, time.Now()
	w.changed = true
}

// arrive counts the task as being on the machine, from when it has its image.
func (w *worker) arrive(t *task) {
	s := w.site
	s.mu.Lock()
	if s.on[t.piece0] == nil {
		s.on[t.piece0] = map[string]bool{}
	}
	var others []string
	for other := range s.on[t.piece0] {
		others = append(others, other)
	}
	s.on[t.piece0][w.id] = true
	t.isOn = true
	s.mu.Unlock()
	s.rec.logf("worker %s: %s try %d is on the machine", w.id, t.piece0, t.attempt)
	if s.onArrive != nil {
		s.onArrive(w, t)
	}
	if len(others) > 0 {
		s.rec.violation("ran_twice: %s starts on %s while it is on %v", t.piece0, w.id, others)
	}
}

func (w *worker) leave(t *task, why string) {
	if !t.isOn {
		return
	}
	t.isOn = false
	s := w.site
	s.mu.Lock()
	delete(s.on[t.piece0], w.id)
	s.mu.Unlock()
	s.rec.logf("worker %s: %s try %d has left (%s)", w.id, t.piece0, t.attempt, why)
}

// work advances the tasks.
func (w *worker) work() {
	for range time.Tick(20 * time.Millisecond) {
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		if w.hung { // progress stands still
			for _, t := range w.tasks {
				t.runUntil = t.runUntil.Add(20 * time.Millisecond)
			}
		} else {
			w.checkLease()
			for _, id := range w.order() {
				w.advance(w.tasks[id])
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) advance(t *task) {
	now := time.Now()
	switch {
	case t.state == "pulling" && now.After(t.runUntil):
		w.images[t.job0.kit] = true
		w.arrive(t)
		w.changed = true
		if t.job0.shape == "ensemble" && t.job0.pieces > 1 {
			t.state, t.stateAt = "waiting", now
			return
		}
		w.begin(t)
	case t.state == "waiting":
		if w.site.gangComplete(t) {
			w.begin(t)
			w.changed = true
		} else if now.Sub(t.stateAt).Seconds() > w.site.gangWait {
			w.exit(t, "incomplete", false)
		}
	case t.state == "running" && now.After(t.runUntil):
		if t.job0.shape == "daemon" {
			return
		}
		if w.sick {
			w.exit(t, "error", false)
			return
		}
		w.site.mu.Lock()
		w.site.done[t.piece0] = true
		w.site.mu.Unlock()
		w.exit(t, "done", false)
	case t.state == "flushing" && now.After(t.runUntil):
		w.exit(t, "halted", true)
	}
}

func (w *worker) begin(t *task) {
	t.state, t.stateAt = "running", time.Now()
	runS := t.job0.runS
	w.site.mu.Lock()
	if w.site.done[t.piece0] {
		runS = 0
	}
	w.site.mu.Unlock()
	if w.sick {
		runS = 0.2
	}
	t.runUntil = time.Now().Add(time.Duration(runS * float64(time.Second)))
}

// lost is an answer that does not arrive.
type lost struct{}

func (lost) Header() http.Header            { return http.Header{} }
func (lost) Write(body []byte) (int, error) { return len(body), nil }
func (lost) WriteHeader(int)                {}

// holdCommand returns for how long a direct command is held up on its way.
func (s *site) holdCommand() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rand.Float64() >= s.lateCommands {
		return 0
	}
	return time.Duration(2000+rand.Intn(14000)) * time.Millisecond
}

// copyLater sends a copy of a report again some time later; nobody hears its answer.
func (s *site) copyLater(body object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rand.Float64() >= s.lateReports {
		return
	}
	node := s.apis[s.nodes[rand.Intn(len(s.nodes))]]
	time.AfterFunc(time.Duration(2000+rand.Intn(25000))*time.Millisecond, func() {
		_, _ = call(&http.Client{}, http.MethodPost, "http://"+node+"/v1/report", body, nil, 4*time.Second)
	})
}

// gangComplete reports whether all tasks of the attempt have their images; they start together.
func (s *site) gangComplete(t *task) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := fmt.Sprintf("%s#%d", t.job, t.attempt)
	if s.gangs[key] == nil {
		s.gangs[key] = map[int]*task{}
	}
	s.gangs[key][t.index] = t
	return len(s.gangs[key]) == t.job0.pieces
}
