// Package node is the one owner of all state in a controller. It takes
// commands from a queue in batches (see loop.go) and passes them to the
// slices, which never call each other behind its back.
package node

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"curlewspool/internal/dispatch"
	"curlewspool/internal/federation"
	"curlewspool/internal/fleet"
	"curlewspool/internal/intake"
	"curlewspool/internal/lead"
	"curlewspool/internal/ledger"
	"curlewspool/internal/mesh"
	"curlewspool/internal/part"
	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
	"curlewspool/internal/world"
)

// Node is a controller.
type Node struct {
	w     world.World
	s     *settings.Settings
	names []string // all controllers; part k is by custom names[k]'s

	l      *ledger.Ledger
	book   *lead.Book
	intake *intake.Intake

	types    map[string]*wire.MachineType
	jobs     map[string]*part.JobRecord
	progress map[string]map[int]*part.Progress
	machines map[string]*part.MachineRecord
	parts    map[int]*part.Part
	large    map[string]part.Large
	cleaning map[string]bool     // orphaned progress being deleted
	orphans  map[string]bool     // jobs that are over and have progress
	rosters  map[string][]string // machines under each key
	enlist   enlist
	due      map[string][]float64 // by class: deadlines that the objectives set
	arrivals *fleet.Arrivals

	peers   map[string]*peer
	goodFor time.Duration // since when this controller has been ready

	// leader
	ranker   *dispatch.Ranker
	fleet    *fleet.Fleet
	slots    []dispatch.Slots
	short    []*mesh.Gap // gangs that are larger than their part
	status   *mesh.Status
	released time.Duration
	signing  bool
	signed   time.Duration
	pushing  int // direct orders under way

	load   *metered
	asks   map[uint64]func(*mesh.Answer)
	askID  uint64
	claims time.Duration

	demand   map[string][2]float64
	demandAt time.Duration

	desk *federation.Desk // nil: no partners

	hearing hearing
}

type peer struct {
	heard  time.Duration // of its latest status
	since  time.Duration // ready without a break since
	ready  time.Duration // of its latest status that said ready
	good   time.Duration // the latest moment at which the state service is known to have answered it
	sign   time.Duration // of its latest sign of life in the state service
	mute   bool          // it left a question unanswered and has said nothing since
	status *mesh.Status
}

// New makes a controller; Start sets it going.
func New(w world.World, s *settings.Settings) *Node {
	d := &s.Deployment
	load := meter(w, s)
	w = load
	n := &Node{w: w, s: s, load: load, names: s.Names(), types: map[string]*wire.MachineType{}, jobs: map[string]*part.JobRecord{},
		progress: map[string]map[int]*part.Progress{}, machines: map[string]*part.MachineRecord{}, parts: map[int]*part.Part{},
		cleaning: map[string]bool{}, orphans: map[string]bool{}, rosters: map[string][]string{}, enlist: newEnlist(), due: map[string][]float64{}, large: map[string]part.Large{}, peers: map[string]*peer{},
		asks: map[uint64]func(*mesh.Answer){}, ranker: &dispatch.Ranker{Max: s.Rank.Max, Window: s.Rank.Window}}
	for _, m := range s.Members {
		n.peers[m.Name] = &peer{heard: -time.Hour, ready: -time.Hour, sign: -time.Hour}
	}
	n.arrivals = fleet.NewArrivals(4 * n.lease())
	n.l = ledger.New(w, s.Services.State, s.Name, ledger.Limits{RPS: d.State.RPS, WriteRPS: d.State.WriteRPS,
		ValueKB: d.State.ValueKB, TxnOps: d.State.TxnOps, Members: len(n.names)}, n.changed)
	n.book = lead.New(s.Name, n.l)
	n.book.Taken, n.book.Lost = n.taken, n.lost
	// Twice, as the key may be taken a while after this is asked.
	n.book.Until = func() float64 { return n.Wall() + 2*n.grantLife().Seconds() }
	n.l.Reset = n.reset
	n.intake = intake.New(n, w)
	n.resetSlots()
	return n
}

func (n *Node) resetSlots() {
	n.slots = make([]dispatch.Slots, len(n.names))
	for k := range n.slots {
		n.slots[k] = dispatch.NewSlots(n.s.Rank.Max)
	}
}

func (n *Node) lease() time.Duration { return world.Seconds(n.s.Deployment.Workers.Lease) }

// grantLife is how long ownership outlives silence. Long enough for the
// state service's ordinary outages not to cost workers their leases; short
// enough that a task whose owner is cut off from the news of an abort is gone
// within cancel_s: the owner answers no later than grantLife after the cut
// and the worker's lease ends lease_s after that.
func (n *Node) grantLife() time.Duration {
	cancel := world.Seconds(n.s.Deployment.Workers.Cancel)
	return min(time.Duration(float64(n.lease())*n.s.Grants.Life), (cancel-n.lease())*9/10)
}

func (n *Node) heartbeat() time.Duration { return max(n.lease()/40, 250*time.Millisecond) }

// Start sets everything going.
func (n *Node) Start() {
	n.l.Start()
	g := &n.l.Grant
	g.Gained = n.claimOwn
	g.Lost = n.book.DropAll
	g.Keep(n.grantLife(), time.Duration(float64(n.grantLife())*n.s.Grants.Renew), settings.Drift)
	n.catalog()
	n.beat()
	n.tick()
}

func (n *Node) catalog() {
	out := &wire.Catalog{}
	n.w.Call(n.s.Services.Cloud, "GET", "/catalog", nil, out, 4*time.Second, func(status int) {
		again := 60 * time.Second
		if status == 200 && len(out.Types) > 0 {
			types := map[string]*wire.MachineType{}
			for i := range out.Types {
				types[out.Types[i].Name] = &out.Types[i]
			}
			n.types = types
		} else if len(n.types) == 0 {
			again = time.Second
		}
		n.w.After(again+time.Duration(n.w.Rand().Int64N(int64(again)/2)), n.catalog)
	})
}

// --- host of the slices ---

