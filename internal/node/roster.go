package node

import (
	"hash/fnv"
	"log/slog"
	"slices"
	"sort"
	"strconv"

	"curlewspool/internal/lead"
	"curlewspool/internal/ledger"
	"curlewspool/internal/mesh"
	"curlewspool/internal/part"
	"curlewspool/internal/wire"
)

// Machines are kept in groups: with a key for each, hundreds that come up
// together would use the state's budget of changes for a minute. A machine's
// group follows from its name, so that two controllers that record it at once
// compare the same keys; a group that is full goes on under a next key.
const (
	rosterRoot = "a/m/"
	groups     = 16
)

func groupOf(id string) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % groups)
}

func rosterKey(group, level int) string {
	return rosterRoot + strconv.Itoa(group) + "/" + strconv.Itoa(level)
}

// most is how many machines may wait to be recorded: what one write of every
// group could about hold.
func (n *Node) most() int { return groups * int(n.s.Deployment.State.ValueKB*1024) / 80 }

// enlist is what is to be added to the rosters and taken out of them.
type enlist struct {
	add     map[string]*part.MachineRecord
	asking  map[string]bool // whether they are there
	remove  map[string]bool
	writing [groups]bool
	soon    bool
}

func newEnlist() enlist {
	return enlist{add: map[string]*part.MachineRecord{}, asking: map[string]bool{}, remove: map[string]bool{}}
}

// rosterChanged compares a roster with what was known of it.
func (n *Node) rosterChanged(key string, value []byte) {
	var r part.Roster
	if value != nil {
		if err := wire.Decode(value, &r); err != nil {
			slog.Error("node: bad roster", "key", key, "err", err)
			return
		}
	}
	here := make(map[string]bool, len(r.Machines))
	ids := make([]string, 0, len(r.Machines))
	for i := range r.Machines {
		rec := &r.Machines[i]
		here[rec.ID] = true
		ids = append(ids, rec.ID)
		delete(n.enlist.add, rec.ID)
		if old := n.machines[rec.ID]; old != nil && *old == *rec {
			continue
		}
		n.machines[rec.ID] = rec
		n.eachPart(func(p *part.Part) { p.OnMachine(rec.ID, rec) })
	}
	for _, id := range n.rosters[key] {
		if !here[id] {
			n.leftKey = append(n.leftKey, id)
		}
	}
	n.rosters[key] = ids
}

// rostersRead is told when the cache has passed a revision: a machine that left a key and
// is under none now has been taken out. (One that has moved to another key of its group
// has not, in whatever order the changes of one transaction are told.)
func (n *Node) rostersRead() {
	gone := n.leftKey
	n.leftKey = nil
	for _, id := range gone {
		if n.rostered(id) {
			continue
		}
		delete(n.machines, id)
		delete(n.enlist.remove, id)
		n.eachPart(func(p *part.Part) { p.OnMachine(id, nil) })
	}
}

// rostered tells whether a machine is under some key of its group.
func (n *Node) rostered(id string) bool {
	for level := 0; ; level++ {
		ids, ok := n.rosters[rosterKey(groupOf(id), level)]
		if !ok {
			return false
		}
		if slices.Contains(ids, id) {
			return true
		}
	}
}

// levels are a group's rosters as the cache has them.
func (n *Node) levels(group int) (keys []string, rosters []part.Roster) {
	for level := 0; ; level++ {
		key := rosterKey(group, level)
		e, ok := n.l.Get(key)
		if !ok {
			return keys, rosters
		}
		var r part.Roster
		if err := wire.Decode(e.Value, &r); err != nil {
			slog.Error("node: bad roster", "key", key, "err", err)
		}
		keys, rosters = append(keys, key), append(rosters, r)
	}
}

// rewrite is a change of a group's machines as conditions and changes of its keys. All
// levels are compared, also the one that does not exist yet: the machine that is added
// is in none of them.
func (n *Node) rewrite(group int, change *rosterChange, nonce string) (conds []wire.Cond, ops []wire.Op) {
	keys, rosters := n.levels(group)
	state := &n.s.Deployment.State
	out, moved := change.spread(rosters, int(state.ValueKB*1024*rosterShare), state.TxnOps, n.noOldOwner())
	for level := range len(keys) + max(1, len(out)) {
		key := rosterKey(group, level)
		conds = append(conds, n.l.Stamp(key))
		if r, ok := out[level]; ok {
			r.W = nonce
			ops = append(ops, wire.Op{Put: key, Value: wire.Encode(&r)})
		}
	}
	for k := range n.names {
		if moved { // no part changes hands meanwhile
			conds = append(conds, n.l.Stamp(lead.PartKey(k)))
		}
	}
	return conds, ops
}

