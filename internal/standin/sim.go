// Package standin has test doubles written for this project: a network in
// simulated time with a state service, a cloud, workers and users on it, and
// the rules that none of them may see broken. A run with the same seed gives
// the same trace.
package standin

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"curlewspool/internal/mesh"
	"curlewspool/internal/node"
	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
	"curlewspool/internal/worker"

	"google.golang.org/protobuf/proto"
)

// Net is what clusters have in common: the clock, the events to come and the
// network. In simulated time events follow each other at once; driven by the
// real clock (see live.go) the same code serves real sockets.
type Net struct {
	now    time.Duration
	queue  events
	n      int
	rnd    *rand.Rand
	serve  map[string]server // by address
	cuts   map[string]bool
	deaf   map[string]bool // addresses that nothing reaches, though they are heard
	refuse map[string]bool // requests that get 503, by "from|to"; open watches wait
	down   map[string]bool // services in an outage, by address
	held   map[string][]func()
	Traced []string
	Broken []string
	live   *Live                         // nil in simulated time
	sims   map[string]*Sim               // the clusters, by name
	hosts  map[string]*Host              // the controllers, by each of their addresses
	Twice  func(to string) time.Duration // a request there arrives again after that; 0: once
	// Copies says how late copies of a worker's report come, if any; their answers
	// reach nobody.
	Copies func() []time.Duration
	seen   *Seen
	// Each of Late says of a request whether it gets no answer, and after how long it
	// is carried out all the same.
	Late []func(from, path string, body []byte) (after time.Duration, ok bool)
	// OnCall is told each request as it is made.
	OnCall func(from, method, path string)
	// OnTraffic is told each message as it leaves its sender.
	OnTraffic func(Traffic)
	// OnAnswer is told the status of each answer that a host took.
	OnAnswer func(method, path string, status int)
	// Unsaid: the word of a cancellation does not arrive at other controllers.
	Unsaid bool
	// Lag is how much longer than usual a message takes; nil: none does.
	Lag func(from, to string) time.Duration
}

// Traffic is one message on the simulated network.
type Traffic struct {
	At           time.Duration // simulated time since the start of the day
	From, To     string        // addresses
	Method, Path string        // of a request and of its answer; "peer" and "" between controllers
	Status       int           // of an answer; 0 in requests and between controllers
	Body         []byte
}

// traffic tells OnTraffic of a message that leaves its sender now.
func (n *Net) traffic(from, to, method, path string, status int, body []byte) {
	if n.OnTraffic != nil {
		n.OnTraffic(Traffic{At: n.now, From: from, To: to, Method: method, Path: path, Status: status, Body: body})
	}
}

func newNet(seed uint64) *Net {
	return &Net{refuse: map[string]bool{}, down: map[string]bool{}, rnd: rand.New(rand.NewPCG(seed, 1)), serve: map[string]server{}, cuts: map[string]bool{}, deaf: map[string]bool{},
		held: map[string][]func(){}, sims: map[string]*Sim{}, hosts: map[string]*Host{}}
}

// listen puts a server at an address; driven by the real clock, at a free
// port of the loopback, whose address it gives.
func (n *Net) listen(addr string, srv server) string {
	if n.live != nil {
		return n.live.listen(srv)
	}
	n.serve[addr] = srv
	return addr
}

// unlisten takes it away.
func (n *Net) unlisten(addr string) {
	delete(n.serve, addr)
	if n.live != nil {
		n.live.unlisten(addr)
	}
}

