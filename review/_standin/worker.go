package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Machine is a stand-in for one machine and its worker (PROTOCOL, "Workers -> controller nodes" and
// "Controller nodes -> workers").
type Machine struct {
	cluster *Cluster
	id      string
	address string
	build   Build
	zone    string
	spot    bool

	// Guarded by the cluster's lock.
	rentedAt, upAt time.Time
	diedAt         time.Time // it stopped with all that is on it
	goneAt         time.Time // it was deleted or taken

	mu           sync.Mutex
	isOff        bool
	isSick       bool // fails every task that it starts
	shift        uint64
	tally        uint64
	baton        uint64
	warningUntil time.Time // when the cloud takes the machine; zero: no notice
	began        time.Time // of the session
	answered     time.Time // when the last answered report was sent
	node         int       // index of the controller that it reports to
	answeredBy   string    // controller that answered the last report
	tasks        map[taskAttempt]*task
	images       map[string]bool
	changed      chan struct{}
	listener     net.Listener
	client       *http.Client
	server       *http.Server
}

type taskAttempt struct {
	piece string
	try   uint64
}

type task struct {
	taskAttempt
	job        *Job
	state      string
	cause      string
	kept       bool
	ranFrom    time.Time
	onMachine  bool
	generation int // invalidates timers of earlier states
}

func newMachine(c *Cluster, id string, build Build, zone string, spot bool) *Machine {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	m := &Machine{cluster: c, id: id, address: listener.Addr().String(), build: build, zone: zone, spot: spot,
		shift: 1, tasks: map[taskAttempt]*task{}, images: map[string]bool{}, changed: make(chan struct{}, 1),
		listener: listener, node: rand.IntN(len(c.nodes)),
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
	return m
}

// run lives through the machine's life.
func (m *Machine) run() {
	m.cluster.mu.Lock()
	upAt := m.upAt
	m.cluster.mu.Unlock()
	time.Sleep(time.Until(upAt))
	m.mu.Lock()
	if m.isOff {
		m.mu.Unlock()
		return
	}
	m.began = time.Now()
	m.server = &http.Server{Handler: m}
	go func() { _ = m.server.Serve(m.listener) }()
	m.mu.Unlock()
	go m.watchLease()
	m.report()
}

// off ends the machine and all that is on it.
func (m *Machine) off() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isOff {
		return
	}
	m.isOff = true
	for _, t := range m.tasks {
		m.leave(t)
	}
	m.tasks = map[taskAttempt]*task{}
	if m.server != nil {
		_ = m.server.Close()
	}
	_ = m.listener.Close()
}

// die stops the machine. The cluster must be locked.
func (m *Machine) die() {
	m.diedAt = time.Now()
	m.off()
}

// remove deletes or takes the machine. The cluster must be locked.
func (m *Machine) remove() {
	m.goneAt = time.Now()
	m.off()
}

func (m *Machine) watchLease() {
	for range time.Tick(50 * time.Millisecond) {
		m.mu.Lock()
		if m.isOff {
			m.mu.Unlock()
			return
		}
		since := m.began
		if m.answered.After(since) {
			since = m.answered
		}
		if time.Since(since) > m.cluster.site.Lease {
			m.cluster.record("%s: its lease ends, session %d", m.id, m.shift+1)
			for _, t := range m.tasks {
				m.leave(t)
			}
			m.tasks = map[taskAttempt]*task{}
			m.shift++
			m.tally = 0
			m.began = time.Now()
			m.signal()
		}
		m.mu.Unlock()
	}
}

func (m *Machine) signal() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// reportBody returns the worker's report. The machine must be locked.
func (m *Machine) reportBody() map[string]any {
	m.tally++
	var warning any
	if !m.warningUntil.IsZero() {
		warning = max(0, time.Until(m.warningUntil).Seconds())
	}
	pieces := []any{}
	for _, t := range m.sortedTasks() {
		piece := map[string]any{"piece": t.piece, "try": t.try, "status": t.state}
		if t.state == "ended" {
			piece["cause"] = t.cause
			if t.kept {
				piece["kept"] = true
			}
		}
		pieces = append(pieces, piece)
	}
	return map[string]any{"kiln": m.id, "address": m.address, "build": m.build.Label, "yard": m.zone, "loaners": m.spot,
		"shift": m.shift, "tally": m.tally, "baton": m.baton, "warningS": warning, "pieces": pieces}
}

func (m *Machine) sortedTasks() []*task {
	var tasks []*task
	for _, t := range m.tasks {
		tasks = append(tasks, t)
	}
	sort.Slice(tasks, func(i, k int) bool {
		if tasks[i].piece != tasks[k].piece {
			return tasks[i].piece < tasks[k].piece
		}
		return tasks[i].try < tasks[k].try
	})
	return tasks
}

// report sends reports until the machine is off.
func (m *Machine) report() {
	for {
		m.mu.Lock()
		if m.isOff {
			m.mu.Unlock()
			return
		}
		select { // what has changed until now is in this report
		case <-m.changed:
		default:
		}
		node := m.cluster.nodes[m.node]
		body, _ := cbor.Marshal(m.reportBody())
		shift := m.shift
		m.mu.Unlock()
		sentAt := time.Now()
		pause, wakes := m.handleAnswer(node, body, shift, sentAt)
		if !wakes {
			time.Sleep(pause)
			continue
		}
		time.Sleep(500 * time.Millisecond)
		select {
		case <-m.changed:
		case <-time.After(max(0, pause-500*time.Millisecond)):
		}
	}
}

// handleAnswer posts a report and handles the answer. It returns the pause until the next report, and
// whether a change ends the pause.
func (m *Machine) handleAnswer(node *Node, body []byte, shift uint64, sentAt time.Time) (pause time.Duration, wakes bool) {
	next := func() (time.Duration, bool) {
		m.mu.Lock()
		m.node = (m.node + 1) % len(m.cluster.nodes)
		m.mu.Unlock()
		return time.Second, false
	}
	response, err := m.client.Post("http://"+node.api+"/v1/report", "application/cbor", bytes.NewReader(body))
	if err != nil {
		return next()
	}
	answer, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		return next()
	}
	switch response.StatusCode {
	case 200:
		m.mu.Lock()
		defer m.mu.Unlock()
		m.takeAnswer(node, answer, shift, sentAt)
		interval := m.cluster.site.Report.Seconds() * (0.75 + 0.5*rand.Float64())
		return time.Duration(interval * float64(time.Second)), true
	case 421:
		var redirect struct {
			Foreman string `cbor:"foreman"`
		}
		_ = cbor.Unmarshal(answer, &redirect)
		for i, other := range m.cluster.nodes {
			if other.name == redirect.Foreman && other != node {
				m.mu.Lock()
				m.node = i
				m.mu.Unlock()
				m.client.CloseIdleConnections()
				return time.Duration(rand.Float64() * 0.5 * float64(time.Second)), false
			}
		}
	}
	return next()
}

