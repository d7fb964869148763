// Package standin has test doubles written for this project: a network in
// simulated time with a state service, a cloud, workers and users on it, and
// the rules that none of them may see broken. A run with the same seed gives
// the same trace.
package simulator

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/controller"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"

	"google.golang.org/protobuf/proto"
)

// Network is what clusters have in common: the clock, the events to come and the
// network. In simulated time events follow each other at once; driven by the
// real clock (see live.go) the same code serves real sockets.
type Network struct {
	now                time.Duration
	queue              eventQueue
	eventCount         int
	random             *rand.Rand
	handlers           map[string]requestHandler // by address
	cuts               map[string]bool
	inboundPartitioned map[string]bool // addresses that nothing reaches, though they are heard
	refusals           map[string]bool // requests that get 503, by "from|to"; open watches wait
	outages            map[string]bool // services in an outage, by address
	heldMessages       map[string][]func()
	TraceLines         []string
	Violations         []string
	live               *LiveNetwork                  // nil in simulated time
	clusters           map[string]*Cluster           // the clusters, by name
	controllers        map[string]*ControllerProcess // the controllers, by each of their addresses
	DuplicateRequest   func(to string) time.Duration // a request there arrives again after that; 0: once
	// DuplicateReports says how late copies of a worker's report come, if any; their answers
	// reach nobody.
	DuplicateReports func() []time.Duration
	observations     *observationWriter
	// Each of DelayedRequests says of a request whether it gets no answer, and after how long it
	// is carried out all the same.
	DelayedRequests []func(from, path string, body []byte) (after time.Duration, ok bool)
	// OnRequest is told each request as it is made.
	OnRequest func(from, method, path string)
	// OnTraffic is told each message as it leaves its sender.
	OnTraffic func(Traffic)
	// OnResponse is told the status of each answer that a host took.
	OnResponse func(method, path string, status int)
	// DropCancellationNotices: the word of a cancellation does not arrive at other controllers.
	DropCancellationNotices bool
	// ExtraLatency is how much longer than usual a message takes; nil: none does.
	ExtraLatency func(from, to string) time.Duration
}

// Traffic is one message on the simulated network.
type Traffic struct {
	At           time.Duration // simulated time since the start of the day
	From, To     string        // addresses
	Method, Path string        // of a request and of its answer; "peer" and "" between controllers
	Status       int           // of an answer; 0 in requests and between controllers
	Body         []byte
}

// notifyTraffic tells OnTraffic of a message that leaves its sender now.
func (n *Network) notifyTraffic(from, to, method, path string, status int, body []byte) {
	if n.OnTraffic != nil {
		n.OnTraffic(Traffic{At: n.now, From: from, To: to, Method: method, Path: path, Status: status, Body: body})
	}
}

func newNetwork(seed uint64) *Network {
	return &Network{refusals: map[string]bool{}, outages: map[string]bool{}, random: rand.New(rand.NewPCG(seed, 1)), handlers: map[string]requestHandler{}, cuts: map[string]bool{}, inboundPartitioned: map[string]bool{},
		heldMessages: map[string][]func(){}, clusters: map[string]*Cluster{}, controllers: map[string]*ControllerProcess{}}
}

// listen puts a server at an address; driven by the real clock, at a free
// port of the loopback, whose address it gives.
func (n *Network) listen(addr string, srv requestHandler) string {
	if n.live != nil {
		return n.live.listen(srv)
	}
	n.handlers[addr] = srv
	return addr
}

// unlisten takes it away.
func (n *Network) unlisten(addr string) {
	delete(n.handlers, addr)
	if n.live != nil {
		n.live.unlisten(addr)
	}
}