func (n *Node) Now() time.Duration                   { return n.w.Now() }
func (n *Node) Wall() float64                        { return float64(n.w.Wall().UnixMilli()) / 1000 }
func (n *Node) Ledger() *ledger.Ledger               { return n.l }
func (n *Node) Settings() *settings.Settings         { return n.s }
func (n *Node) Types() map[string]*wire.MachineType  { return n.types }
func (n *Node) TypeOf(name string) *wire.MachineType { return n.types[name] }
func (n *Node) Job(id string) *part.JobRecord        { return n.jobs[id] }

// MayLaunch: with an old cache a job could be started that its user was told
// is cancelled.
func (n *Node) MayLaunch() bool {
	return n.l.Loaded() && n.l.Grant.Valid() && n.l.Age() < n.launchAge()
}

// launchAge: a watch is answered after at most its hold time when nothing
// changes, so a syncing tick keeps the cache younger than this.
func (n *Node) launchAge() time.Duration {
	return max(time.Second, time.Duration(n.s.Deployment.Workers.Report*float64(time.Second)))
}

// Counts is what the ledger says of a live job's tasks.
func (n *Node) Counts(id string) (doneTasks, running int, started bool) {
	rec := n.jobs[id]
	if rec == nil {
		return 0, 0, false
	}
	for _, p := range n.progress[id] {
		started = true
		running += p.Running
		for _, r := range p.Done {
			doneTasks += r[1] - r[0] + 1
		}
	}
	if len(rec.Done) > 0 || len(rec.Away) > 0 { // some of it was, or is, at a partner
		ranges, abroad := n.Progress(id)
		doneTasks, running, started = 0, abroad, true
		for _, r := range ranges {
			doneTasks += r[1] - r[0] + 1
		}
	}
	doneTasks = min(doneTasks, rec.Job.Tasks)
	return doneTasks, min(running, rec.Job.Tasks-doneTasks), started
}

// Deadlines of a job: one without its own has those that the objectives set
// for its class (ours).
func (n *Node) Deadlines(j *wire.Job) []float64 {
	if j.Deadline > 0 {
		return []float64{j.Deadline}
	}
	d, ok := n.due[j.Class]
	if !ok {
		d = n.s.Deadlines(j.Class)
		n.due[j.Class] = d
	}
	return d
}

// TeamDemand sums a team's unfinished jobs.
func (n *Node) TeamDemand(team string) (cores, gpus float64) {
	now := n.w.Now()
	if n.demand == nil || now-n.demandAt > time.Second/4 {
		n.demand, n.demandAt = map[string][2]float64{}, now
		for id, rec := range n.jobs {
			d, _, _ := n.Counts(id)
			t := n.demand[rec.Job.Team]
			t[0] += rec.Job.Cores * float64(rec.Job.Tasks-d)
			t[1] += rec.Job.GPUs * float64(rec.Job.Tasks-d)
			n.demand[rec.Job.Team] = t
		}
	}
	t := n.demand[team]
	return t[0], t[1]
}

// --- changes of the ledger ---

func (n *Node) changed(key string, value []byte) {
	switch {
	case key == "":
	case strings.HasPrefix(key, "a/o/"):
		n.book.Change(key, value)
	case strings.HasPrefix(key, "a/h/"):
		if p := n.peers[key[4:]]; p != nil && value != nil && n.l.Loaded() {
			p.sign = n.w.Now()
		}
	case strings.HasPrefix(key, "a/j/"):
		id := key[4:]
		if value == nil {
			delete(n.jobs, id)
			if n.desk != nil {
				n.desk.Changed(id, nil)
			}
			if n.progress[id] != nil {
				n.orphans[id] = true
			}
			n.eachPart(func(p *part.Part) { p.OnJob(id, nil, 0) })
			return
		}
		rec := &part.JobRecord{}
		if err := wire.Decode(value, rec); err != nil {
			slog.Error("node: bad job record", "key", key, "err", err)
			return
		}
		if n.jobs[id] == nil && rec.Loan == nil {
			n.arrivals.Note(&rec.Job, world.Seconds(rec.At), world.Seconds(n.Wall()))
		}
		n.jobs[id] = rec
		n.noteLarge(&rec.Job)
		if n.desk != nil {
			n.desk.Changed(id, rec)
		}
		e, _ := n.l.Get(key)
		n.eachPart(func(p *part.Part) { p.OnJob(id, rec, e.Stamp); n.feedProgress(p, id) })
	case strings.HasPrefix(key, "a/p/"):
		i := strings.LastIndexByte(key, '/')
		k, err := strconv.Atoi(key[i+1:])
		if err != nil || i < 4 {
			return
		}
		id := key[4:i]
		if value == nil {
			delete(n.progress[id], k)
			if len(n.progress[id]) == 0 {
				delete(n.progress, id)
				delete(n.orphans, id)
			}
			return
		}
		p := &part.Progress{}
		if err := wire.Decode(value, p); err != nil {
			slog.Error("node: bad progress record", "key", key, "err", err)
			return
		}
		if n.progress[id] == nil {
			n.progress[id] = map[int]*part.Progress{}
		}
		n.progress[id][k] = p
		if n.l.Loaded() && n.jobs[id] == nil {
			n.orphans[id] = true
		}
		n.eachPart(func(o *part.Part) { o.OnProgress(id, k, p) })
	case strings.HasPrefix(key, rosterRoot):
		n.rosterChanged(key, value)
	}
}

// reset: the cache is void. Parts are given up rather than told that their
// jobs and machines are gone, which only a deletion says.
func (n *Node) reset() {
	n.book.DropAll()
	n.book.Forget()
	n.jobs, n.progress, n.machines = map[string]*part.JobRecord{}, map[string]map[int]*part.Progress{}, map[string]*part.MachineRecord{}
	n.orphans, n.rosters = map[string]bool{}, map[string][]string{}
	if n.desk != nil {
		n.desk.Reset()
	}
}

func (n *Node) feedProgress(p *part.Part, id string) {
	for k := range n.names {
		if pr := n.progress[id][k]; pr != nil {
			p.OnProgress(id, k, pr)
		}
	}
}

func (n *Node) eachPart(f func(p *part.Part)) {
	for k := range n.names {
		if p := n.parts[k]; p != nil {
			f(p)
		}
	}
}

// --- ownership ---