// Sim is one cluster's surroundings: state service, cloud, machines, users.
type Sim struct {
	*Net
	Name  string             // "" when it is the only one
	S     *settings.Settings // as the first controller sees it
	State *State
	Cloud *Cloud
	Nodes map[string]*Host
	all   []string // names of the controllers

	Workers  map[string]*Worker
	jobs     map[string]*wire.Job
	aborted  map[string]time.Duration
	told     map[string]string
	inVain   map[string]int           // tries to submit a job that failed while the state service was down
	endedAt  map[string]time.Duration // when a user was told a job's end
	finished map[worker.Task]bool
	history  *History
	subs     map[string]*wire.Submission
	OnEnd    func(job string)         // the last task of a job has ended
	OnTold   func(job, status string) // a user was told something new of a job; pending: that it is accepted
	Mistaken map[string]bool          // jobs that fail on every machine
	Failed   []worker.Task            // starts that ended with an error
	Apart    map[string]float64       // by class: how many times the first one's time each further task of an array runs longer
	Overruns map[string]float64       // by class: how many times its estimate an array's task runs; 0: about once
}

// addr is a host's address; those of several clusters must not collide.
func (s *Sim) addr(host string) string {
	if s.Name == "" {
		return host
	}
	return s.Name + "." + host
}

// server answers a request, now or later.
type server func(method, path string, body []byte, reply func(status int, body any))