// Cluster is one cluster's surroundings: state service, cloud, machines, users.
type Cluster struct {
	*Network
	Name            string             // "" when it is the only one
	Settings        *settings.Settings // as the first controller sees it
	State           *StateService
	Cloud           *Cloud
	Controllers     map[string]*ControllerProcess
	controllerNames []string // names of the controllers

	Machines          map[string]*Machine
	jobs              map[string]*protocol.Job
	cancelledAt       map[string]time.Duration
	reportedStatus    map[string]protocol.JobStatus
	failedSubmissions map[string]int           // tries to submit a job that failed while the state service was down
	endReportedAt     map[string]time.Duration // when a user was told a job's end
	completedTasks    map[agent.TaskID]bool
	histories         *JobHistories
	submissions       map[string]*protocol.Submission
	OnJobCompleted    func(job string)                            // the last task of a job has ended
	OnStatusReported  func(job string, status protocol.JobStatus) // a user was told something new of a job; pending: that it is accepted
	FailingJobs       map[string]bool                             // jobs that fail on every machine
	FailedStarts      []agent.TaskID                              // starts that ended with an error
	RuntimeSpread     map[string]float64                          // by class: how many times the first one's time each further task of an array runs longer
	RuntimeFactors    map[string]float64                          // by class: how many times its estimate an array's task runs; 0: about once
}

// address is a host's address; those of several clusters must not collide.
func (c *Cluster) address(host string) string {
	if c.Name == "" {
		return host
	}
	return c.Name + "." + host
}

// requestHandler answers a request, now or later.
type requestHandler func(method, path string, body []byte, reply func(status int, body any))

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// NewCluster makes a deployment of three controllers n0, n1, n2 in two zones.
func NewCluster(seed uint64) *Cluster { return NewClusterOf(seed, 3) }

// NewClusterOf makes one of several controllers.
func NewClusterOf(seed uint64, nodes int) *Cluster { return newNetwork(seed).addCluster("", nodes) }

// newCluster adds a cluster with nothing in it.
func (n *Network) newCluster(name string) *Cluster {
	cluster := &Cluster{Network: n, Name: name, Controllers: map[string]*ControllerProcess{}, Machines: map[string]*Machine{}, jobs: map[string]*protocol.Job{},
		cancelledAt: map[string]time.Duration{}, reportedStatus: map[string]protocol.JobStatus{}, failedSubmissions: map[string]int{}, endReportedAt: map[string]time.Duration{}, submissions: map[string]*protocol.Submission{}, histories: &JobHistories{}}
	n.clusters[name] = cluster
	return cluster
}

// addCluster adds a cluster with its state service and cloud.
func (n *Network) addCluster(name string, nodes int) *Cluster {
	cluster := n.newCluster(name)
	for i := 0; i < nodes; i++ {
		cluster.controllerNames = append(cluster.controllerNames, fmt.Sprintf("n%d", i))
	}
	for i, name := range cluster.controllerNames {
		p := settings.Platform{Name: name, Zone: []string{"a", "b"}[i%2], API: cluster.address("api-" + name), Mesh: cluster.address(name)}
		for k, m := range cluster.controllerNames {
			if m != name {
				p.Members = append(p.Members, settings.Member{Name: m, Zone: []string{"a", "b"}[k%2], Address: cluster.address(m)})
			}
		}
		p.Services.State, p.Services.Cloud = cluster.address("state"), cluster.address("cloud")
		d := &p.Deployment
		d.Zones = []string{"a", "b"}
		d.Teams = []settings.Team{{Name: "red"}, {Name: "blue", CoresMax: 3}, {Name: "green", Cores: 4, GPUs: 4, GPUsMax: 4}}
		d.Workers.Report, d.Workers.Lease, d.Workers.GangWait, d.Workers.GangPeer, d.Workers.Cancel = 2, 14, 40, 6, 34
		d.State.RPS, d.State.WriteRPS, d.State.ValueKB, d.State.TxnOps = 200, 80, 16, 12
		d.Cloud.RPS, d.Cloud.ListLag = 4, 5
		d.Limits.CoreShare, d.Limits.RAM, d.Limits.Sockets = 0.2, 100, 500
		process := &ControllerProcess{cluster: cluster, name: name, settings: &settings.Settings{Platform: p, Operators: settings.Defaults()}}
		cluster.Controllers[name] = process
		cluster.controllers[p.API], cluster.controllers[p.Mesh] = process, process
		if cluster.Settings == nil {
			cluster.Settings = process.settings
		}
	}
	cluster.State = newStateService(cluster)
	cluster.Cloud = newCloud(cluster)
	return cluster
}

// Start starts all controllers.
func (c *Cluster) Start() {
	for _, name := range c.controllerNames {
		c.Controllers[name].Start()
	}
}

