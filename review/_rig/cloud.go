package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

type machineType struct {
	Label       string   `cbor:"label"`
	Cores       float64  `cbor:"cores"`
	Accel       float64  `cbor:"accelerators"`
	MemoryGb    float64  `cbor:"memoryGb"`
	LocalGb     float64  `cbor:"localGb"`
	FetchGbPerS float64  `cbor:"fetchGbPerS"`
	Rate        float64  `cbor:"rate"`
	SpotPrice   float64  `cbor:"spotPrice"`
	BootS       float64  `cbor:"bootS"`
	Yards       []string `cbor:"yards"`
}

// cloud rents machines. capacity limits the machines of a type that may be rented beyond those that
// are up at the start; 0 means that every request is refused with "no capacity".
type cloud struct {
	mu       sync.Mutex
	types    []machineType
	capacity map[string]int
	machines map[string]*worker
	rentedAt map[string]time.Time
	hires    map[string][]string
	next     int
	rps      float64
	requests bucket
	start    func(id string, t machineType, yard string, spot bool) *worker
	rec      *recorder
	diedAt   map[string]time.Time
}

func newCloud(rec *recorder, types []machineType, rps float64) *cloud {
	return &cloud{
		types: types, capacity: map[string]int{}, machines: map[string]*worker{}, rentedAt: map[string]time.Time{},
		hires: map[string][]string{}, diedAt: map[string]time.Time{}, rps: rps, rec: rec,
	}
}

func (c *cloud) addressFor(string) string {
	listener := listen("127.0.0.1")
	serve(listener, http.HandlerFunc(c.handle))
	return listener.Addr().String()
}

func (c *cloud) typeOf(label string) (machineType, bool) {
	for _, t := range c.types {
		if t.Label == label {
			return t, true
		}
	}
	return machineType{}, false
}

// add makes a machine that is up at once.
func (c *cloud) add(label, yard string, spot bool) *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addLocked(label, yard, spot, 0)
}

func (c *cloud) addLocked(label, yard string, spot bool, boot time.Duration) *worker {
	t, _ := c.typeOf(label)
	c.next++
	id := fmt.Sprintf("i-%06d", c.next)
	w := c.start(id, t, yard, spot)
	c.machines[id] = w
	c.rentedAt[id] = time.Now()
	if boot == 0 {
		w.boot()
	} else {
		time.AfterFunc(boot, w.boot)
	}
	return w
}

func (c *cloud) handle(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requests.take(c.rps, 1) {
		answer(w, http.StatusTooManyRequests, object{"error": "too many requests"})
		return
	}
	switch {
	case r.URL.Path == "/catalog":
		answer(w, http.StatusOK, object{"builds": c.types})
	case r.URL.Path == "/rentals" && r.Method == http.MethodGet:
		c.list(w, r)
	case r.URL.Path == "/rentals":
		c.rent(w, r)
	case r.URL.Path == "/rentals/delete":
		c.remove(w, r)
	default:
		answer(w, http.StatusBadRequest, object{"error": "no such path"})
	}
}

func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	since := r.URL.Query().Get("since")
	var ids []string
	for id := range c.machines {
		if id > since {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	list := []object{}
	for _, id := range ids[:min(len(ids), 500)] {
		m := c.machines[id]
		status := "running"
		if !m.isUp() {
			status = "starting"
		}
		if died, ok := c.diedAt[id]; ok && time.Since(died) > 30*time.Second {
			status = "failed"
		}
		list = append(list, object{
			"id": id, "address": m.address, "build": m.kind.Label, "yard": m.yard, "loaners": m.spot,
			"status": status, "heldS": time.Since(c.rentedAt[id]).Seconds(),
		})
	}
	answer(w, http.StatusOK, object{"kilns": list, "truncated": len(ids) > 500})
}

func (c *cloud) rent(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Hire    string `cbor:"hire"`
		Build   string `cbor:"build"`
		Yard    string `cbor:"yard"`
		Loaners bool   `cbor:"loaners"`
		HowMany int    `cbor:"howMany"`
	}
	if err := readBody(r, &request); err != nil || request.HowMany < 1 || request.HowMany > 50 {
		answer(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	if ids, ok := c.hires[request.Hire]; ok {
		answer(w, http.StatusOK, object{"kilns": ids})
		return
	}
	t, ok := c.typeOf(request.Build)
	if !ok {
		answer(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	count := min(request.HowMany, c.capacity[request.Build])
	if count == 0 {
		answer(w, http.StatusServiceUnavailable, object{"error": "no capacity"})
		return
	}
	c.capacity[request.Build] -= count
	ids := []string{}
	for range count {
		m := c.addLocked(request.Build, request.Yard, request.Loaners, time.Duration(t.BootS*float64(time.Second)))
		ids = append(ids, m.id)
	}
	c.hires[request.Hire] = ids
	c.rec.logf("cloud: %s rents %v", request.Hire, ids)
	answer(w, http.StatusOK, object{"kilns": ids})
}

func (c *cloud) remove(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Kilns []string `cbor:"kilns"`
	}
	if err := readBody(r, &request); err != nil || len(request.Kilns) > 100 {
		answer(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	for _, id := range request.Kilns {
		if m := c.machines[id]; m != nil {
			c.rec.logf("cloud: machine %s is deleted", id)
			m.end()
			delete(c.machines, id)
			if _, died := c.diedAt[id]; !died {
				c.capacity[m.kind.Label]++
			}
		}
	}
	answer(w, http.StatusOK, object{})
}

// die stops a machine with all that is on it; the cloud lists it as running for 30 s more, then as
// failed.
func (c *cloud) die(w *worker) {
	c.rec.logf("machine %s dies", w.id)
	w.end()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.diedAt[w.id] = time.Now()
}