// claimOwn takes back, under new tokens, what this controller held before its
// restart: its dead predecessor cannot act any more, so nothing is waited for.
func (n *Node) claimOwn() {
	if !n.l.Loaded() || !n.l.Grant.Valid() {
		return
	}
	for k := range n.names {
		if key := lead.PartKey(k); n.book.Stale(key) {
			n.book.Claim(key, false)
		}
	}
	if n.book.Stale(lead.Leader) {
		n.book.Claim(lead.Leader, false)
	}
}

func (n *Node) taken(key string, token uint64, until float64) {
	if key == lead.Leader {
		if n.fleet == nil {
			n.fleet = fleet.New(n.w, n.s, token)
			n.resetSlots()
			if n.desk != nil {
				n.desk.Lead(token)
			}
		}
		return
	}
	k, err := strconv.Atoi(strings.TrimPrefix(key, "a/o/"))
	if err != nil || k < 0 || k >= len(n.names) {
		return
	}
	if p := n.parts[k]; p != nil {
		p.Renew(token)
		return
	}
	// The cache may be older than the claim: the last writes of the owner
	// before, such as which job may be on which machine, must be in it before
	// anything is started. No write of his can follow the claim.
	n.settle(k, key, token, n.w.Now()+n.mayAnswer(until))
}

// mayAnswer is for how long yet an owner before may answer workers: until a time
// of day, by two clocks that may both be off, but no longer than a grant. Who
// gave its key up has stopped; one whose grant ended at the state service had
// renewed it, at the latest, when the key was taken from it.
func (n *Node) mayAnswer(until float64) time.Duration {
	left := world.Seconds(until - n.Wall() + 2*n.s.Deployment.SkewMs/1000)
	return max(min(left, n.grantLife()), time.Duration(2*float64(n.grantLife())*n.s.Grants.Renew))
}

// release gives a part up, unless an owner before may still answer its machines:
// who takes a free part would not know of that.
func (n *Node) release(k int) bool {
	if p := n.parts[k]; p != nil && n.w.Now() < p.Bound() {
		return false
	}
	n.book.Release(lead.PartKey(k))
	return true
}

func (n *Node) settle(k int, key string, token uint64, bound time.Duration) {
	n.l.Prove(func(ok bool) {
		if !n.book.Holds(key) || n.book.Token(key) < token || n.parts[k] != nil {
			return
		}
		if !ok {
			n.w.After(n.heartbeat(), func() { n.settle(k, key, token, bound) })
			return
		}
		n.open(k, key, n.book.Token(key), bound)
	})
}