// Trace notes something for people to read.
func (n *Network) Trace(format string, a ...any) {
	line := fmt.Sprintf("%8.2f ", n.now.Seconds()) + fmt.Sprintf(format, a...)
	if n.live != nil && n.live.Log != nil {
		fmt.Fprintln(n.live.Log, line)
		return
	}
	n.TraceLines = append(n.TraceLines, line)
}

func (n *Network) reportViolation(format string, a ...any) {
	n.Violations = append(n.Violations, fmt.Sprintf(format, a...))
	n.Trace("BROKEN "+format, a...)
}

func (n *Network) schedule(t time.Duration, f func()) {
	n.eventCount++
	heap.Push(&n.queue, event{t, n.eventCount, f})
}

func (n *Network) after(duration time.Duration, f func()) { n.schedule(n.now+max(duration, 0), f) }

// At does something at a time given in seconds.
func (n *Network) At(sec float64, f func()) { n.schedule(time.Duration(sec*float64(time.Second)), f) }

// Run plays until a time given in seconds.
func (n *Network) Run(until float64) {
	end := time.Duration(until * float64(time.Second))
	for len(n.queue) > 0 && n.queue[0].at <= end {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.run()
	}
	n.now = end
}

// CutLink stops traffic between two addresses; what is sent meanwhile is held
// back, and delivered by Heal.
func (n *Network) CutLink(a, b string) {
	n.Trace("cut %s - %s", a, b)
	n.cutLink(a, b)
}

func (n *Network) cutLink(a, b string) { n.cuts[a+"|"+b], n.cuts[b+"|"+a] = true, true }

// HealLink ends a cut.
func (n *Network) HealLink(a, b string) {
	n.Trace("heal %s - %s", a, b)
	n.healLink(a, b)
}

func (n *Network) healLink(a, b string) {
	for _, key := range []string{a + "|" + b, b + "|" + a} {
		delete(n.cuts, key)
		for _, f := range n.heldMessages[key] {
			n.after(n.latency(), f)
		}
		delete(n.heldMessages, key)
	}
}

// SetInboundPartition lets nothing reach a host while what it sends arrives, or ends that.
func (n *Network) SetInboundPartition(addr string, on bool) {
	n.Trace("%s hears: %v", addr, !on)
	n.inboundPartitioned[addr] = on
}

// IsolateController cuts a controller off from the state service and the other
// controllers, not from its workers and users; the function it gives ends that.
func (c *Cluster) IsolateController(name string) (heal func()) {
	each := func(f func(a, b string)) {
		f(c.address(name), c.address("state"))
		for _, o := range c.controllerNames {
			if o != name {
				f(c.address(name), c.address(o))
			}
		}
	}
	c.Trace("%s is isolated", name)
	each(c.cutLink)
	return func() {
		c.Trace("%s is isolated no more", name)
		each(c.healLink)
	}
}

// PartitionZone cuts everything in a zone off from everything outside; the function
// it gives heals the cut.
func (c *Cluster) PartitionZone(zone string) (heal func()) {
	inside, outside := []string{}, []string{c.address("state"), c.address("cloud"), c.address("user")}
	place := func(z string, hosts ...string) {
		if z == zone {
			inside = append(inside, hosts...)
		} else {
			outside = append(outside, hosts...)
		}
	}
	for _, name := range c.controllerNames {
		place(c.Controllers[name].settings.Zone, c.address(name), c.address("api-"+name))
	}
	for _, id := range c.machineIDs() {
		place(c.Machines[id].zone, c.Machines[id].address)
	}
	each := func(f func(a, b string)) {
		for _, a := range inside {
			for _, b := range outside {
				f(a, b)
			}
		}
	}
	c.Trace("zone %s is cut off", zone)
	each(c.cutLink)
	return func() {
		c.Trace("zone %s is back", zone)
		each(c.healLink)
	}
}

// SetRefusal lets a service answer one host 503, or ends that.
func (n *Network) SetRefusal(from, to string, on bool) {
	n.Trace("%s refuses %s: %v", to, from, on)
	n.refusals[from+"|"+to] = on
}

func (n *Network) latency() time.Duration {
	return time.Millisecond + time.Duration(n.random.IntN(2000))*time.Microsecond
}

