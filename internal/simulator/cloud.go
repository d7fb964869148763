package simulator

import (
	"net/http"
	"strings"
	"time"

	"curlewspool/internal/protocol"
)

// Paths of the cloud's API.
const (
	pathCatalog       = "/catalog"
	pathRentals       = "/rentals"
	pathDeleteRentals = "/rentals/delete"
	pathRentalListing = "/rentals?"
)

// maxMachinesPerRequest is the largest number of machines that one request may ask for.
const maxMachinesPerRequest = 50

// A machine takes 0.8 to 1.2 times the boot time of its type to boot.
const (
	minBootTimeFactor  = 0.8
	bootTimeFactorSpan = 0.4
)

// Offering is one kind of machine that the cloud rents out: a machine type in a zone, either spot
// or on-demand.
type Offering struct {
	Type, Zone string
	Spot       bool
}

// Cloud simulates the cloud provider that rents out machines.
type Cloud struct {
	Address string
	Types   []protocol.MachineType
	// Capacity is the number of machines that can still be rented, by offering.
	Capacity map[Offering]int
	// RequestIDs are the ids of the rental requests, in order of arrival. A repeated id is listed
	// again.
	RequestIDs []string
	// BootTimeFactor is the factor by which boot times are multiplied. 0 means 1.
	BootTimeFactor float64
	// FailingBoots is the number of machines that will never finish booting, beginning with the
	// next one that is rented.
	FailingBoots int

	cluster      *Cluster
	machineCount int
	rentals      map[string][]string // machine ids by request id
	callLimit    rateLimit
}

func newCloud(cluster *Cluster) *Cloud {
	callsPerSecond := cluster.Settings.Deployment.Cloud.RPS
	cloud := &Cloud{
		cluster:   cluster,
		Types:     defaultMachineTypes(),
		Capacity:  map[Offering]int{},
		rentals:   map[string][]string{},
		callLimit: newRateLimit(callsPerSecond, 2*callsPerSecond),
	}
	cloud.Address = cluster.listen(cluster.address(cloudHost), cloud.serve)
	return cloud
}

func defaultMachineTypes() []protocol.MachineType {
	small := protocol.MachineType{
		Name:             "small",
		Cores:            4,
		MemoryGB:         16,
		CacheGB:          50,
		FetchGBPerSecond: 1,
		OnDemandPrice:    0.4,
		SpotPrice:        0.1,
		BootSeconds:      10,
		Zones:            []string{"a", "b"},
	}
	big := small
	big.Name = "big"
	big.Cores = 16
	big.GPUs = 4
	big.MemoryGB = 64
	big.OnDemandPrice = 2
	big.SpotPrice = 0.6
	return []protocol.MachineType{small, big}
}

func (c *Cloud) serve(method, path string, body []byte, reply replyFunc) {
	if !c.callLimit.take(c.cluster.now, 1) {
		reply(http.StatusTooManyRequests, nil)
		return
	}
	switch {
	case path == pathCatalog:
		reply(http.StatusOK, &protocol.Catalog{MachineTypes: c.Types})
	case method == http.MethodPost && path == pathRentals:
		c.rent(body, reply)
	case path == pathDeleteRentals:
		c.deleteMachines(body, reply)
	case strings.HasPrefix(path, pathRentalListing):
		reply(http.StatusOK, c.listMachines())
	default:
		reply(http.StatusBadRequest, nil)
	}
}

// rent boots the requested number of machines, or fewer if the offering's capacity does not
// suffice. A request whose id was granted before gets the same answer again.
func (c *Cloud) rent(body []byte, reply replyFunc) {
	var request protocol.RentalRequest
	if protocol.Decode(body, &request) != nil || request.Count < 1 || request.Count > maxMachinesPerRequest {
		reply(http.StatusBadRequest, nil)
		return
	}
	c.RequestIDs = append(c.RequestIDs, request.RequestID)
	if rented, ok := c.rentals[request.RequestID]; ok {
		reply(http.StatusOK, &protocol.MachineIDList{Machines: rented})
		return
	}
	offering := Offering{Type: request.Type, Zone: request.Zone, Spot: request.Spot}
	count := min(request.Count, c.Capacity[offering])
	if count == 0 {
		reply(http.StatusServiceUnavailable, &protocol.ErrorResponse{Error: "no capacity"})
		return
	}
	c.Capacity[offering] -= count
	var ids []string
	for range count {
		ids = append(ids, c.bootMachine(offering))
	}
	c.rentals[request.RequestID] = ids
	c.cluster.Trace("rented %s in %s spot=%v: %s", offering.Type, offering.Zone, offering.Spot, strings.Join(ids, " "))
	reply(http.StatusOK, &protocol.MachineIDList{Machines: ids})
}

// bootMachine adds a machine that starts to run after its boot time, and returns its id.
func (c *Cloud) bootMachine(offering Offering) string {
	machine := c.cluster.AddMachine(offering.Type, offering.Zone, offering.Spot)
	machine.running = false
	factor := minBootTimeFactor + bootTimeFactorSpan*c.cluster.random.Float64()
	boot := time.Duration(machine.machineType.BootSeconds * factor * factorOrOne(c.BootTimeFactor) * float64(time.Second))
	if c.FailingBoots > 0 {
		c.FailingBoots--
		return machine.id
	}
	c.cluster.after(boot, func() {
		if machine.deleted {
			return
		}
		machine.running = true
		machine.incarnation = 1
		machine.leaseStart = c.cluster.now
		machine.sendReport()
	})
	return machine.id
}

func (c *Cloud) deleteMachines(body []byte, reply replyFunc) {
	var request protocol.MachineIDList
	if protocol.Decode(body, &request) != nil {
		reply(http.StatusBadRequest, nil)
		return
	}
	for _, id := range request.Machines {
		machine := c.cluster.Machines[id]
		if machine == nil || machine.deleted {
			continue
		}
		c.cluster.Trace("deleted %s", id)
		machine.remove()
		c.Capacity[Offering{Type: machine.machineType.Name, Zone: machine.zone, Spot: machine.spot}]++
	}
	reply(http.StatusOK, &emptyResponse{})
}

func (c *Cloud) listMachines() *protocol.MachineList {
	list := &protocol.MachineList{Machines: []protocol.ListedMachine{}}
	for _, id := range c.cluster.machineIDs() {
		machine := c.cluster.Machines[id]
		if machine.deleted {
			continue
		}
		status := protocol.MachineRunning
		if !machine.running {
			status = protocol.MachineStarting
		}
		list.Machines = append(list.Machines, protocol.ListedMachine{
			ID:         id,
			Address:    machine.address,
			Type:       machine.machineType.Name,
			Zone:       machine.zone,
			Spot:       machine.spot,
			Status:     status,
			AgeSeconds: (c.cluster.now - machine.rentedAt).Seconds(),
		})
	}
	return list
}
