package standin

import (
	"fmt"
	"maps"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"curlewspool/internal/wire"

	"github.com/fxamacker/cbor/v2"
)

// State is a stand-in for the state service, written from PROTOCOL.
type State struct {
	s       *Sim
	Addr    string
	Down    bool
	rev     uint64
	data    map[string]wire.Entry
	log     []wire.Change
	dropped uint64 // changes up to this one are not kept any more
	grants  map[uint64]*grant
	next    uint64
	open    []func(final bool) bool
	Writes  int
	Slow    func(path string) time.Duration // how late an answer leaves; nil: at once
	// What of the limits was used.
	requests, changes budget
	valueKB           float64
	txnOps            int
	TooLarge          []string // values and transactions that were refused as such
}

// Lower gives the service lower limits from now on, without notice. What is stored stays.
func (st *State) Lower(valueKB float64, txnOps int, writeRPS float64) {
	st.s.Trace("limits of the state service: values of %v KB, %d changes a transaction, %v a second", valueKB, txnOps, writeRPS)
	st.valueKB, st.txnOps = valueKB, txnOps
	st.changes.rate, st.changes.burst = writeRPS, writeRPS
}

// budget is a limit a second that allows bursts.
type budget struct {
	rate, burst float64
	left        float64
	at          time.Duration
	Used        int
	Refused     int
}

func newBudget(rate, burst float64) budget { return budget{rate: rate, burst: burst, left: burst} }

// take uses n of the budget; false if it has less.
func (b *budget) take(now time.Duration, n int) bool {
	b.left = min(b.burst, b.left+b.rate*(now-b.at).Seconds())
	b.at = now
	if b.left < float64(n) {
		b.Refused++
		return false
	}
	b.left -= float64(n)
	b.Used += n
	return true
}

type grant struct {
	life time.Duration
	n    int
}

func newState(s *Sim) *State {
	d := &s.S.Deployment.State
	st := &State{s: s, data: map[string]wire.Entry{}, grants: map[uint64]*grant{},
		requests: newBudget(d.RPS, d.RPS), changes: newBudget(d.WriteRPS, d.WriteRPS), valueKB: d.ValueKB, txnOps: d.TxnOps}
	st.Addr = s.listen(s.addr("state"), st.serve)
	return st
}

type object map[string]any

func (st *State) serve(method, path string, body []byte, reply func(int, any)) {
	if st.Slow != nil {
		at, soon := st.Slow(path), reply
		reply = func(status int, answer any) { st.s.after(at, func() { soon(status, answer) }) }
	}
	if st.Down {
		reply(503, object{"error": "trouble"})
		return
	}
	if !st.requests.take(st.s.now, 1) {
		reply(429, nil)
		return
	}
	u, err := url.Parse(path)
	if err != nil {
		reply(400, nil)
		return
	}
	q := u.Query()
	switch {
	case method == "POST" && u.Path == "/multi":
		st.multi(body, reply)
	case method == "POST" && u.Path == "/grants":
		var r wire.GrantRequest
		if wire.Decode(body, &r) != nil || r.LifeMs < 100 {
			reply(400, nil)
			return
		}
		st.next++
		st.grants[st.next] = &grant{life: time.Duration(r.LifeMs) * time.Millisecond}
		st.touch(st.next)
		reply(200, object{"permit": st.next})
	case method == "POST" && strings.HasSuffix(u.Path, "/touch"):
		id, _ := strconv.ParseUint(strings.Split(u.Path, "/")[2], 10, 64)
		if st.grants[id] == nil {
			reply(404, nil)
			return
		}
		st.touch(id)
		reply(200, object{})
	case u.Path == "/store":
		list := wire.EntryList{Ledger: st.rev, Entries: []wire.Entry{}}
		limit, _ := strconv.Atoi(q.Get("limit"))
		for _, k := range st.keys(q.Get("under")) {
			if k <= q.Get("since") {
				continue
			}
			if len(list.Entries) >= limit {
				list.More = true
				break
			}
			list.Entries = append(list.Entries, st.data[k])
		}
		reply(200, &list)
	case strings.HasPrefix(u.Path, "/store/"):
		if e, ok := st.data[u.Path[7:]]; ok {
			reply(200, &e)
		} else {
			reply(404, object{"ledger": st.rev})
		}
	case u.Path == "/changes":
		since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
		hold, _ := strconv.Atoi(q.Get("holdMs"))
		st.watch(q.Get("under"), since, time.Duration(hold)*time.Millisecond, reply)
	default:
		reply(400, nil)
	}
}