func (n *Node) open(k int, key string, token uint64, bound time.Duration) {
	p := part.New(k, token, n, func() wire.Cond { return n.book.Guard(key) }, bound)
	n.parts[k] = p
	for _, id := range sortedKeys(n.machines) {
		p.OnMachine(id, n.machines[id])
	}
	for _, id := range sortedKeys(n.jobs) {
		e, _ := n.l.Get(part.JobKey(id))
		p.OnJob(id, n.jobs[id], e.Stamp)
		n.feedProgress(p, id)
	}
	p.Tick()
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func (n *Node) lost(key string) {
	if key == lead.Leader {
		n.fleet = nil
		return
	}
	if k, err := strconv.Atoi(strings.TrimPrefix(key, "a/o/")); err == nil {
		if p := n.parts[k]; p != nil {
			p.Close()
			delete(n.parts, k)
		}
	}
}

// owns gives a part that this controller owns and may act for now.
func (n *Node) owns(k int) *part.Part {
	if p := n.parts[k]; p != nil && n.book.Holds(lead.PartKey(k)) && n.l.Grant.Valid() {
		return p
	}
	return nil
}

func (n *Node) leads() bool {
	return n.fleet != nil && n.book.Holds(lead.Leader) && n.l.Grant.Valid()
}

// ready: able to act for the service.
func (n *Node) ready() bool {
	return n.l.Loaded() && n.l.Grant.Valid() && !n.l.Down() && len(n.types) > 0
}

// absent: not heard as ready for long, though this controller has been.
func (n *Node) absent(name string) bool {
	p := n.peers[name]
	if p == nil {
		return name != n.s.Name
	}
	now := n.w.Now()
	limit := time.Duration(float64(n.lease()) * n.s.Grants.Absent)
	if n.missed(name) {
		// Its workers' leases are running out. More than the time in which a
		// process is restarted, which then takes its own back.
		limit = limit * 7 / 10
	}
	if !n.ready() {
		return false
	}
	// It says itself that the state service has not answered it for long, while
	// this controller is answered, and has been for longer than others take to
	// find that an outage is over. Waiting as for one that is not heard would
	// leave its part still for half a minute after an outage.
	if p.status != nil && n.heard(name) && !p.status.Ready && p.status.StateAgeMs > 0 &&
		now-p.good > n.lease()/4 && now-n.goodFor > n.lease()/8 {
		return true
	}
	return now-max(p.ready, p.sign) > limit && now-n.goodFor > limit
}

// heard tells whether a member's messages arrive.
func (n *Node) heard(name string) bool {
	p := n.peers[name]
	return p == nil || n.w.Now()-p.heard < 3*n.heartbeat()
}

func signKey(name string) string { return "a/h/" + name }

type sign struct {
	W string `cbor:"w"`
}

// signs: while it does not hear some member, a controller leaves signs of
// life in the state service. A zone that is cut off with a controller inside
// goes on working; taking its parts away would only end the leases of workers
// that nobody else reaches.
func (n *Node) signs(now time.Duration) {
	all := true
	for name := range n.peers {
		all = all && n.heard(name)
	}
	if all || !n.ready() || n.signing || now-n.signed < n.lease()/12 {
		return
	}
	n.signing, n.signed = true, now
	key := signKey(n.s.Name)
	n.l.Write(ledger.Soon, &ledger.Write{
		Build: func(nonce string) ([]wire.Cond, []wire.Op) {
			return []wire.Cond{n.l.Stamp(key)}, []wire.Op{{Put: key, Value: wire.Encode(&sign{W: nonce}), Lease: n.l.Grant.ID}}
		},
		Done: func(bool, uint64) { n.signing = false },
	})
}

func (n *Node) ownership() {
	if !n.l.Loaded() || !n.l.Grant.Valid() {
		return
	}
	n.claimOwn()
	now := n.w.Now()
	if now < n.claims {
		return
	}
	// Who has just started lets the one that led before come back first.
	n.claims = now + n.heartbeat()/2 + time.Duration(n.w.Rand().Int64N(int64(n.heartbeat())))
	switch o := n.book.Owner(lead.Leader); {
	case o == "":
		n.book.Claim(lead.Leader, false)
	case o != n.s.Name && n.absent(o):
		slog.Info("node: the leader is absent", "leader", o)
		n.book.Claim(lead.Leader, true)
	}
}

// assign sees that every part has an owner that is there.
func (n *Node) assign() {
	now := n.w.Now()
	count := map[string]int{}
	crowd := n.crowds()
	for k := range n.names {
		if o := n.book.Owner(lead.PartKey(k)); o != "" {
			count[o]++
			crowd.machines[o] += crowd.sizes[k]
		}
	}
	there := func(name string) bool {
		if name == n.s.Name {
			return !n.hearing.deaf
		}
		p := n.peers[name]
		return now-p.ready < 3*n.heartbeat() && !p.status.Deaf
	}
	// better: a member is to have a part rather than another.
	better := func(m, than string, k int, zone string) bool {
		if a, b := crowd.fits(m, k), crowd.fits(than, k); a != b {
			return a
		}
		return n.fitter(m, than, zone, count)
	}
	for k, name := range n.names {
		o := n.book.Owner(lead.PartKey(k))
		if o != "" && !n.absent(o) {
			continue
		}
		if o == "" && now-n.goodFor < 2*n.heartbeat() {
			continue // others may still be starting
		}
		best, zone := "", crowd.homeZone(k, home)
		if there(name) && count[name] == 0 && (zone == "" || n.zoneOf(name) == zone) && crowd.fits(name, k) {
			best = name
		} else {
			for _, m := range n.names {
				if m != o && there(m) && (best == "" || better(m, best, k, zone)) {
					best = m
				}
			}
		}
		if best == "" {
			continue
		}
		count[best]++
		crowd.machines[best] += crowd.sizes[k]
		slog.Info("node: part is assigned", "part", k, "to", best, "from", o)
		if best == n.s.Name {
			n.book.Claim(lead.PartKey(k), o != "")
		} else {
			n.w.Send(best, &mesh.Envelope{Body: &mesh.Envelope_Assign{Assign: &mesh.Assign{Part: int32(k)}}})
		}
	}
	if now-n.released < n.lease()/4 {
		return
	}
	// A member without a part gets one back from a member with several; a part
	// whose machines are mostly in one zone belongs to a member there.
	for k := range n.names {
		o, zone := n.book.Owner(lead.PartKey(k)), crowd.homeZone(k, farHome)
		if o == "" || !there(o) || zone != "" && n.zoneOf(o) == zone && crowd.machines[o] <= crowd.most {
			continue
		}
		homeless := crowd.homeZone(k, home) == ""
		crowded := crowd.machines[o] > crowd.most && count[o] > 1
		for _, m := range n.names {
			if m == o || !there(m) || now-n.since(m) < n.lease()/4 {
				continue
			}
			fits := crowd.fits(m, k)
			// Back to its zone only with room to spare, or it would come and go
			// with each machine.
			spare := 4*(crowd.machines[m]+crowd.sizes[k]) <= 3*crowd.most
			if zone != "" && n.zoneOf(m) == zone && n.zoneOf(o) != zone && spare || homeless && count[m] == 0 && count[o] > 1 || crowded && fits {
				n.released = now
				if o == n.s.Name {
					n.release(k)
				} else {
					n.w.Send(o, &mesh.Envelope{Body: &mesh.Envelope_Release{Release: &mesh.Release{Part: int32(k)}}})
				}
				return
			}
		}
	}
}

// crowds are the machines of each part and owner, and how many an owner may have
// before its zone counts for less than its sockets: each machine holds one, and
// another while it is ordered directly; a quarter is users'.
type crowds struct {
	sizes    []int
	cores    []map[string]float64 // of each part, by zone, of known types
	typed    []int                // machines that those are of
	machines map[string]int
	most     int
}

// fits: the member may have the part as well.
func (c *crowds) fits(name string, k int) bool { return c.machines[name]+c.sizes[k] <= c.most }

func (n *Node) crowds() crowds {
	parts := len(n.names)
	c := crowds{sizes: make([]int, parts), cores: make([]map[string]float64, parts), typed: make([]int, parts), machines: map[string]int{},
		most: n.s.Deployment.Limits.Sockets / 2}
	for k := range c.cores {
		c.cores[k] = map[string]float64{}
	}
	for _, m := range n.machines {
		if m.Part < 0 || m.Part >= parts {
			continue
		}
		c.sizes[m.Part]++
		if t := n.types[m.Type]; t != nil {
			c.cores[m.Part][m.Zone] += t.Cores
			c.typed[m.Part]++
		}
	}
	return c
}

// A part's home is the zone with this share of its cores. A part changes hands
// only for a larger one, so that owners do not change with every machine.
const home, farHome = 0.6, 0.8

// homeZone is the zone that has most of a part's cores, if one has by far:
// with an owner there, a cut between zones does not part it from them.
func (c *crowds) homeZone(k int, share float64) string {
	all := 0.0
	for _, cores := range c.cores[k] {
		all += cores
	}
	for z, cores := range c.cores[k] {
		if c.typed[k] > 1 && cores > share*all {
			return z
		}
	}
	return ""
}

// since is when a member became ready, as far as is known here.
func (n *Node) since(name string) time.Duration {
	if p := n.peers[name]; p != nil {
		return p.since
	}
	return n.goodFor
}

// fitter: m is a better owner than b for a part that belongs to the zone.
func (n *Node) fitter(m, b, zone string, count map[string]int) bool {
	if zone != "" && (n.zoneOf(m) == zone) != (n.zoneOf(b) == zone) {
		return n.zoneOf(m) == zone
	}
	return count[m] < count[b]
}

func (n *Node) zoneOf(name string) string {
	for _, m := range n.s.Members {
		if m.Name == name {
			return m.Zone
		}
	}
	return n.s.Zone
}

// --- time ---

func (n *Node) tick() {
	now := n.w.Now()
	if n.ready() {
		if n.goodFor == 0 {
			n.goodFor = now
		}
	} else {
		n.goodFor = 0
	}
	if !n.l.Grant.Valid() && (len(n.parts) > 0 || n.fleet != nil) {
		n.book.DropAll()
	}
	if n.l.Loaded() && n.l.Age() > n.launchAge()/2 && len(n.parts) > 0 {
		n.l.Refresh()
	}
	n.ownership()
	n.eachPart(func(p *part.Part) {
		if n.owns(p.K) != nil {
			p.Tick()
			n.clean(p)
		}
	})
	n.w.After(n.heartbeat()/4, n.tick)
}

// clean deletes progress of jobs that are over.
func (n *Node) clean(p *part.Part) {
	if len(n.orphans) == 0 {
		return
	}
	for _, id := range sortedKeys(n.orphans) {
		if n.jobs[id] != nil || n.progress[id] == nil {
			delete(n.orphans, id)
			continue
		}
		if n.progress[id][p.K] == nil || len(n.cleaning) >= 8 {
			continue
		}
		key := part.ProgressKey(id, p.K)
		if n.cleaning[key] {
			continue
		}
		n.cleaning[key] = true
		guard := n.book.Guard(lead.PartKey(p.K))
		n.l.Write(ledger.Later, &ledger.Write{
			Build: func(string) ([]wire.Cond, []wire.Op) {
				if _, ok := n.l.Get(key); !ok {
					return nil, nil
				}
				return []wire.Cond{guard, n.l.Stamp(key)}, []wire.Op{{Delete: key}}
			},
			Done: func(bool, uint64) { delete(n.cleaning, key) },
		})
	}
}

// beat tells the others how things are, and does the leader's round.
func (n *Node) beat() {
	now := n.w.Now()
	n.signs(now)
	n.listen() // first: who is deaf says so at once, and is not given the part back
	st := &mesh.Status{Ready: n.ready(), Hears: n.hearing.counts(n), Deaf: n.hearing.deaf}
	if good, _ := n.l.Good(); good > 0 {
		st.StateAgeMs = max(1, uint32((now - good).Milliseconds()))
	}
	n.eachPart(func(p *part.Part) {
		if n.owns(p.K) == nil {
			return
		}
		ps, gaps := p.Status(n.s.Rank.Max)
		st.Parts = append(st.Parts, ps)
		st.Gaps = append(st.Gaps, gaps...)
	})
	n.learnSlots(st)
	n.status = st
	if n.leads() {
		n.assign()
		n.rent()
		n.lend()
	}
	if n.leads() {
		st.Spared = n.fleet.Spared()
		st.ComingCores, st.ComingS = n.fleet.Coming()
	}
	n.moves()
	if n.desk != nil {
		n.desk.Tick()
	}
	for _, name := range sortedKeys(n.peers) { // last: moves take from the free room
		n.w.Send(name, &mesh.Envelope{Body: &mesh.Envelope_Status{Status: st}})
	}
	n.w.After(n.heartbeat(), n.beat)
}

// Spared tells what the leader says of ordinary machines that were rented:
// spot jobs do without them.
func (n *Node) Spared() bool {
	if n.leads() {
		return n.fleet.Spared()
	}
	p := n.peers[n.book.Owner(lead.Leader)]
	return p != nil && p.status != nil && n.heard(n.book.Owner(lead.Leader)) && p.status.Spared
}

// Coming is what each part may expect of the machines that boot, as the leader says.
func (n *Node) Coming() (cores, in float64) {
	o := n.book.Owner(lead.Leader)
	if n.leads() {
		cores, in = n.fleet.Coming()
	} else if p := n.peers[o]; p != nil && p.status != nil && n.heard(o) {
		cores, in = p.status.ComingCores, p.status.ComingS
	}
	return cores / float64(len(n.names)), in
}

// statuses are what the members that are heard told last, and this controller's.
func (n *Node) statuses() []*mesh.Status {
	var out []*mesh.Status
	for _, name := range sortedKeys(n.peers) {
		if p := n.peers[name]; p.status != nil && n.heard(name) {
			out = append(out, p.status)
		}
	}
	if n.status != nil {
		out = append(out, n.status)
	}
	return out
}

// Wanted: some queued work, of whatever part, could run on the machine; spot:
// also such as a spot machine would do.
func (n *Node) Wanted(m *part.Machine, spot bool) bool {
	for _, s := range n.statuses() {
		for _, g := range s.Gaps {
			if rec := n.jobs[g.Job]; rec != nil && (spot || !rec.Job.Spot) && part.Allows(&rec.Job, n.types[m.Type], m.Zone, m.Spot) {
				return true
			}
		}
	}
	return false
}

// noteLarge remembers the shapes for which machines are kept whole. Every
// controller sees all jobs, so all parts keep theirs.
func (n *Node) noteLarge(j *wire.Job) {
	if j.Shape != wire.Gang && j.Tasks > 1 || j.Rank < 0 {
		return
	}
	if len(n.large) >= 64 {
		oldest := ""
		for _, k := range sortedKeys(n.large) {
			if oldest == "" || n.large[k].Seen < n.large[oldest].Seen {
				oldest = k
			}
		}
		delete(n.large, oldest)
	}
	key := fmt.Sprintf("%s/%s/%v/%v", j.Class, j.Zone, j.Types, j.Cores)
	l := part.Large{Job: *j, Seen: n.w.Now()}
	l.Job.Tasks = max(j.Tasks, n.large[key].Job.Tasks) // of the largest one
	n.large[key] = l
}

// Large lists those shapes.
func (n *Node) Large() map[string]part.Large { return n.large }

// Spare: of the same type and kind as many whole machines as the job takes
// have lower names (empty, or with what the job may stop without loss), in the
// zone with most of them if it may only be in one.
func (n *Node) Spare(m *part.Machine, j *wire.Job) bool {
	t := n.types[m.Type]
	if t == nil {
		return false
	}
	need, count, before := t.Machines(j), map[string]int{}, 0
	for _, s := range n.statuses() {
		for _, p := range s.Parts {
			for _, r := range p.Free {
				if !r.Whole || r.Type != m.Type || r.Spot != m.Spot {
					continue
				}
				zone := ""
				if j.OneZone {
					zone = r.Zone
				}
				count[zone]++
				if r.Machine < m.ID && (zone == "" || zone == m.Zone) {
					before++
				}
			}
		}
	}
	best := ""
	for _, z := range sortedKeys(count) {
		if best == "" || count[z] > count[best] {
			best = z
		}
	}
	if j.OneZone && best != m.Zone {
		return count[best] >= need
	}
	return before >= need
}

// lend finds machines in other parts for gangs that their own part is too
// small for: such a gang is in effect the head of all parts.
func (n *Node) lend() {
	statuses := n.statuses()
	n.short = nil
	for _, s := range statuses {
		for _, g := range s.Gaps {
			rec := n.jobs[g.Job]
			if g.Short <= 0 || rec == nil {
				continue
			}
			n.short = append(n.short, g)
			n.lendFor(&rec.Job, g, statuses)
		}
	}
}

func (n *Node) lendFor(j *wire.Job, g *mesh.Gap, statuses []*mesh.Status) {
	if t := n.s.Team(j.Team); t == nil || int(g.Part) >= len(n.names) {
		return
	}
	// The zone with the most machines to come from, for a job in one zone.
	zone, most := "", 0
	if j.OneZone {
		count := map[string]int{}
		for _, id := range sortedKeys(n.machines) {
			if m := n.machines[id]; part.Allows(j, n.types[m.Type], m.Zone, m.Spot) {
				count[m.Zone] += n.types[m.Type].Fits(j, j.Tasks)
			}
		}
		for _, z := range sortedKeys(count) {
			if count[z] > most {
				zone, most = z, count[z]
			}
		}
	}
	// A gang apart lacks room in some zones only: what its part has in each.
	there := map[string]int{}
	if j.Spread {
		for _, m := range n.machines {
			if m.Part == int(g.Part) && part.Allows(j, n.types[m.Type], m.Zone, m.Spot) {
				there[m.Zone] += n.types[m.Type].Fits(j, j.Tasks)
			}
		}
	}
	left := int(g.Short)
	ask := func(empty bool) {
		for _, s := range statuses {
			for _, p := range s.Parts {
				for _, r := range p.Free {
					if left <= 0 || p.Part == g.Part || r.Empty != empty || zone != "" && r.Zone != zone ||
						!part.Allows(j, n.types[r.Type], r.Zone, r.Spot) || j.Spread && there[r.Zone] >= part.Half(j) {
						continue
					}
					k := n.types[r.Type].Fits(j, j.Tasks)
					there[r.Zone] += k
					left -= k
					l := &mesh.Lend{Machine: r.Machine, To: g.Part}
					if o := n.book.Owner(lead.PartKey(int(p.Part))); o == n.s.Name {
						n.lendOut(l)
					} else if o != "" {
						n.w.Send(o, &mesh.Envelope{Body: &mesh.Envelope_Lend{Lend: l}})
					}
				}
			}
		}
	}
	ask(true)
	ask(false)
}

func (n *Node) lendOut(l *mesh.Lend) {
	rec := n.machines[l.Machine]
	if rec == nil || int(l.To) < 0 || int(l.To) >= len(n.names) {
		return
	}
	if p := n.owns(rec.Part); p != nil {
		p.Lend(l.Machine, int(l.To))
	}
}

func (n *Node) moves() {
	var all []*mesh.PartStatus
	for _, s := range n.statuses() {
		all = append(all, s.Parts...)
	}
	n.eachPart(func(p *part.Part) {
		if n.owns(p.K) != nil {
			p.Move(all)
		}
	})
}

func (n *Node) rent() {
	if len(n.types) == 0 {
		return
	}
	var gaps []fleet.Gap
	for _, s := range n.statuses() {
		for _, g := range s.Gaps {
			if rec := n.jobs[g.Job]; rec != nil {
				gaps = append(gaps, fleet.Gap{Job: &rec.Job, Tasks: int(g.Tasks), Waited: n.Wall() - rec.At, Starts: g.StartsS, Due: n.Deadlines(&rec.Job)})
			}
		}
	}
	var known []fleet.Known
	for _, id := range sortedKeys(n.machines) {
		known = append(known, fleet.Known{ID: id, Rec: n.machines[id]})
	}
	retiring := map[string]bool{}
	for _, s := range n.statuses() {
		for _, p := range s.Parts {
			for _, id := range p.Retiring {
				retiring[id] = true
			}
		}
	}
	var busy fleet.Busy
	for id, rec := range n.jobs {
		if rec.Loan != nil {
			continue // nothing is rented, or kept, for it
		}
		_, running, _ := n.Counts(id)
		cores := float64(running) * max(rec.Job.Cores, rec.Job.GPUs)
		if rec.Job.Spot {
			busy.Work += cores * rec.Job.Estimate / 2
		} else {
			busy.Cores += cores
		}
	}
	coming := func(rank int) float64 { return n.arrivals.Above(rank, world.Seconds(n.Wall())) }
	n.fleet.Tick(n.types, known, retiring, gaps, busy, coming, n.found, n.forget)
	n.enrol()
}

// --- the leader's dispatch ---

func (n *Node) learnSlots(st *mesh.Status) {
	for _, p := range st.Parts {
		if k := int(p.Part); k >= 0 && k < len(n.slots) && len(p.Load) == n.s.Rank.Max+1 && len(p.Count) == len(p.Load) {
			s := dispatch.NewSlots(n.s.Rank.Max)
			copy(s.Load, p.Load)
			for i, c := range p.Count {
				s.Count[i] = int(c)
			}
			n.slots[k] = s
		}
	}
}

// choose ranks a job and gives each of its chunks a part.
func (n *Node) choose(j *wire.Job) (rank, chunk int, parts []int) {
	rank = n.ranker.Rank(j)
	np := len(n.names)
	team := n.s.Team(j.Team)
	limited := team != nil && team.Limited()
	chunks := 1
	if j.Shape == wire.Array && !j.OneZone && !j.Spread && !limited {
		d := &n.s.Dispatch
		chunks = max(1, min(int(float64(np)*d.ChunksPerPart), j.Tasks/d.ChunkMin))
	}
	chunk = (j.Tasks + chunks - 1) / chunks
	chunks = (j.Tasks + chunk - 1) / chunk
	parts = make([]int, chunks)
	if limited {
		// A limit is kept by the one owner that sees all the team's tasks.
		h := 0
		for _, c := range []byte(j.Team) {
			h = (h*31 + int(c)) % (1 << 20)
		}
		for c := range parts {
			parts[c] = h % np
		}
		return rank, chunk, parts
	}
	eligible := n.eligible(j)
	for c := range parts {
		k := dispatch.Choose(n.slots, eligible, rank)
		parts[c] = k
		n.slots[k].Add(rank, dispatch.Work(j, min(chunk, j.Tasks-c*chunk)))
	}
	return rank, chunk, parts
}

// eligible are the parts whose machines, were they empty, could hold the job;
// a gang as a whole. If there is none, those that hold most of it, or all.
func (n *Node) eligible(j *wire.Job) []bool {
	need, room := 1, make([]map[string]int, len(n.names))
	if j.Shape == wire.Gang {
		need = j.Tasks
	}
	for k := range room {
		room[k] = map[string]int{}
	}
	for _, m := range n.machines {
		if t := n.types[m.Type]; m.Part >= 0 && m.Part < len(n.names) && part.Allows(j, t, m.Zone, m.Spot) {
			room[m.Part][m.Zone] += t.Fits(j, need)
		}
	}
	holds := make([]int, len(n.names))
	best := 0
	for k := range room {
		holds[k] = min(part.Holds(j, room[k]), need)
		best = max(best, holds[k])
	}
	out := make([]bool, len(holds))
	for k, h := range holds {
		out[k] = h == best
	}
	return out
}

// Plan asks the leader where a submission goes.
func (n *Node) Plan(j *wire.Job, done func(rank, chunk int, parts []int)) {
	if n.leads() {
		done(n.choose(j))
		return
	}
	o := n.book.Owner(lead.Leader)
	// Without a leader, or with a slow one, this controller chooses by what all
	// owners told it last, so that users need not wait for an election. One
	// submission at the most waits for a leader that is gone: the next ones do not
	// ask it until it is heard again.
	alone := func() { done(n.choose(j)) }
	p := n.peers[o]
	if p == nil || !n.heard(o) || p.mute {
		alone()
		return
	}
	n.askID++
	id := n.askID
	n.asks[id] = func(a *mesh.Answer) {
		parts := make([]int, len(a.Parts))
		for i, p := range a.Parts {
			parts[i] = int(p)
		}
		done(int(a.Rank), int(a.Chunk), parts)
	}
	n.w.Send(o, &mesh.Envelope{Body: &mesh.Envelope_Ask{Ask: &mesh.Ask{Id: id, Job: wire.Encode(j)}}})
	// Answers come within some milliseconds. (At a third of a heartbeat, 220 ms,
	// the wait alone was longer than users of 200 ms allow for all.)
	n.w.After(n.heartbeat()/12, func() {
		if n.asks[id] != nil {
			delete(n.asks, id)
			p.mute = true
			alone()
		}
	})
}

// News hurries the others' caches.
func (n *Node) News(id string) {
	for _, name := range sortedKeys(n.peers) {
		n.w.Send(name, &mesh.Envelope{Body: &mesh.Envelope_News{News: &mesh.News{Job: id}}})
	}
}

// --- mesh ---

// Heard takes a message from another controller.
func (n *Node) Heard(e *mesh.Envelope) {
	p := n.peers[e.From]
	if p == nil {
		return
	}
	now := n.w.Now()
	p.mute = false
	switch b := e.Body.(type) {
	case *mesh.Envelope_Status:
		p.heard, p.status = now, b.Status
		if age := b.Status.StateAgeMs; age > 0 {
			p.good = max(p.good, now-time.Duration(age)*time.Millisecond)
		}
		if b.Status.Ready {
			if now-p.ready > 3*n.heartbeat() {
				p.since = now
			}
			p.ready = now
		}
		n.learnSlots(b.Status)
	case *mesh.Envelope_Ask:
		j := &wire.Job{}
		if !n.leads() || wire.Decode(b.Ask.Job, j) != nil || j.Tasks < 1 {
			return
		}
		rank, chunk, parts := n.choose(j)
		a := &mesh.Answer{Id: b.Ask.Id, Rank: int32(rank), Chunk: int32(chunk)}
		for _, k := range parts {
			a.Parts = append(a.Parts, int32(k))
		}
		n.w.Send(e.From, &mesh.Envelope{Body: &mesh.Envelope_Answer{Answer: a}})
	case *mesh.Envelope_Answer:
		if f := n.asks[b.Answer.Id]; f != nil && len(b.Answer.Parts) > 0 {
			delete(n.asks, b.Answer.Id)
			f(b.Answer)
		}
	case *mesh.Envelope_Assign:
		k := int(b.Assign.Part)
		if k < 0 || k >= len(n.names) || n.book.Owner(lead.Leader) != e.From || n.hearing.deaf {
			return
		}
		key := lead.PartKey(k)
		if o := n.book.Owner(key); o != n.s.Name {
			n.book.Claim(key, o != "")
		}
	case *mesh.Envelope_Release:
		if n.book.Owner(lead.Leader) == e.From {
			n.release(int(b.Release.Part))
		}
	case *mesh.Envelope_Lend:
		if n.book.Owner(lead.Leader) == e.From {
			n.lendOut(b.Lend)
		}
	case *mesh.Envelope_LendOut:
		if n.book.Owner(lead.Leader) == e.From {
			n.orderHere(orderOf(b.LendOut))
		}
	case *mesh.Envelope_News:
		n.l.Refresh()
	}
}

// --- workers ---

// WorkerReply answers a worker.
type WorkerReply func(status int, body any)

// Report handles POST /v1/report.
func (n *Node) Report(r *wire.Report, reply WorkerReply) {
	if r.Machine == "" {
		reply(400, &wire.Problem{Error: "no machine"})
		return
	}
	if !n.l.Loaded() {
		reply(503, &wire.Problem{Error: "starting"})
		return
	}
	rec := n.machines[r.Machine]
	n.hearing.heard(r.Machine, rec != nil && n.parts[rec.Part] != nil, n.w.Now())
	if rec == nil {
		n.unlisted(r, reply)
		return
	}
	key := lead.PartKey(rec.Part)
	p := n.owns(rec.Part)
	if p == nil {
		o := n.book.Owner(key)
		if o == "" || o == n.s.Name {
			reply(503, &wire.Problem{Error: "the part has no owner"})
			return
		}
		reply(421, &wire.Problem{Error: "not the owner", Owner: o})
		return
	}
	m := p.Machines[r.Machine]
	if m == nil {
		reply(503, &wire.Problem{Error: "not known yet"})
		return
	}
	if r.Token > m.Token {
		// It has seen a newer owner, or comes from another part: an answer
		// with a lower token would hold it here while its lease runs out.
		n.book.Claim(key, false)
		reply(503, &wire.Problem{Error: "a higher token is needed"})
		return
	}
	if !p.Report(m, r, true) {
		reply(503, &wire.Problem{Error: "outdated report"})
		return
	}
	if p.Unanswered(m, n.w.Now()) {
		reply(503, &wire.Problem{Error: "waits for a partner's word"})
		return
	}
	p.Settle(m)
	m.Answered(n.w.Now())
	reply(200, &wire.Commands{Token: m.Token, Orders: notNil(m.Orders(false, n.w.Now()))})
}

func notNil(c []wire.Command) []wire.Command {
	if c == nil {
		return []wire.Command{}
	}
	return c
}

// Order sends a machine its orders directly. With nothing to order it still
// brings the part's token, and the answer is a report.
func (n *Node) Order(p *part.Part, m *part.Machine) {
	if n.owns(p.K) != p || m.Ordered() || m.Address == "" || !n.MayLaunch() || n.pushing >= n.s.Deployment.Limits.Sockets/8 {
		return // the next tick presses again
	}
	n.pushing++
	m.OrdersSent()
	body := &wire.Commands{Token: m.Token, Session: max(m.Session, 1), Orders: notNil(m.Orders(true, n.w.Now()))}
	out := &wire.Report{}
	limit := min(2*time.Second, world.Seconds(n.s.Deployment.Workers.Report))
	n.w.Call(m.Address, "POST", "/orders", body, out, limit, func(status int) {
		n.pushing--
		if status != 200 && status != 409 {
			m.OrdersLost(body.Token)
			m.Pause(n.w.Now() + limit)
			return
		}
		m.OrdersAnswered()
		if n.owns(p.K) != p || p.Machines[m.ID] != m || out.Machine != m.ID {
			return
		}
		if out.Token > m.Token {
			n.book.Claim(lead.PartKey(p.K), false)
			m.Pause(n.w.Now() + limit)
			return
		}
		p.Report(m, out, false)
		if status == 409 {
			m.Pause(n.w.Now() + limit/8)
		}
	})
}

// --- users ---

// Submit takes a submission that waited so long for the loop.
func (n *Node) Submit(body []byte, queued time.Duration, reply intake.Reply) {
	n.intake.Submit(body, queued, reply)
}
func (n *Node) Poll(id string, reply intake.Reply)  { n.intake.Poll(id, reply) }
func (n *Node) Abort(id string, reply intake.Reply) { n.intake.Abort(id, reply) }

// Reserved: with partners, some ids belong to what is borrowed from them.
func (n *Node) Reserved(id string) bool { return n.desk != nil && federation.Reserved(id) }

// Up tells the load balancer whether to send users here. A node that the
// state service alone refuses sends them elsewhere. In an outage for all it must
// not: the balancer would take every controller out, for longer each time, and
// users would find none when the service is back. (Seen on days of the fleet's
// size: 430 requests found no healthy controller, most of them after an outage.)
// So it takes a peer that was answered after this one was refused.
//
// One that has just started and cannot act yet is up only while it knows of no
// peer that can: when all start at once, the balancer then has them back when
// the first can act, not two probes later.
func (n *Node) Up() bool {
	since := time.Duration(0) // a peer that was answered later than that can serve instead
	if n.l.Loaded() && len(n.types) > 0 {
		if !n.l.Down() {
			return true
		}
		_, bad := n.l.Good()
		since = bad + n.heartbeat()/4 // more than clocks and messages are off
	}
	for _, p := range n.peers {
		if p.good > since {
			return false
		}
	}
	return true
}

// State is what an operator is told of a controller.
type State struct {
	Host     string            `cbor:"host" json:"host"`
	Leader   string            `cbor:"leader" json:"leader"`
	Ready    bool              `cbor:"ready" json:"ready"`
	Parts    []PartState       `cbor:"parts" json:"parts"`
	Waiting  map[string]string `cbor:"waiting" json:"waiting"` // queued jobs of its parts, and why they wait
	Jobs     int               `cbor:"jobs" json:"live_jobs"`
	Machines int               `cbor:"machines" json:"machines"`
	Intake   string            `cbor:"intake" json:"intake"`
	Submits  intake.Times      `cbor:"submits" json:"submits"`
	Busiest  Load              `cbor:"busiest" json:"busiest_10_s"`
	// Federation is nil without partners.
	Federation *federation.View `cbor:"federation,omitempty" json:"federation,omitempty"`
}

// PartState is one part that the controller owns.
type PartState struct {
	Part     int    `cbor:"part" json:"part"`
	Token    uint64 `cbor:"token" json:"token"`
	Machines int    `cbor:"machines" json:"machines"`
	Jobs     int    `cbor:"jobs" json:"jobs"`
}

// Describe tells an operator what this controller owns and why jobs wait.
func (n *Node) Describe() *State {
	s := &State{Host: n.s.Name, Leader: n.book.Owner(lead.Leader), Ready: n.ready(), Parts: []PartState{}, Waiting: map[string]string{},
		Jobs: len(n.jobs), Machines: len(n.machines), Intake: n.intake.String(), Submits: *n.intake.Times(), Busiest: n.load.load()}
	n.eachPart(func(p *part.Part) {
		s.Parts = append(s.Parts, PartState{p.K, p.Token, len(p.Machines), len(p.Works)})
		for id, why := range p.Waiting() {
			s.Waiting[id] = why
		}
	})
	if n.desk != nil {
		s.Federation = n.desk.Describe()
	}
	return s
}