type orders struct {
	Baton  uint64 `cbor:"baton"`
	Shift  uint64 `cbor:"shift"`
	Orders []struct {
		Verb    string  `cbor:"verb"`
		Piece   string  `cbor:"piece"`
		Try     uint64  `cbor:"try"`
		LeewayS float64 `cbor:"leewayS"`
	} `cbor:"orders"`
}

// takeAnswer executes the answer to a report. The machine must be locked.
func (m *Machine) takeAnswer(node *Node, answer []byte, shift uint64, sentAt time.Time) {
	var o orders
	if cbor.Unmarshal(answer, &o) != nil || m.isOff || shift != m.shift || o.Baton < m.baton {
		return
	}
	if o.Baton > m.baton {
		m.baton = o.Baton
		m.signal()
	}
	m.answered = sentAt
	m.answeredBy = node.name
	m.execute(&o)
}

func (m *Machine) execute(o *orders) {
	for _, order := range o.Orders {
		id := taskAttempt{order.Piece, order.Try}
		switch order.Verb {
		case "launch":
			m.launch(id)
		case "halt":
			if t := m.tasks[id]; t != nil {
				m.halt(t, order.LeewayS)
			}
		case "reap":
			if t := m.tasks[id]; t != nil && t.state == "ended" {
				delete(m.tasks, id)
				m.signal()
			}
		}
	}
}

// ServeHTTP handles /orders and /status.
func (m *Machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch r.URL.Path {
	case "/status":
		reply(w, 200, m.reportBody())
	case "/orders":
		var o orders
		if cbor.Unmarshal(body, &o) != nil || o.Shift == 0 {
			reply(w, 400, map[string]any{"error": "baton or shift"})
			return
		}
		if o.Baton < m.baton || o.Shift != m.shift {
			reply(w, 409, m.reportBody())
			return
		}
		m.baton = o.Baton
		m.execute(&o)
		reply(w, 200, m.reportBody())
	default:
		reply(w, 404, map[string]any{"error": "no such call"})
	}
}

