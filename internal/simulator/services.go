package simulator

import (
	"fmt"
	"maps"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"curlewspool/internal/protocol"

	"github.com/fxamacker/cbor/v2"
)

// StateService is a stand-in for the state service, written from PROTOCOL.
type StateService struct {
	cluster           *Cluster
	Address           string
	Unavailable       bool
	revision          uint64
	entries           map[string]protocol.Entry
	changeLog         []protocol.Change
	compactedRevision uint64 // changes up to this one are not kept any more
	leases            map[uint64]*lease
	lastLeaseID       uint64
	pendingWatches    []func(final bool) bool
	Writes            int
	ResponseDelay     func(path string) time.Duration // how late an answer leaves; nil: at once
	// What of the limits was used.
	requestLimit, writeLimit rateLimit
	maxValueKB               float64
	maxTransactionSize       int
	OversizedRequests        []string // values and transactions that were refused as such
}

// LowerLimits gives the service lower limits from now on, without notice. What is stored stays.
func (s *StateService) LowerLimits(valueKB float64, txnOps int, writeRPS float64) {
	s.cluster.Trace("limits of the state service: values of %v KB, %d changes a transaction, %v a second", valueKB, txnOps, writeRPS)
	s.maxValueKB, s.maxTransactionSize = valueKB, txnOps
	s.writeLimit.perSecond, s.writeLimit.burst = writeRPS, writeRPS
}

// rateLimit is a limit a second that allows bursts.
type rateLimit struct {
	perSecond, burst float64
	tokens           float64
	refilledAt       time.Duration
	Used             int
	Refused          int
}

func newRateLimit(rate, burst float64) rateLimit {
	return rateLimit{perSecond: rate, burst: burst, tokens: burst}
}

// take uses n of the budget; false if it has less.
func (b *rateLimit) take(now time.Duration, n int) bool {
	b.tokens = min(b.burst, b.tokens+b.perSecond*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < float64(n) {
		b.Refused++
		return false
	}
	b.tokens -= float64(n)
	b.Used += n
	return true
}

type lease struct {
	duration time.Duration
	renewals int
}

func newStateService(cluster *Cluster) *StateService {
	d := &cluster.Settings.Deployment.State
	state := &StateService{cluster: cluster, entries: map[string]protocol.Entry{}, leases: map[uint64]*lease{},
		requestLimit: newRateLimit(d.RPS, d.RPS), writeLimit: newRateLimit(d.WriteRPS, d.WriteRPS), maxValueKB: d.ValueKB, maxTransactionSize: d.TxnOps}
	state.Address = cluster.listen(cluster.address("state"), state.serve)
	return state
}

type responseFields map[string]any

func (s *StateService) serve(method, path string, body []byte, reply func(int, any)) {
	if s.ResponseDelay != nil {
		at, soon := s.ResponseDelay(path), reply
		reply = func(status int, answer any) { s.cluster.after(at, func() { soon(status, answer) }) }
	}
	if s.Unavailable {
		reply(503, responseFields{"error": "trouble"})
		return
	}
	if !s.requestLimit.take(s.cluster.now, 1) {
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
		s.applyTransaction(body, reply)
	case method == "POST" && u.Path == "/grants":
		var r protocol.LeaseRequest
		if protocol.Decode(body, &r) != nil || r.TTLMillis < 100 {
			reply(400, nil)
			return
		}
		s.lastLeaseID++
		s.leases[s.lastLeaseID] = &lease{duration: time.Duration(r.TTLMillis) * time.Millisecond}
		s.renewLease(s.lastLeaseID)
		reply(200, responseFields{"permit": s.lastLeaseID})
	case method == "POST" && strings.HasSuffix(u.Path, "/touch"):
		id, _ := strconv.ParseUint(strings.Split(u.Path, "/")[2], 10, 64)
		if s.leases[id] == nil {
			reply(404, nil)
			return
		}
		s.renewLease(id)
		reply(200, responseFields{})
	case u.Path == "/store":
		list := protocol.EntryList{StoreRevision: s.revision, Entries: []protocol.Entry{}}
		limit, _ := strconv.Atoi(q.Get("limit"))
		for _, key := range s.keys(q.Get("under")) {
			if key <= q.Get("since") {
				continue
			}
			if len(list.Entries) >= limit {
				list.Truncated = true
				break
			}
			list.Entries = append(list.Entries, s.entries[key])
		}
		reply(200, &list)
	case strings.HasPrefix(u.Path, "/store/"):
		if entry, ok := s.entries[u.Path[7:]]; ok {
			reply(200, &entry)
		} else {
			reply(404, responseFields{"ledger": s.revision})
		}
	case u.Path == "/changes":
		since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
		hold, _ := strconv.Atoi(q.Get("holdMs"))
		s.watchChanges(q.Get("under"), since, time.Duration(hold)*time.Millisecond, reply)
	default:
		reply(400, nil)
	}
}

func (s *StateService) keys(prefix string) []string {
	var out []string
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, key)
		}
	}
	sort.Strings(out)
	return out
}