type event struct {
	at time.Duration
	n  int
	f  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// New makes a deployment of three controllers n0, n1, n2 in two zones.
func New(seed uint64) *Sim { return NewSized(seed, 3) }

// NewSized makes one of several controllers.
func NewSized(seed uint64, nodes int) *Sim { return newNet(seed).cluster("", nodes) }

// sim adds a cluster with nothing in it.
func (n *Net) sim(name string) *Sim {
	s := &Sim{Net: n, Name: name, Nodes: map[string]*Host{}, Workers: map[string]*Worker{}, jobs: map[string]*wire.Job{},
		aborted: map[string]time.Duration{}, told: map[string]string{}, inVain: map[string]int{}, endedAt: map[string]time.Duration{}, subs: map[string]*wire.Submission{}, history: &History{}}
	n.sims[name] = s
	return s
}

// cluster adds a cluster with its state service and cloud.
func (n *Net) cluster(name string, nodes int) *Sim {
	s := n.sim(name)
	for i := 0; i < nodes; i++ {
		s.all = append(s.all, fmt.Sprintf("n%d", i))
	}
	for i, name := range s.all {
		p := settings.Platform{Name: name, Zone: []string{"a", "b"}[i%2], API: s.addr("api-" + name), Mesh: s.addr(name)}
		for k, m := range s.all {
			if m != name {
				p.Members = append(p.Members, settings.Member{Name: m, Zone: []string{"a", "b"}[k%2], Address: s.addr(m)})
			}
		}
		p.Services.State, p.Services.Cloud = s.addr("state"), s.addr("cloud")
		d := &p.Deployment
		d.Zones = []string{"a", "b"}
		d.Teams = []settings.Team{{Name: "red"}, {Name: "blue", CoresMax: 3}, {Name: "green", Cores: 4, GPUs: 4, GPUsMax: 4}}
		d.Workers.Report, d.Workers.Lease, d.Workers.GangWait, d.Workers.GangPeer, d.Workers.Cancel = 2, 14, 40, 6, 34
		d.State.RPS, d.State.WriteRPS, d.State.ValueKB, d.State.TxnOps = 200, 80, 16, 12
		d.Cloud.RPS, d.Cloud.ListLag = 4, 5
		d.Limits.CoreShare, d.Limits.RAM, d.Limits.Sockets = 0.2, 100, 500
		h := &Host{s: s, name: name, set: &settings.Settings{Platform: p, Operators: settings.Defaults()}}
		s.Nodes[name] = h
		s.hosts[p.API], s.hosts[p.Mesh] = h, h
		if s.S == nil {
			s.S = h.set
		}
	}
	s.State = newState(s)
	s.Cloud = newCloud(s)
	return s
}

// Start starts all controllers.
func (s *Sim) Start() {
	for _, name := range s.all {
		s.Nodes[name].Start()
	}
}

// Trace notes something for people to read.
func (n *Net) Trace(format string, a ...any) {
	line := fmt.Sprintf("%8.2f ", n.now.Seconds()) + fmt.Sprintf(format, a...)
	if n.live != nil && n.live.Log != nil {
		fmt.Fprintln(n.live.Log, line)
		return
	}
	n.Traced = append(n.Traced, line)
}

func (n *Net) broken(format string, a ...any) {
	n.Broken = append(n.Broken, fmt.Sprintf(format, a...))
	n.Trace("BROKEN "+format, a...)
}

func (n *Net) at(t time.Duration, f func()) {
	n.n++
	heap.Push(&n.queue, event{t, n.n, f})
}

func (n *Net) after(d time.Duration, f func()) { n.at(n.now+max(d, 0), f) }

// At does something at a time given in seconds.
func (n *Net) At(sec float64, f func()) { n.at(time.Duration(sec*float64(time.Second)), f) }

// Run plays until a time given in seconds.
func (n *Net) Run(until float64) {
	end := time.Duration(until * float64(time.Second))
	for len(n.queue) > 0 && n.queue[0].at <= end {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.f()
	}
	n.now = end
}

// Cut stops traffic between two addresses; what is sent meanwhile is held
// back, and delivered by Heal.
func (n *Net) Cut(a, b string) {
	n.Trace("cut %s - %s", a, b)
	n.cut(a, b)
}

func (n *Net) cut(a, b string) { n.cuts[a+"|"+b], n.cuts[b+"|"+a] = true, true }

// Heal ends a cut.
func (n *Net) Heal(a, b string) {
	n.Trace("heal %s - %s", a, b)
	n.heal(a, b)
}

func (n *Net) heal(a, b string) {
	for _, k := range []string{a + "|" + b, b + "|" + a} {
		delete(n.cuts, k)
		for _, f := range n.held[k] {
			n.after(n.latency(), f)
		}
		delete(n.held, k)
	}
}

// Deafen lets nothing reach a host while what it sends arrives, or ends that.
func (n *Net) Deafen(addr string, on bool) {
	n.Trace("%s hears: %v", addr, !on)
	n.deaf[addr] = on
}

// Isolate cuts a controller off from the state service and the other
// controllers, not from its workers and users; the function it gives ends that.
func (s *Sim) Isolate(name string) (heal func()) {
	each := func(f func(a, b string)) {
		f(s.addr(name), s.addr("state"))
		for _, o := range s.all {
			if o != name {
				f(s.addr(name), s.addr(o))
			}
		}
	}
	s.Trace("%s is isolated", name)
	each(s.cut)
	return func() {
		s.Trace("%s is isolated no more", name)
		each(s.heal)
	}
}

// CutZone cuts everything in a zone off from everything outside; the function
// it gives heals the cut.
func (s *Sim) CutZone(zone string) (heal func()) {
	inside, outside := []string{}, []string{s.addr("state"), s.addr("cloud"), s.addr("user")}
	place := func(z string, hosts ...string) {
		if z == zone {
			inside = append(inside, hosts...)
		} else {
			outside = append(outside, hosts...)
		}
	}
	for _, n := range s.all {
		place(s.Nodes[n].set.Zone, s.addr(n), s.addr("api-"+n))
	}
	for _, id := range s.workerIDs() {
		place(s.Workers[id].zone, s.Workers[id].addr)
	}
	each := func(f func(a, b string)) {
		for _, a := range inside {
			for _, b := range outside {
				f(a, b)
			}
		}
	}
	s.Trace("zone %s is cut off", zone)
	each(s.cut)
	return func() {
		s.Trace("zone %s is back", zone)
		each(s.heal)
	}
}

// Refuse lets a service answer one host 503, or ends that.
func (n *Net) Refuse(from, to string, on bool) {
	n.Trace("%s refuses %s: %v", to, from, on)
	n.refuse[from+"|"+to] = on
}

func (n *Net) latency() time.Duration {
	return time.Millisecond + time.Duration(n.rnd.IntN(2000))*time.Microsecond
}

// deliver carries one message.
func (n *Net) deliver(from, to string, f func()) {
	if n.deaf[to] {
		return
	}
	if k := from + "|" + to; n.cuts[k] {
		n.held[k] = append(n.held[k], f)
		return
	}
	h, takes := n.hosts[from], n.latency()
	if n.Lag != nil {
		takes += n.Lag(from, to)
	}
	if h == nil {
		n.after(takes, f)
		return
	}
	life := h.life
	n.after(takes, func() {
		if h.frozen && h.holds { // it had not left the process yet
			h.stuck = append(h.stuck, func() { h.step(life, f) })
			return
		}
		f()
	})
}

// call is one request and its answer; done is called once, with 0 at the time-out.
func (n *Net) call(from, to, method, path string, in, out any, timeout time.Duration, done func(int)) {
	var body []byte
	if in != nil {
		body = wire.Encode(in)
	}
	if n.live != nil {
		n.live.call(to, method, path, body, timeout, func(status int, b []byte) {
			if out != nil && len(b) > 0 && wire.Decode(b, out) != nil {
				status = 0
			}
			done(status)
		})
		return
	}
	if n.OnCall != nil {
		n.OnCall(from, method, path)
	}
	n.traffic(from, to, method, path, 0, body)
	over, mute := false, false
	n.after(timeout, func() {
		if !over {
			over = true
			done(0)
		}
	})
	arrive := func() {
		srv := n.serve[to]
		if srv == nil {
			return // silent, like a machine without power
		}
		if n.refuse[from+"|"+to] {
			srv = func(_, _ string, _ []byte, reply func(int, any)) { reply(503, nil) }
		}
		var answered func(status int, answer any)
		answered = func(status int, answer any) {
			if strings.HasPrefix(path, "/changes") && status == 200 && (n.refuse[from+"|"+to] || n.down[to]) {
				n.after(10*time.Millisecond, func() { answered(status, answer) })
				return
			}
			var b []byte
			if answer != nil {
				b = wire.Encode(answer)
			}
			n.traffic(to, from, method, path, status, b)
			n.deliver(to, from, func() {
				if over || mute {
					return
				}
				over = true
				if out != nil && len(b) > 0 {
					if err := wire.Decode(b, out); err != nil {
						n.broken("answer of %s%s not understood: %v", to, path, err)
					}
				}
				if n.OnAnswer != nil {
					n.OnAnswer(method, path, status)
				}
				done(status)
			})
		}
		srv(method, path, body, answered)
	}
	for _, late := range n.Late {
		if d, ok := late(from, path, body); ok {
			mute = true
			n.after(d, arrive)
			return
		}
	}
	n.deliver(from, to, arrive)
	if n.Copies != nil && path == "/v1/report" {
		for _, d := range n.Copies() {
			n.after(d, func() {
				if srv := n.serve[to]; srv != nil {
					srv(method, path, body, func(int, any) {})
				}
			})
		}
	}
	if n.Twice != nil {
		if d := n.Twice(to); d > 0 {
			n.after(d, arrive)
		}
	}
}

// Host runs one controller; a crash drops all its callbacks.
type Host struct {
	s     *Sim
	name  string
	set   *settings.Settings
	life  int
	up    bool
	start time.Duration
	Rate  float64 // of its steady clock; 0: exact
	Off   float64 // how far its time of day is ahead, in seconds
	Node  *node.Node
	Full  bool // it has no socket left for users and workers
	Old   bool // it says that it is of the version before

	frozen bool
	holds  bool     // what it was sending when it froze leaves when it goes on
	stuck  []func() // what is to happen in it when it goes on
}

// rate of a steady clock.
func rate(r float64) float64 {
	if r == 0 {
		return 1
	}
	return r
}

// Start starts the controller's process.
func (h *Host) Start() {
	h.life++
	h.up, h.frozen, h.stuck, h.start = true, false, nil, h.s.now
	h.Node = node.New(&world{h, h.life}, h.set)
	h.Node.Federate(&world{h, h.life})
	h.Node.Start()
}

// Crash ends it without warning.
func (h *Host) Crash() {
	h.s.Trace("%s crashes", h.s.addr(h.name))
	h.up, h.frozen, h.stuck = false, false, nil
	h.life++
}

// Freeze makes the process stand still for a while; its clocks run on. When it
// goes on, all that came meanwhile (answers, requests, timers) is there at
// once, in no order. holds: so is what it was just sending; otherwise that has
// left before.
func (h *Host) Freeze(d time.Duration, holds bool) {
	if h.frozen || !h.up {
		return
	}
	h.s.Trace("%s stands still", h.s.addr(h.name))
	h.frozen, h.holds = true, holds
	life := h.life
	h.s.after(d, func() {
		if !h.up || h.life != life {
			return
		}
		h.s.Trace("%s goes on", h.s.addr(h.name))
		h.frozen = false
		stuck := h.stuck
		h.stuck = nil
		h.s.rnd.Shuffle(len(stuck), func(i, k int) { stuck[i], stuck[k] = stuck[k], stuck[i] })
		for _, f := range stuck {
			f()
		}
	})
}

// step does f in the process that was started as life, unless that has ended;
// in a frozen one when it goes on.
func (h *Host) step(life int, f func()) {
	switch {
	case !h.up || h.life != life:
	case h.frozen:
		h.stuck = append(h.stuck, func() { h.step(life, f) })
	default:
		f()
	}
}

type world struct {
	h    *Host
	life int
}

func (w *world) Now() time.Duration {
	return time.Duration(float64(w.h.s.now-w.h.start)*rate(w.h.Rate)) + time.Second
}
func (w *world) Wall() time.Time {
	return time.Unix(1_700_000_000, 0).Add(w.h.s.now + time.Duration(w.h.Off*float64(time.Second)))
}
func (w *world) Rand() *rand.Rand { return w.h.s.rnd }
func (w *world) After(d time.Duration, f func()) {
	// Rounded up: what waits for a moment of its own clock must not find that
	// it is still to come, again and again.
	w.h.s.after(time.Duration(math.Ceil(float64(d)/rate(w.h.Rate))), func() { w.h.step(w.life, f) })
}

func (w *world) Call(addr, method, path string, in, out any, timeout time.Duration, done func(int)) {
	w.h.s.call(w.h.s.addr(w.h.name), addr, method, path, in, out, timeout, func(status int) {
		w.h.step(w.life, func() { done(status) })
	})
}

func (w *world) Send(member string, e *mesh.Envelope) {
	e.From = w.h.name
	if st := e.GetStatus(); st != nil && w.h.Old {
		st.Version = 0
	}
	b, err := proto.Marshal(e)
	if err != nil {
		panic(err)
	}
	s := w.h.s
	s.traffic(s.addr(w.h.name), s.addr(member), "peer", "", 0, b)
	if s.cuts[s.addr(w.h.name)+"|"+s.addr(member)] {
		return // a mesh connection gives up after a while
	}
	s.after(s.latency(), func() {
		to := s.Nodes[member]
		c := &mesh.Envelope{}
		if proto.Unmarshal(b, c) == nil && !(s.Unsaid && c.GetNews().GetWithdrawn()) {
			to.step(to.life, func() { to.Node.Heard(c) })
		}
	})
}

// names lists the nodes that are up.
func (s *Sim) names() []string {
	var out []string
	for n, h := range s.Nodes {
		if h.up {
			out = append(out, n)
		}
	}
	sort.Strings(out)
	return out
}

// Text is the whole trace.
func (n *Net) Text() string { return strings.Join(n.Traced, "\n") + "\n" }