// launch starts a task.
func (m *Machine) launch(id taskAttempt) {
	if m.tasks[id] != nil {
		return
	}
	t := &task{taskAttempt: id}
	refuse := func(cause string) {
		t.state, t.cause = "ended", cause
		m.tasks[id] = t
		m.cluster.record("%s: %s/%d refused: %s", m.id, id.piece, id.try, cause)
		m.signal()
	}
	jobID, index := splitPiece(id.piece)
	t.job = m.cluster.job(jobID)
	if t.job == nil || index < 0 || index >= t.job.Pieces {
		refuse("unknown")
		return
	}
	cores, memory := t.job.Cores, t.job.MemoryGb
	for _, other := range m.tasks {
		if other.state == "ended" {
			continue
		}
		if other.piece == id.piece {
			refuse("busy")
			return
		}
		cores += other.job.Cores
		memory += other.job.MemoryGb
	}
	if cores > m.build.Cores+1e-9 || memory > m.build.MemoryGb+1e-9 {
		refuse("full")
		return
	}
	m.tasks[id] = t
	t.state = "pulling"
	m.cluster.record("%s: %s/%d is launched", m.id, id.piece, id.try)
	fetch := time.Duration(0)
	if !m.images[t.job.Kit] {
		fetch = time.Duration(t.job.PullGb / m.build.FetchGbPerS * float64(time.Second))
	}
	m.after(t, fetch, m.begin)
	m.signal()
}

func splitPiece(piece string) (job string, index int) {
	slash := strings.LastIndexByte(piece, '/')
	if slash < 0 {
		return "", -1
	}
	index, err := strconv.Atoi(piece[slash+1:])
	if err != nil {
		index = -1
	}
	return piece[:slash], index
}

// after calls f with the machine locked, unless the task's state has changed by then.
func (m *Machine) after(t *task, delay time.Duration, f func(*task)) {
	t.generation++
	generation := t.generation
	time.AfterFunc(delay, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if !m.isOff && m.tasks[t.taskAttempt] == t && t.generation == generation {
			f(t)
		}
	})
}

// begin lets a task run that has its image.
func (m *Machine) begin(t *task) {
	m.images[t.job.Kit] = true
	t.onMachine = true
	m.cluster.taskBegins(m, t)
	if t.job.Shape == "ensemble" && t.job.Pieces > 1 && !m.isSick {
		t.state = "waiting"
		m.after(t, time.Duration(m.cluster.site.GangWaitS*float64(time.Second)), func(t *task) { m.end(t, "incomplete", false) })
		m.signal()
		m.cluster.gangs.join(m, t)
		return
	}
	m.runTask(t)
}

// runTask lets a task run until it is done, and a task of a service until it is stopped.
func (m *Machine) runTask(t *task) {
	t.state, t.ranFrom = "running", time.Now()
	m.signal()
	if m.isSick {
		m.after(t, time.Second, func(t *task) { m.end(t, "error", false) })
		return
	}
	if t.job.Shape == "daemon" {
		t.generation++
		return
	}
	left := max(0, t.job.RunS-m.cluster.progress(t.piece))
	m.after(t, time.Duration(left*float64(time.Second)), func(t *task) {
		m.cluster.taskDone(t)
		m.end(t, "done", false)
	})
}

// gangEnds tells a task of a running gang that another task of its attempt has left.
func (m *Machine) gangEnds(t *task, isDone bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isOff || m.tasks[t.taskAttempt] != t || t.state == "ended" {
		return
	}
	if isDone {
		m.cluster.taskDone(t)
		m.end(t, "done", false)
		return
	}
	peer := time.Duration(m.cluster.site.GangPeerS * float64(time.Second) / 2)
	m.after(t, peer, func(t *task) { m.end(t, "mates_gone", false) })
}

// halt stops a task.
func (m *Machine) halt(t *task, leeway float64) {
	switch {
	case t.state == "ended":
	case t.state == "running" && t.job.MarkS > 0 && leeway >= t.job.StowS && t.job.Shape == "batch":
		t.state = "flushing"
		m.cluster.record("%s: %s/%d is told to stop and saves", m.id, t.piece, t.try)
		progress := m.cluster.progress(t.piece) + time.Since(t.ranFrom).Seconds()
		m.after(t, time.Duration(t.job.StowS*float64(time.Second)), func(t *task) {
			m.cluster.saveProgress(t.piece, progress)
			m.end(t, "halted", true)
		})
		m.signal()
		m.cluster.notify("flushing", m, t)
	case t.state == "flushing" && leeway > 0:
	default:
		m.end(t, "halted", false)
	}
}

// end lets a task exit.
func (m *Machine) end(t *task, cause string, kept bool) {
	t.generation++
	t.state, t.cause, t.kept = "ended", cause, kept
	m.leave(t)
	m.cluster.record("%s: %s/%d exits: %s kept=%v", m.id, t.piece, t.try, cause, kept)
	m.signal()
}

// leave tells the cluster that a task is not on the machine any more.
func (m *Machine) leave(t *task) {
	if t.onMachine {
		t.onMachine = false
		m.cluster.taskLeaves(m, t)
		m.cluster.gangs.leave(t, t.cause == "done")
	}
}

func (t *task) String() string { return fmt.Sprintf("%s/%d", t.piece, t.try) }
