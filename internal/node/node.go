// Package node is the one owner of all state in a controller. It takes
// commands from a queue in batches (see loop.go) and passes them to the
// slices, which never call each other behind its back.
package node

import (
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
	over     map[string]bool     // jobs that another controller says are cancelled, which the cache still has
	rosters  map[string][]string // machines under each key
	leftKey  []string            // machines that left a key since the cache passed its last revision
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

	load               *metered
	spent              part.Spent // since this controller began, of what it owned
	spentAt, spentTold time.Duration
	asks               map[uint64]func(*mesh.Answer)
	askID              uint64
	claims             time.Duration

	demand   map[string][2]float64
	demandAt time.Duration

	desk *federation.Desk // nil: no partners

	hearing hearing
	vouch   vouch
	waits   dependencies
}

// New makes a controller; Start sets it going.
func New(w world.World, s *settings.Settings) *Node {
	d := &s.Deployment
	load := meter(w, s)
	w = load
	n := &Node{w: w, s: s, load: load, names: s.Names(), types: map[string]*wire.MachineType{}, jobs: map[string]*part.JobRecord{},
		progress: map[string]map[int]*part.Progress{}, machines: map[string]*part.MachineRecord{}, parts: map[int]*part.Part{},
		spent: part.Spent{}, cleaning: map[string]bool{}, orphans: map[string]bool{}, over: map[string]bool{}, rosters: map[string][]string{}, enlist: newEnlist(), due: map[string][]float64{}, large: map[string]part.Large{}, peers: map[string]*peer{},
		asks: map[uint64]func(*mesh.Answer){}, ranker: &dispatch.Ranker{Max: s.Rank.Max, Window: s.Rank.Window}}
	for _, m := range s.Members {
		n.peers[m.Name] = &peer{heard: -time.Hour, ready: -time.Hour, sign: -time.Hour}
	}
	n.arrivals = fleet.NewArrivals(4 * n.lease())
	n.l = ledger.New(w, s.Services.State, s.Name, ledger.Limits{RPS: d.State.RPS, WriteRPS: d.State.WriteRPS,
		ValueKB: d.State.ValueKB, TxnOps: d.State.TxnOps, Members: len(n.names)}, n.changed)
	load.life = n.l.Life()
	n.askID = load.life // an answer to the process before is none to this one's questions
	n.book = lead.New(s.Name, n.l)
	n.book.Taken, n.book.Lost = n.taken, n.lost
	n.book.Vouched = s.Grants.Vouch
	// Twice, as the key may be taken a while after this is asked.
	n.book.Until = func() float64 { return n.Wall() + 2*n.grantLife().Seconds() }
	n.l.Reset = n.reset
	n.newDependencies()
	n.intake = intake.New(n, w)
	n.resetSlots()
	return n
}

func (n *Node) lease() time.Duration { return world.Seconds(n.s.Deployment.Workers.Lease) }

func (n *Node) grantLife() time.Duration { return world.Seconds(n.s.GrantLife()) }

func (n *Node) renewEvery() time.Duration { return world.Seconds(n.s.RenewEvery()) }

func (n *Node) heartbeat() time.Duration { return max(n.lease()/40, 250*time.Millisecond) }

// Start sets everything going.
func (n *Node) Start() {
	n.l.Start()
	g := &n.l.Grant
	g.Gained = n.claimOwn
	g.Lost = n.book.DropAll
	g.Keep(n.grantLife(), n.renewEvery(), settings.Drift)
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

func (n *Node) changed(key string, value []byte) {
	switch {
	case key == "":
		n.rostersRead()
		n.eachPart(func(p *part.Part) { p.CaughtUp() })
		n.mindDependencies()
	case strings.HasPrefix(key, "a/o/"):
		n.book.Change(key, value)
	case strings.HasPrefix(key, "a/h/"):
		if p := n.peers[key[4:]]; p != nil && value != nil && n.l.Loaded() {
			p.sign = n.w.Now()
		}
	case strings.HasPrefix(key, "a/j/"):
		id := key[4:]
		if value == nil {
			if n.waits.graph.Needed(id) && n.ownsSome(id) {
				n.News(id) // others wait for its end
			}
			delete(n.jobs, id)
			delete(n.over, id)
			upstream := n.waits.graph.Upstream(id)
			n.waits.graph.Over(id)
			n.inheritAnew(upstream)
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
		was := n.jobs[id]
		n.jobs[id] = rec
		n.waits.graph.Live(id, rec.Job.Needs, rec.Waits(), terms(rec))
		n.inheritAnew(n.waits.graph.Upstream(id))
		if rec.Waits() {
			return // it is nothing to any part, nor to what is rented or kept, before its release
		}
		if (was == nil || was.Waits()) && rec.Loan == nil {
			n.arrivals.Note(&rec.Job, world.Seconds(rec.At), world.Seconds(n.Wall()))
		}
		n.noteLarge(&rec.Job)
		if n.desk != nil {
			n.desk.Changed(id, rec)
		}
		e, _ := n.l.Get(key)
		if !n.over[id] { // else a late answer to our own write from before its end
			n.eachPart(func(p *part.Part) { p.OnJob(id, rec, e.Stamp); n.feedProgress(p, id) })
		}
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
	n.orphans, n.rosters, n.leftKey = map[string]bool{}, map[string][]string{}, nil
	n.over = map[string]bool{} // what is read from now on is newer than their ends
	n.newDependencies()
	if n.desk != nil {
		n.desk.Reset()
	}
}

// ownsSome tells whether some of a job is in a part that this controller owns.
func (n *Node) ownsSome(id string) (owns bool) {
	n.eachPart(func(p *part.Part) { owns = owns || p.Works[id] != nil })
	return owns
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

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

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
	// News and renewals are of one age, or the older of the two shortens the grant.
	// (A watch that was opened late in an outage waits for a change.)
	if n.l.Loaded() && n.l.Age() > min(n.launchAge()/2, n.renewEvery()) {
		n.l.Refresh()
	}
	n.askVouches()
	n.ownership()
	n.mindDependencies()
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
	st := &mesh.Status{Version: mesh.Version, Ready: n.ready(), Hears: n.hearing.counts(n), Deaf: n.hearing.deaf}
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
	n.spend(now)
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