func (s *StateService) renewLease(id uint64) {
	g := s.leases[id]
	g.renewals++
	n := g.renewals
	s.cluster.after(g.duration, func() { s.expireLease(id, g, n) })
}

func (s *StateService) expireLease(id uint64, g *lease, n int) {
	if g.renewals != n || s.leases[id] != g {
		return
	}
	if s.Unavailable { // after an outage every grant has its full time again
		s.renewLease(id)
		return
	}
	delete(s.leases, id)
	s.revision++
	for _, key := range s.keys("") {
		if s.entries[key].Lease == id {
			delete(s.entries, key)
			s.changeLog = append(s.changeLog, protocol.Change{Delete: key, Revision: s.revision})
		}
	}
	s.notifyWatches()
}

func (s *StateService) applyTransaction(body []byte, reply func(int, any)) {
	var t protocol.Transaction
	if protocol.Decode(body, &t) != nil {
		reply(400, responseFields{"error": "malformed"})
		return
	}
	if why := s.exceededLimit(&t, len(body)); why != "" {
		s.OversizedRequests = append(s.OversizedRequests, why)
		reply(400, responseFields{"error": "too large"})
		return
	}
	if !s.writeLimit.take(s.cluster.now, len(t.Mutations)) {
		reply(429, nil)
		return
	}
	for _, mutation := range t.Mutations {
		if mutation.Lease != 0 && s.leases[mutation.Lease] == nil {
			reply(400, responseFields{"error": "no such lease"})
			return
		}
	}
	var failed []string
	for _, condition := range t.Conditions {
		if s.entries[condition.Key].Revision != condition.Revision {
			failed = append(failed, condition.Key)
		}
	}
	if failed != nil {
		reply(409, &protocol.TransactionResult{FailedKeys: failed, StoreRevision: s.revision})
		return
	}
	if len(t.Mutations) > 0 {
		s.revision++
		s.Writes += len(t.Mutations)
	}
	for _, mutation := range t.Mutations {
		if mutation.Put != "" {
			v := append(cbor.RawMessage(nil), mutation.Value...)
			s.entries[mutation.Put] = protocol.Entry{Key: mutation.Put, Value: v, Revision: s.revision, Lease: mutation.Lease}
			s.changeLog = append(s.changeLog, protocol.Change{Put: mutation.Put, Value: v, Revision: s.revision})
		} else if _, ok := s.entries[mutation.Delete]; ok {
			delete(s.entries, mutation.Delete)
			s.changeLog = append(s.changeLog, protocol.Change{Delete: mutation.Delete, Revision: s.revision})
		}
	}
	if n := len(s.changeLog) - maxChangeLog; n > maxChangeLog/10 {
		s.compactedRevision = s.changeLog[n-1].Revision
		s.changeLog = append([]protocol.Change(nil), s.changeLog[n:]...)
	}
	reply(200, &protocol.TransactionResult{StoreRevision: s.revision})
	if len(t.Mutations) > 0 {
		s.notifyWatches()
	}
}