func (st *State) keys(prefix string) []string {
	var out []string
	for k := range st.data {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

func (st *State) touch(id uint64) {
	g := st.grants[id]
	g.n++
	n := g.n
	st.s.after(g.life, func() { st.expire(id, g, n) })
}

func (st *State) expire(id uint64, g *grant, n int) {
	if g.n != n || st.grants[id] != g {
		return
	}
	if st.Down { // after an outage every grant has its full time again
		st.touch(id)
		return
	}
	delete(st.grants, id)
	st.rev++
	for _, k := range st.keys("") {
		if st.data[k].Lease == id {
			delete(st.data, k)
			st.log = append(st.log, wire.Change{Delete: k, Stamp: st.rev})
		}
	}
	st.wake()
}

func (st *State) multi(body []byte, reply func(int, any)) {
	var t wire.Txn
	if wire.Decode(body, &t) != nil {
		reply(400, object{"error": "malformed"})
		return
	}
	if why := st.tooLarge(&t, len(body)); why != "" {
		st.TooLarge = append(st.TooLarge, why)
		reply(400, object{"error": "too large"})
		return
	}
	if !st.changes.take(st.s.now, len(t.Apply)) {
		reply(429, nil)
		return
	}
	for _, o := range t.Apply {
		if o.Lease != 0 && st.grants[o.Lease] == nil {
			reply(400, object{"error": "no such lease"})
			return
		}
	}
	var failed []string
	for _, c := range t.When {
		if st.data[c.Key].Stamp != c.Stamp {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		reply(409, &wire.TxnResult{Failed: failed, Ledger: st.rev})
		return
	}
	if len(t.Apply) > 0 {
		st.rev++
		st.Writes += len(t.Apply)
	}
	for _, o := range t.Apply {
		if o.Put != "" {
			v := append(cbor.RawMessage(nil), o.Value...)
			st.data[o.Put] = wire.Entry{Key: o.Put, Value: v, Stamp: st.rev, Lease: o.Lease}
			st.log = append(st.log, wire.Change{Put: o.Put, Value: v, Stamp: st.rev})
		} else if _, ok := st.data[o.Delete]; ok {
			delete(st.data, o.Delete)
			st.log = append(st.log, wire.Change{Delete: o.Delete, Stamp: st.rev})
		}
	}
	if n := len(st.log) - kept; n > kept/10 {
		st.dropped = st.log[n-1].Stamp
		st.log = append([]wire.Change(nil), st.log[n:]...)
	}
	reply(200, &wire.TxnResult{Ledger: st.rev})
	if len(t.Apply) > 0 {
		st.wake()
	}
}

// tooLarge says what of a transaction is above the limits; "": nothing.
func (st *State) tooLarge(t *wire.Txn, size int) string {
	if len(t.Apply) > st.txnOps || len(t.When) > 4*st.txnOps || size > 64<<10 {
		return fmt.Sprintf("%d changes, %d conditions, %d bytes", len(t.Apply), len(t.When), size)
	}
	for _, o := range t.Apply {
		var value any
		if o.Put == "" || wire.Decode(o.Value, &value) != nil {
			continue
		}
		if n := jsonSize(value); float64(n) > st.valueKB*1024 {
			return fmt.Sprintf("%s has %d bytes", o.Put, n)
		}
	}
	return ""
}

// jsonSize is about the size of a value in the form that limits are counted in.
func jsonSize(value any) (n int) {
	switch v := value.(type) {
	case map[any]any:
		for k, x := range v {
			n += jsonSize(k) + jsonSize(x) + 2
		}
		return n + 2
	case []any:
		for _, x := range v {
			n += jsonSize(x) + 1
		}
		return n + 2
	case string:
		return len(v) + 2
	default:
		return len(fmt.Sprint(v))
	}
}

// kept is how many changes the service remembers for watches.
const kept = 10000

func (st *State) watch(prefix string, since uint64, hold time.Duration, reply func(int, any)) {
	answered := false
	try := func(final bool) bool {
		if answered || st.Down {
			return answered
		}
		if since < st.dropped {
			answered = true
			reply(410, nil)
			return true
		}
		c := wire.Changes{Ledger: st.rev, Log: []wire.Change{}}
		for _, e := range st.log {
			if e.Stamp > since && strings.HasPrefix(e.Put+e.Delete, prefix) {
				c.Log = append(c.Log, e)
			}
		}
		if len(c.Log) == 0 && !final {
			return false
		}
		answered = true
		reply(200, &c)
		return true
	}
	if try(hold == 0) {
		return
	}
	st.open = append(st.open, try)
	st.s.after(hold, func() { try(true) })
}

func (st *State) wake() {
	open := st.open
	st.open = nil
	for _, f := range open {
		if !f(false) {
			st.open = append(st.open, f)
		}
	}
}

// Outage stops the service for a while.
func (st *State) Outage(d time.Duration) {
	st.s.Trace("state service down")
	st.Down, st.s.down[st.Addr] = true, true
	st.s.after(d, func() {
		st.s.Trace("state service back")
		st.Down, st.s.down[st.Addr] = false, false
		for _, id := range slices.Sorted(maps.Keys(st.grants)) {
			st.touch(id)
		}
		st.wake()
	})
}

// Cloud is a stand-in for the cloud.
type Cloud struct {
	s     *Sim
	Addr  string
	Types []wire.MachineType
	Left  map[string]int // by "type/zone/spot"
	n     int
	hires map[string][]string
	Names []string // requests seen, in order
	Boots float64  // times as long as usual that machines take to boot; 0: as usual
	Fails int      // so many of the next machines never come up
	calls budget
}

func newCloud(s *Sim) *Cloud {
	c := &Cloud{s: s, Left: map[string]int{}, hires: map[string][]string{}, Types: []wire.MachineType{
		{Name: "small", Cores: 4, Memory: 16, CacheGb: 50, Fetch: 1, Price: 0.4, Spot: 0.1, Boot: 10, Zones: []string{"a", "b"}},
		{Name: "big", Cores: 16, GPUs: 4, Memory: 64, CacheGb: 50, Fetch: 1, Price: 2, Spot: 0.6, Boot: 10, Zones: []string{"a", "b"}},
	}}
	c.calls = newBudget(s.S.Deployment.Cloud.RPS, 2*s.S.Deployment.Cloud.RPS)
	c.Addr = s.listen(s.addr("cloud"), c.serve)
	return c
}

func (c *Cloud) serve(method, path string, body []byte, reply func(int, any)) {
	if !c.calls.take(c.s.now, 1) {
		reply(429, nil)
		return
	}
	switch {
	case path == "/catalog":
		reply(200, &wire.Catalog{Types: c.Types})
	case method == "POST" && path == "/rentals":
		var r wire.Rental
		if wire.Decode(body, &r) != nil || r.Count < 1 || r.Count > 50 {
			reply(400, nil)
			return
		}
		c.Names = append(c.Names, r.Request)
		if got, ok := c.hires[r.Request]; ok {
			reply(200, &wire.MachineNames{Machines: got})
			return
		}
		key := fmt.Sprintf("%s/%s/%v", r.Type, r.Zone, r.Spot)
		n := min(r.Count, c.Left[key])
		if n == 0 {
			reply(503, object{"error": "no capacity"})
			return
		}
		c.Left[key] -= n
		var ids []string
		for i := 0; i < n; i++ {
			ids = append(ids, c.boot(r.Type, r.Zone, r.Spot))
		}
		c.hires[r.Request] = ids
		c.s.Trace("rented %s in %s spot=%v: %s", r.Type, r.Zone, r.Spot, strings.Join(ids, " "))
		reply(200, &wire.MachineNames{Machines: ids})
	case path == "/rentals/delete":
		var m wire.MachineNames
		if wire.Decode(body, &m) != nil {
			reply(400, nil)
			return
		}
		for _, id := range m.Machines {
			if w := c.s.Workers[id]; w != nil && !w.gone {
				c.s.Trace("deleted %s", id)
				w.vanish()
				c.Left[fmt.Sprintf("%s/%s/%v", w.typ.Name, w.zone, w.spot)]++
			}
		}
		reply(200, object{})
	case strings.HasPrefix(path, "/rentals?"):
		out := wire.MachineList{Machines: []wire.ListedMachine{}}
		for _, id := range c.s.workerIDs() {
			w := c.s.Workers[id]
			if w.gone {
				continue
			}
			state := wire.MachineUp
			if !w.up {
				state = wire.Starting
			}
			out.Machines = append(out.Machines, wire.ListedMachine{ID: id, Address: w.addr, Type: w.typ.Name, Zone: w.zone,
				Spot: w.spot, State: state, Age: (c.s.now - w.rented).Seconds()})
		}
		reply(200, &out)
	default:
		reply(400, nil)
	}
}

func (c *Cloud) boot(typ, zone string, spot bool) string {
	w := c.s.AddWorker(typ, zone, spot)
	w.up = false
	boot := time.Duration(w.typ.Boot * (0.8 + 0.4*c.s.rnd.Float64()) * rate(c.Boots) * float64(time.Second))
	if c.Fails > 0 {
		c.Fails--
		return w.id
	}
	c.s.after(boot, func() {
		if !w.gone {
			w.up = true
			w.session, w.begun = 1, c.s.now
			w.report()
		}
	})
	return w.id
}