// deliver carries one message.
func (n *Network) deliver(from, to string, f func()) {
	if n.inboundPartitioned[to] {
		return
	}
	if key := from + "|" + to; n.cuts[key] {
		n.heldMessages[key] = append(n.heldMessages[key], f)
		return
	}
	process, takes := n.controllers[from], n.latency()
	if n.ExtraLatency != nil {
		takes += n.ExtraLatency(from, to)
	}
	if process == nil {
		n.after(takes, f)
		return
	}
	life := process.incarnation
	n.after(takes, func() {
		if process.paused && process.holdsOutgoing { // it had not left the process yet
			process.deferred = append(process.deferred, func() { process.execute(life, f) })
			return
		}
		f()
	})
}

// request is one request and its answer; done is called once, with 0 at the time-out.
func (n *Network) request(from, to, method, path string, in, out any, timeout time.Duration, done func(int)) {
	var body []byte
	if in != nil {
		body = protocol.Encode(in)
	}
	if n.live != nil {
		n.live.request(to, method, path, body, timeout, func(status int, b []byte) {
			if out != nil && len(b) > 0 && protocol.Decode(b, out) != nil {
				status = 0
			}
			done(status)
		})
		return
	}
	if n.OnRequest != nil {
		n.OnRequest(from, method, path)
	}
	n.notifyTraffic(from, to, method, path, 0, body)
	over, mute := false, false
	n.after(timeout, func() {
		if !over {
			over = true
			done(0)
		}
	})
	arrive := func() {
		srv := n.handlers[to]
		if srv == nil {
			return // silent, like a machine without power
		}
		if n.refusals[from+"|"+to] {
			srv = func(_, _ string, _ []byte, reply func(int, any)) { reply(503, nil) }
		}
		var answered func(status int, answer any)
		answered = func(status int, answer any) {
			if strings.HasPrefix(path, "/changes") && status == 200 && (n.refusals[from+"|"+to] || n.outages[to]) {
				n.after(10*time.Millisecond, func() { answered(status, answer) })
				return
			}
			var b []byte
			if answer != nil {
				b = protocol.Encode(answer)
			}
			n.notifyTraffic(to, from, method, path, status, b)
			n.deliver(to, from, func() {
				if over || mute {
					return
				}
				over = true
				if out != nil && len(b) > 0 {
					if err := protocol.Decode(b, out); err != nil {
						n.reportViolation("answer of %s%s not understood: %v", to, path, err)
					}
				}
				if n.OnResponse != nil {
					n.OnResponse(method, path, status)
				}
				done(status)
			})
		}
		srv(method, path, body, answered)
	}
	for _, late := range n.DelayedRequests {
		if duration, ok := late(from, path, body); ok {
			mute = true
			n.after(duration, arrive)
			return
		}
	}
	n.deliver(from, to, arrive)
	if n.DuplicateReports != nil && path == "/v1/report" {
		for _, duration := range n.DuplicateReports() {
			n.after(duration, func() {
				if srv := n.handlers[to]; srv != nil {
					srv(method, path, body, func(int, any) {})
				}
			})
		}
	}
	if n.DuplicateRequest != nil {
		if duration := n.DuplicateRequest(to); duration > 0 {
			n.after(duration, arrive)
		}
	}
}

// ControllerProcess runs one controller; a crash drops all its callbacks.
type ControllerProcess struct {
	cluster           *Cluster
	name              string
	settings          *settings.Settings
	incarnation       int
	running           bool
	startedAt         time.Duration
	ClockRate         float64 // of its steady clock; 0: exact
	ClockOffset       float64 // how far its time of day is ahead, in seconds
	Controller        *controller.Controller
	SocketsExhausted  bool // it has no socket left for users and workers
	ReportsOldVersion bool // it says that it is of the version before

	paused        bool
	holdsOutgoing bool     // what it was sending when it froze leaves when it goes on
	deferred      []func() // what is to happen in it when it goes on
}

// orOne of a steady clock.
func orOne(r float64) float64 {
	if r == 0 {
		return 1
	}
	return r
}