// exceededLimit says what of a transaction is above the limits; "": nothing.
func (s *StateService) exceededLimit(t *protocol.Transaction, size int) string {
	if len(t.Mutations) > s.maxTransactionSize || len(t.Conditions) > 4*s.maxTransactionSize || size > 64<<10 {
		return fmt.Sprintf("%d changes, %d conditions, %d bytes", len(t.Mutations), len(t.Conditions), size)
	}
	for _, mutation := range t.Mutations {
		var value any
		if mutation.Put == "" || protocol.Decode(mutation.Value, &value) != nil {
			continue
		}
		if n := jsonSize(value); float64(n) > s.maxValueKB*1024 {
			return fmt.Sprintf("%s has %d bytes", mutation.Put, n)
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

// maxChangeLog is how many changes the service remembers for watches.
const maxChangeLog = 10000

func (s *StateService) watchChanges(prefix string, since uint64, hold time.Duration, reply func(int, any)) {
	answered := false
	try := func(final bool) bool {
		if answered || s.Unavailable {
			return answered
		}
		if since < s.compactedRevision {
			answered = true
			reply(410, nil)
			return true
		}
		c := protocol.ChangeLog{StoreRevision: s.revision, Changes: []protocol.Change{}}
		for _, change := range s.changeLog {
			if change.Revision > since && strings.HasPrefix(change.Put+change.Delete, prefix) {
				c.Changes = append(c.Changes, change)
			}
		}
		if len(c.Changes) == 0 && !final {
			return false
		}
		answered = true
		reply(200, &c)
		return true
	}
	if try(hold == 0) {
		return
	}
	s.pendingWatches = append(s.pendingWatches, try)
	s.cluster.after(hold, func() { try(true) })
}

func (s *StateService) notifyWatches() {
	open := s.pendingWatches
	s.pendingWatches = nil
	for _, f := range open {
		if !f(false) {
			s.pendingWatches = append(s.pendingWatches, f)
		}
	}
}

// StartOutage stops the service for a while.
func (s *StateService) StartOutage(duration time.Duration) {
	s.cluster.Trace("state service down")
	s.Unavailable, s.cluster.outages[s.Address] = true, true
	s.cluster.after(duration, func() {
		s.cluster.Trace("state service back")
		s.Unavailable, s.cluster.outages[s.Address] = false, false
		for _, id := range slices.Sorted(maps.Keys(s.leases)) {
			s.renewLease(id)
		}
		s.notifyWatches()
	})
}

// Cloud is a stand-in for the cloud.
type Cloud struct {
	cluster        *Cluster
	Address        string
	Types          []protocol.MachineType
	Capacity       map[string]int // by "type/zone/spot"
	machineCount   int
	rentals        map[string][]string
	RequestIDs     []string // requests seen, in order
	BootTimeFactor float64  // times as long as usual that machines take to boot; 0: as usual
	FailingBoots   int      // so many of the next machines never come up
	callLimit      rateLimit
}

func newCloud(cluster *Cluster) *Cloud {
	c := &Cloud{cluster: cluster, Capacity: map[string]int{}, rentals: map[string][]string{}, Types: []protocol.MachineType{
		{Name: "small", Cores: 4, MemoryGB: 16, CacheGB: 50, FetchGBPerSecond: 1, OnDemandPrice: 0.4, SpotPrice: 0.1, BootSeconds: 10, Zones: []string{"a", "b"}},
		{Name: "big", Cores: 16, GPUs: 4, MemoryGB: 64, CacheGB: 50, FetchGBPerSecond: 1, OnDemandPrice: 2, SpotPrice: 0.6, BootSeconds: 10, Zones: []string{"a", "b"}},
	}}
	c.callLimit = newRateLimit(cluster.Settings.Deployment.Cloud.RPS, 2*cluster.Settings.Deployment.Cloud.RPS)
	c.Address = cluster.listen(cluster.address("cloud"), c.serve)
	return c
}

func (c *Cloud) serve(method, path string, body []byte, reply func(int, any)) {
	if !c.callLimit.take(c.cluster.now, 1) {
		reply(429, nil)
		return
	}
	switch {
	case path == "/catalog":
		reply(200, &protocol.Catalog{MachineTypes: c.Types})
	case method == "POST" && path == "/rentals":
		var r protocol.RentalRequest
		if protocol.Decode(body, &r) != nil || r.Count < 1 || r.Count > 50 {
			reply(400, nil)
			return
		}
		c.RequestIDs = append(c.RequestIDs, r.RequestID)
		if got, ok := c.rentals[r.RequestID]; ok {
			reply(200, &protocol.MachineIDList{Machines: got})
			return
		}
		key := fmt.Sprintf("%s/%s/%v", r.Type, r.Zone, r.Spot)
		n := min(r.Count, c.Capacity[key])
		if n == 0 {
			reply(503, responseFields{"error": "no capacity"})
			return
		}
		c.Capacity[key] -= n
		var ids []string
		for i := 0; i < n; i++ {
			ids = append(ids, c.bootMachine(r.Type, r.Zone, r.Spot))
		}
		c.rentals[r.RequestID] = ids
		c.cluster.Trace("rented %s in %s spot=%v: %s", r.Type, r.Zone, r.Spot, strings.Join(ids, " "))
		reply(200, &protocol.MachineIDList{Machines: ids})
	case path == "/rentals/delete":
		var m protocol.MachineIDList
		if protocol.Decode(body, &m) != nil {
			reply(400, nil)
			return
		}
		for _, id := range m.Machines {
			if machine := c.cluster.Machines[id]; machine != nil && !machine.deleted {
				c.cluster.Trace("deleted %s", id)
				machine.remove()
				c.Capacity[fmt.Sprintf("%s/%s/%v", machine.machineType.Name, machine.zone, machine.spot)]++
			}
		}
		reply(200, responseFields{})
	case strings.HasPrefix(path, "/rentals?"):
		out := protocol.MachineList{Machines: []protocol.ListedMachine{}}
		for _, id := range c.cluster.machineIDs() {
			machine := c.cluster.Machines[id]
			if machine.deleted {
				continue
			}
			state := protocol.MachineRunning
			if !machine.running {
				state = protocol.MachineStarting
			}
			out.Machines = append(out.Machines, protocol.ListedMachine{ID: id, Address: machine.address, Type: machine.machineType.Name, Zone: machine.zone,
				Spot: machine.spot, Status: state, AgeSeconds: (c.cluster.now - machine.rentedAt).Seconds()})
		}
		reply(200, &out)
	default:
		reply(400, nil)
	}
}

func (c *Cloud) bootMachine(typ, zone string, spot bool) string {
	machine := c.cluster.AddMachine(typ, zone, spot)
	machine.running = false
	boot := time.Duration(machine.machineType.BootSeconds * (0.8 + 0.4*c.cluster.random.Float64()) * orOne(c.BootTimeFactor) * float64(time.Second))
	if c.FailingBoots > 0 {
		c.FailingBoots--
		return machine.id
	}
	c.cluster.after(boot, func() {
		if !machine.deleted {
			machine.running = true
			machine.session, machine.leaseStart = 1, c.cluster.now
			machine.sendReport()
		}
	})
	return machine.id
}