// noOldOwner tells that no part is owned, as far as the cache knows, by a controller that
// may be of a version which takes a machine that leaves a key for one that is gone: it
// would begin elsewhere what still runs there.
func (n *Node) noOldOwner() bool {
	for k := range n.names {
		o := n.book.Owner(lead.PartKey(k))
		if o == "" || o == n.s.Name {
			continue
		}
		if p := n.peers[o]; p == nil || p.status.GetVersion() < mesh.VersionDependencies {
			return false
		}
	}
	return true
}

// rosterShare of a value may be taken by machines; the rest is for what their sizes
// leave out.
const rosterShare = 0.8

// enrol writes what waits, after a moment in which more may come.
func (n *Node) enrol() {
	if n.enlist.soon || len(n.enlist.add)+len(n.enlist.remove) == 0 {
		return
	}
	n.enlist.soon = true
	n.w.After(n.heartbeat()/2, func() {
		n.enlist.soon = false
		var due [groups]bool
		for id := range n.enlist.add {
			due[groupOf(id)] = true
		}
		for id := range n.enlist.remove {
			due[groupOf(id)] = true
		}
		for g, is := range due {
			if is && !n.enlist.writing[g] {
				n.writeGroup(g)
			}
		}
	})
}

// alone: behind a cut nobody reaches the leader, and the controller there
// records machines itself, on condition that they have no record.
func (n *Node) alone() bool {
	return !n.leads() && n.ready() && !n.heard(n.book.Owner(lead.Leader))
}

func (n *Node) writeGroup(g int) {
	n.enlist.writing[g] = true
	n.l.Write(ledger.Soon, &ledger.Write{
		Build: func(nonce string) ([]wire.Cond, []wire.Op) {
			var conds []wire.Cond
			switch {
			case n.leads():
				conds = append(conds, n.book.Guard(lead.Leader))
			case !n.alone():
				return nil, nil
			}
			var add []*part.MachineRecord
			for _, id := range sortedKeys(n.enlist.add) {
				if groupOf(id) == g && n.machines[id] == nil {
					add = append(add, n.enlist.add[id])
				}
			}
			change := rosterChange{add: add, remove: n.enlist.remove}
			levels, ops := n.rewrite(g, &change, nonce)
			return append(conds, levels...), ops
		},
		Done: func(ok bool, _ uint64) {
			n.enlist.writing[g] = false
			if !ok { // workers report again, and the leader removes again
				n.giveUp(g)
				return
			}
			n.News("")
			n.enrol()
		},
	})
}

// giveUp forgets what a group's write was to say: workers report again, and
// the leader asks again for a removal.
func (n *Node) giveUp(g int) {
	for id := range n.enlist.add {
		if groupOf(id) == g {
			delete(n.enlist.add, id)
		}
	}
	for id := range n.enlist.remove {
		if groupOf(id) == g {
			delete(n.enlist.remove, id)
		}
	}
}

// forget deletes the records of machines that the cloud has deleted.
func (n *Node) forget(ids []string) {
	for _, id := range ids {
		if n.machines[id] != nil {
			n.enlist.remove[id] = true
		}
	}
}

// Reassign gives a machine of a part owned here to another part.
func (n *Node) Reassign(id string, to int, guard func() wire.Cond, ok func() bool, done func(bool)) {
	n.l.Write(ledger.Soon, &ledger.Write{
		Build: func(nonce string) ([]wire.Cond, []wire.Op) {
			if !ok() {
				return nil, nil
			}
			rec := n.machines[id]
			if rec == nil {
				return nil, nil
			}
			moved := *rec
			moved.Part = to
			change := rosterChange{replace: map[string]part.MachineRecord{id: moved}}
			conds, ops := n.rewrite(groupOf(id), &change, nonce)
			return append(conds, guard()), ops
		},
		Done: func(applied bool, _ uint64) { done(applied) },
	})
}

// unlisted takes the report of a machine without a record: the leader gives
// it to a part.
func (n *Node) unlisted(r *wire.Report, reply WorkerReply) {
	if !n.leads() && !n.alone() {
		if o := n.book.Owner(lead.Leader); o != "" && o != n.s.Name {
			reply(421, &wire.Problem{Error: "not the leader", Owner: o})
			return
		}
		reply(503, &wire.Problem{Error: "no leader"})
		return
	}
	reply(503, &wire.Problem{Error: "being recorded"})
	n.proveThere(r)
}

// proveThere asks a machine without a record whether it is there before it is given
// one: what came may be a late copy of a report of one that was deleted, and work
// would be placed on a ghost. One that does not answer is none that could be used:
// what the cloud lists of it is given up as what never came up.
func (n *Node) proveThere(r *wire.Report) {
	id := r.Machine
	if n.enlist.asking[id] || len(n.enlist.add)+len(n.enlist.asking) >= n.most() || !n.lacksRecord(id) || n.pushesFull() {
		return
	}
	n.enlist.asking[id] = true
	n.statusOf(id, r.Address, func(out *wire.Report) {
		delete(n.enlist.asking, id)
		if out != nil && out.Check() == "" && n.lacksRecord(id) && (n.leads() || n.alone()) {
			n.record(out)
		}
	})
}