// Start starts the controller's process.
func (p *ControllerProcess) Start() {
	p.incarnation++
	p.running, p.paused, p.deferred, p.startedAt = true, false, nil, p.cluster.now
	p.Controller = controller.New(&controllerEnvironment{p, p.incarnation}, p.settings)
	p.Controller.EnableFederation(&controllerEnvironment{p, p.incarnation})
	p.Controller.Start()
}

// Crash ends it without warning.
func (p *ControllerProcess) Crash() {
	p.cluster.Trace("%s crashes", p.cluster.address(p.name))
	p.running, p.paused, p.deferred = false, false, nil
	p.incarnation++
}

// Pause makes the process stand still for a while; its clocks run on. When it
// goes on, all that came meanwhile (answers, requests, timers) is there at
// once, in no order. holds: so is what it was just sending; otherwise that has
// left before.
func (p *ControllerProcess) Pause(duration time.Duration, holds bool) {
	if p.paused || !p.running {
		return
	}
	p.cluster.Trace("%s stands still", p.cluster.address(p.name))
	p.paused, p.holdsOutgoing = true, holds
	life := p.incarnation
	p.cluster.after(duration, func() {
		if !p.running || p.incarnation != life {
			return
		}
		p.cluster.Trace("%s goes on", p.cluster.address(p.name))
		p.paused = false
		stuck := p.deferred
		p.deferred = nil
		p.cluster.random.Shuffle(len(stuck), func(i, k int) { stuck[i], stuck[k] = stuck[k], stuck[i] })
		for _, f := range stuck {
			f()
		}
	})
}

// execute does f in the process that was started as life, unless that has ended;
// in a frozen one when it goes on.
func (p *ControllerProcess) execute(life int, f func()) {
	switch {
	case !p.running || p.incarnation != life:
	case p.paused:
		p.deferred = append(p.deferred, func() { p.execute(life, f) })
	default:
		f()
	}
}

type controllerEnvironment struct {
	process     *ControllerProcess
	incarnation int
}

func (e *controllerEnvironment) Now() time.Duration {
	return time.Duration(float64(e.process.cluster.now-e.process.startedAt)*orOne(e.process.ClockRate)) + time.Second
}
func (e *controllerEnvironment) Wall() time.Time {
	return time.Unix(1_700_000_000, 0).Add(e.process.cluster.now + time.Duration(e.process.ClockOffset*float64(time.Second)))
}
func (e *controllerEnvironment) Rand() *rand.Rand { return e.process.cluster.random }
func (e *controllerEnvironment) After(duration time.Duration, f func()) {
	// Rounded up: what waits for a moment of its own clock must not find that
	// it is still to come, again and again.
	e.process.cluster.after(time.Duration(math.Ceil(float64(duration)/orOne(e.process.ClockRate))), func() { e.process.execute(e.incarnation, f) })
}

func (e *controllerEnvironment) Call(addr, method, path string, in, out any, timeout time.Duration, done func(int)) {
	e.process.cluster.request(e.process.cluster.address(e.process.name), addr, method, path, in, out, timeout, func(status int) {
		e.process.execute(e.incarnation, func() { done(status) })
	})
}

func (w *controllerEnvironment) Send(member string, e *peermsg.Envelope) {
	e.From = w.process.name
	if st := e.GetStatus(); st != nil && w.process.ReportsOldVersion {
		st.Version = 0
	}
	b, err := proto.Marshal(e)
	if err != nil {
		panic(err)
	}
	cluster := w.process.cluster
	cluster.notifyTraffic(cluster.address(w.process.name), cluster.address(member), "peer", "", 0, b)
	if cluster.cuts[cluster.address(w.process.name)+"|"+cluster.address(member)] {
		return // a mesh connection gives up after a while
	}
	cluster.after(cluster.latency(), func() {
		to := cluster.Controllers[member]
		c := &peermsg.Envelope{}
		if proto.Unmarshal(b, c) == nil && !(cluster.DropCancellationNotices && c.GetJobNotice().GetCancelled()) {
			to.execute(to.incarnation, func() { to.Controller.HandlePeerMessage(c) })
		}
	})
}

// runningControllers lists the nodes that are up.
func (c *Cluster) runningControllers() []string {
	var out []string
	for name, process := range c.Controllers {
		if process.running {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// TraceText is the whole trace.
func (n *Network) TraceText() string { return strings.Join(n.TraceLines, "\n") + "\n" }
