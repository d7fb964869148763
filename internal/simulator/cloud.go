package simulator

import (
	"fmt"
	"strings"
	"time"

	"curlewspool/internal/protocol"
)

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
