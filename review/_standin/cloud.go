package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// offer identifies what can be rented.
type offer struct {
	build, yard string
	loaners     bool
}

// diedStaysListed is how long a machine that died is still listed as running.
const diedStaysListed = 30 * time.Second

// ServeCloud is a stand-in for the cloud (PROTOCOL, "Controller nodes -> cloud").
func (c *Cluster) ServeCloud(w http.ResponseWriter, r *http.Request) {
	time.Sleep(20 * time.Millisecond)
	body, _ := io.ReadAll(r.Body)
	if !c.cloudRequests.take(1) {
		reply(w, 429, map[string]any{"error": "too many requests"})
		return
	}
	switch {
	case r.URL.Path == "/catalog":
		reply(w, 200, map[string]any{"builds": c.catalog()})
	case r.URL.Path == "/rentals" && r.Method == http.MethodGet:
		c.listMachines(w, r)
	case r.URL.Path == "/rentals" && r.Method == http.MethodPost:
		c.rent(w, body)
	case r.URL.Path == "/rentals/delete":
		c.deleteMachines(w, body)
	default:
		reply(w, 400, map[string]any{"error": "no such call"})
	}
}

func (c *Cluster) catalog() []any {
	builds := []any{}
	for _, build := range c.site.Builds {
		builds = append(builds, map[string]any{
			"label": build.Label, "cores": build.Cores, "accelerators": 0.0, "memoryGb": build.MemoryGb,
			"localGb": 50.0, "fetchGbPerS": build.FetchGbPerS, "rate": build.Rate, "spotPrice": build.SpotPrice,
			"bootS": build.BootS, "yards": c.site.Zones,
		})
	}
	return builds
}

func (c *Cluster) listMachines(w http.ResponseWriter, r *http.Request) {
	since := r.URL.Query().Get("since")
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	asOf := time.Now().Add(-c.site.ListLag)
	c.mu.Lock()
	defer c.mu.Unlock()
	kilns, truncated := []any{}, false
	for _, m := range c.machines {
		isGone := !m.goneAt.IsZero() && m.goneAt.Before(asOf)
		if m.id <= since || m.rentedAt.After(asOf) || isGone {
			continue
		}
		if len(kilns) >= limit {
			truncated = true
			break
		}
		status := "running"
		switch {
		case m.upAt.After(asOf):
			status = "starting"
		case !m.diedAt.IsZero() && m.diedAt.Add(diedStaysListed).Before(asOf):
			status = "failed"
		}
		kilns = append(kilns, map[string]any{"id": m.id, "address": m.address, "build": m.build.Label, "yard": m.zone,
			"loaners": m.spot, "status": status, "heldS": asOf.Sub(m.rentedAt).Seconds()})
	}
	reply(w, 200, map[string]any{"kilns": kilns, "truncated": truncated})
}

func (c *Cluster) rent(w http.ResponseWriter, body []byte) {
	var request struct {
		Hire    string `cbor:"hire"`
		Build   string `cbor:"build"`
		Yard    string `cbor:"yard"`
		Loaners bool   `cbor:"loaners"`
		HowMany int    `cbor:"howMany"`
	}
	if cbor.Unmarshal(body, &request) != nil || request.Hire == "" || request.HowMany < 1 || request.HowMany > 50 {
		reply(w, 400, map[string]any{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if ids, ok := c.rentals[request.Hire]; ok {
		reply(w, 200, map[string]any{"kilns": ids})
		return
	}
	wanted := offer{request.Build, request.Yard, request.Loaners}
	ids := []string{}
	for len(ids) < request.HowMany && c.capacity[wanted] > 0 {
		c.capacity[wanted]--
		boot := time.Duration(c.site.build(request.Build).BootS * float64(time.Second))
		ids = append(ids, c.addMachine(request.Build, request.Yard, request.Loaners, time.Now(), boot).id)
	}
	c.record("cloud: rental %s asks for %d %s in %s spot=%v: %v", request.Hire, request.HowMany, request.Build, request.Yard, request.Loaners, ids)
	if len(ids) == 0 {
		reply(w, 503, map[string]any{"error": "no capacity"})
		return
	}
	c.rentals[request.Hire] = ids
	reply(w, 200, map[string]any{"kilns": ids})
}

func (c *Cluster) deleteMachines(w http.ResponseWriter, body []byte) {
	var request struct {
		Kilns []string `cbor:"kilns"`
	}
	if cbor.Unmarshal(body, &request) != nil || len(request.Kilns) > 100 {
		reply(w, 400, map[string]any{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range request.Kilns {
		if m := c.machineByID(id); m != nil && m.goneAt.IsZero() {
			c.record("cloud: %s is deleted", id)
			if m.diedAt.IsZero() {
				c.capacity[offer{m.build.Label, m.zone, m.spot}]++ // of a machine that has died, nothing is left to rent
			}
			m.remove()
		}
	}
	reply(w, 200, map[string]any{})
}

// addMachine adds a machine that comes up after boot. The cluster must be locked.
func (c *Cluster) addMachine(build, zone string, spot bool, rentedAt time.Time, boot time.Duration) *Machine {
	m := newMachine(c, fmt.Sprintf("i-%06d", len(c.machines)+1), c.site.build(build), zone, spot)
	m.rentedAt, m.upAt = rentedAt, rentedAt.Add(boot)
	c.machines = append(c.machines, m)
	go m.run()
	return m
}