// lacksRecord: the machine has none and is to have one, as far as is known.
func (n *Node) lacksRecord(id string) bool {
	return n.machines[id] == nil && n.enlist.add[id] == nil && !(n.leads() && n.fleet.Gone(id))
}

// record gives a machine that is there to a part.
func (n *Node) record(r *wire.Report) {
	alone := !n.leads()
	rec := &part.MachineRecord{ID: r.Machine, Address: r.Address, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Own: !alone && !n.fleet.Rented(r.Machine)}
	rec.Part = n.partFor(rec, 0)
	n.enlist.add[r.Machine] = rec
	slog.Info("node: machine", "machine", r.Machine, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "part", rec.Part)
	n.enrol()
}

// found takes the machines of the cloud's list when none has a record yet: a
// cluster that starts with hundreds of machines is shared out in one go.
func (n *Node) found(list []wire.ListedMachine) {
	if len(n.machines) > 0 || len(n.types) == 0 {
		return
	}
	var up []wire.ListedMachine
	extra := 0.0
	cores := func(m *wire.ListedMachine) float64 {
		if t := n.types[m.Type]; t != nil {
			return t.Cores
		}
		return 0
	}
	for _, m := range list {
		if m.State == wire.MachineUp && n.enlist.add[m.ID] == nil && len(up) < n.most() {
			up = append(up, m)
			extra += cores(&m)
		}
	}
	if len(up) == 0 {
		return
	}
	// Zone by zone, large ones first, alike ones together; small ones even out.
	sort.SliceStable(up, func(a, b int) bool {
		x, y := &up[a], &up[b]
		if x.Zone != y.Zone {
			return x.Zone < y.Zone
		}
		if c, d := cores(x), cores(y); c != d {
			return c > d
		}
		return x.Type < y.Type
	})
	for i := range up {
		m := &up[i]
		rec := &part.MachineRecord{ID: m.ID, Address: m.Address, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Own: true}
		extra -= cores(m)
		rec.Part = n.partFor(rec, extra)
		n.enlist.add[m.ID] = rec
	}
	slog.Info("node: machines there before any record", "count", len(up))
	n.enrol()
}

// uneven is how much more than an equal share of the cores a part may have so
// that its machines are all of one zone.
const uneven = 1.0 / 8

// partFor chooses a machine's part: that of a gang that lacks machines, else
// the one with most of the machines that are alike (type, kind, zone), then
// with most of its zone, as long as shares of cores are about equal, within a
// gang's worth of such machines. A gang of large tasks in one zone then finds
// its machines in one part, and a cut between zones parts few machines from
// their owner. extra are the cores still to be given out.
func (n *Node) partFor(rec *part.MachineRecord, extra float64) int {
	t := n.types[rec.Type]
	for _, g := range n.short {
		if j := n.jobs[g.Job]; j != nil && part.Allows(&j.Job, t, rec.Zone, rec.Spot) {
			return int(g.Part)
		}
	}
	type share struct {
		same       int
		cores      float64 // of its kind, spot or ordinary: each is shared equally
		zone, both float64 // of either kind
	}
	shares := make([]share, len(n.names))
	own, sum := 1.0, extra
	if t != nil {
		own = t.Cores
	}
	count := func(m *part.MachineRecord) {
		t := n.types[m.Type]
		if m.Part < 0 || m.Part >= len(shares) || t == nil {
			return
		}
		s := &shares[m.Part]
		s.both += t.Cores
		if m.Spot == rec.Spot {
			s.cores += t.Cores
			sum += t.Cores
		}
		if m.Zone == rec.Zone {
			s.zone += t.Cores
			if m.Type == rec.Type && m.Spot == rec.Spot {
				s.same++
			}
		}
	}
	for _, m := range n.machines {
		count(m)
	}
	for _, m := range n.enlist.add {
		count(m)
	}
	slack := 0.0
	for _, l := range n.large {
		if part.Allows(&l.Job, t, rec.Zone, rec.Spot) {
			slack = max(slack, own*float64(t.Machines(&l.Job)))
		}
	}
	equal := (sum + own) / float64(len(shares))
	// rank: alike machines, its zone, a part still empty, the others.
	rank := func(k int) int {
		switch s := shares[k]; {
		case s.cores+own/2 > equal*(1+uneven)+slack:
			return 0
		case s.same > 0 && !rec.Spot:
			return 5
		case s.zone > s.both/2:
			return 4
		case s.both == 0 && n.zoneOf(n.names[k]) == rec.Zone:
			return 3
		case s.both == 0:
			return 2
		default:
			return 1
		}
	}
	best := 0
	for k := range shares {
		a, b := rank(k), rank(best)
		switch {
		case a != b:
			if a > b {
				best = k
			}
		case a == 5 && shares[k].same != shares[best].same:
			if shares[k].same > shares[best].same {
				best = k
			}
		case shares[k].cores < shares[best].cores:
			best = k
		}
	}
	return best
}
