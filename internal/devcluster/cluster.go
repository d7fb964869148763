package devcluster

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"curlewspool/internal/settings"
	"curlewspool/internal/simulator"
)

// Cluster is a running cluster.
type Cluster struct {
	Name             string
	Balancer         *simulator.LoadBalancer
	Platform         []settings.Platform // the platform's settings of each controller
	PartnerAddresses []string            // address of each controller for partner clusters
	Simulated        *simulator.Cluster
	dir              string
	processes        []*controllerProcess
}

// Address returns the address of the user API, which is the load balancer's.
func (c *Cluster) Address() string { return c.Balancer.Address }

// Positions of the ports of one controller in the list that freePorts returns. The list holds
// portsPerController addresses for each controller in turn.
const (
	userPort = iota
	memberPort
	partnerPort
	portsPerController
)

// freePorts finds free ports at one random loopback address and returns them as HOST:PORT. It avoids
// 127.0.0.1, because that is the source address of other processes' outgoing connections: such a
// connection could take a port there before a controller listens on it. If the machine has no other
// loopback address, the ports are at 127.0.0.1. A controller that then finds its port taken exits, and
// supervise restarts it.
func freePorts(count int) ([]string, error) {
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.N(254), rand.N(256), 1+rand.N(254))
	if probe, err := net.Listen("tcp4", net.JoinHostPort(host, "0")); err != nil {
		host = "127.0.0.1"
	} else {
		_ = probe.Close() // the error is ignored: the listener has accepted no connection
	}
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }() // open until all ports are found, so that they differ
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// prepareCluster makes the settings of a cluster and starts its simulated services and machines. It
// does not start the controllers; startControllers does.
func (e *Environment) prepareCluster(name string) (*Cluster, error) {
	plan := e.plan
	cluster := &Cluster{Name: name, dir: filepath.Join(plan.Dir, name)}
	if err := os.MkdirAll(cluster.dir, 0o755); err != nil {
		return nil, err
	}
	addresses, err := freePorts(portsPerController * plan.Controllers)
	if err != nil {
		return nil, err
	}
	for i := range plan.Controllers {
		cluster.PartnerAddresses = append(cluster.PartnerAddresses, addresses[portsPerController*i+partnerPort])
		cluster.Platform = append(cluster.Platform, plan.platform(i, addresses))
	}
	cluster.Simulated = e.Network.AddCluster(name, cluster.Platform, plan.Machines, plan.Rentable)
	for i := range cluster.Platform {
		cluster.Platform[i].Services.State = cluster.Simulated.State.Address
		cluster.Platform[i].Services.Cloud = cluster.Simulated.Cloud.Address
	}
	cluster.Balancer, err = e.Network.StartLoadBalancer(cluster.Simulated)
	return cluster, err
}

// zones returns the names of the zones: a, b, ...
func (p *Plan) zones() []string {
	var zones []string
	for i := range p.Zones {
		zones = append(zones, string(rune('a'+i)))
	}
	return zones
}

// controllerName returns the name of the controller with this index: n0, n1, ...
func controllerName(index int) string { return fmt.Sprintf("n%d", index) }

// platform returns the platform's settings of one controller, without the addresses of the
// services. addresses lists the addresses of all controllers of the cluster.
func (p *Plan) platform(index int, addresses []string) settings.Platform {
	zones := p.zones()
	zoneOf := func(controller int) string { return zones[controller%len(zones)] }
	platform := settings.Platform{
		Name: controllerName(index),
		Zone: zoneOf(index),
		API:  addresses[portsPerController*index+userPort],
		Mesh: addresses[portsPerController*index+memberPort],
	}
	for other := range p.Controllers {
		if other == index {
			continue
		}
		platform.Members = append(platform.Members, settings.Member{
			Name:    controllerName(other),
			Zone:    zoneOf(other),
			Address: addresses[portsPerController*other+memberPort],
		})
	}
	p.setDeployment(&platform, zones)
	return platform
}

// setDeployment fills platform.Deployment with values for a small deployment. The leases are so short that a
// user can watch a failover.
func (p *Plan) setDeployment(platform *settings.Platform, zones []string) {
	deployment := &platform.Deployment
	deployment.Nodes = p.Controllers
	deployment.Zones = zones
	deployment.SkewMs = 100
	deployment.Teams = []settings.Team{
		{Name: "red"},
		{Name: "blue", CoresMax: 8},
	}
	deployment.Objectives = []settings.Objective{
		{Kind: settings.ObjectiveFinished, Class: "sample", Within: 60, Share: 0.9},
	}
	workers := &deployment.Workers
	workers.Report = 1
	workers.Lease = 10
	workers.GangWait = 20
	workers.GangPeer = 5
	workers.Cancel = 25
	state := &deployment.State
	state.RPS = 200
	state.WriteRPS = 80
	state.ValueKB = 16
	state.TxnOps = 16
	deployment.Cloud.RPS = 8
	deployment.Cloud.ListLag = 1
	limits := &deployment.Limits
	limits.CoreShare = 1
	limits.RAM = 256
	limits.Sockets = 2000
}

// listenPlaceholder is the text that the operators' settings of a cluster contain in place of the
// address at which a controller listens for partner clusters. newProcess replaces it with each
// controller's address.
const listenPlaceholder = "{listen}"

// startControllers writes the settings of a cluster's controllers, and starts and supervises them.
func (e *Environment) startControllers(cluster *Cluster) error {
	operatorText := ""
	if e.plan.OperatorSettings != nil {
		var err error
		if operatorText, err = e.plan.OperatorSettings(cluster, e.Clusters); err != nil {
			return err
		}
	}
	for i := range cluster.Platform {
		process, err := e.newProcess(cluster, i, operatorText)
		if err != nil {
			return err
		}
		cluster.processes = append(cluster.processes, process)
		if err := process.start(); err != nil {
			return err
		}
		e.background.Add(1)
		go e.supervise(process)
	}
	return nil
}

// newProcess writes the settings files of a controller and returns its process without starting it.
func (e *Environment) newProcess(cluster *Cluster, index int, operatorText string) (*controllerProcess, error) {
	platform := &cluster.Platform[index]
	text, err := toml.Marshal(platform)
	if err != nil {
		return nil, err
	}
	platformFile := filepath.Join(cluster.dir, platform.Name+".toml")
	if err := os.WriteFile(platformFile, text, 0o644); err != nil {
		return nil, err
	}
	args := []string{"--config", platformFile}
	if operatorText != "" {
		operatorFile := filepath.Join(cluster.dir, platform.Name+".ini")
		own := strings.ReplaceAll(operatorText, listenPlaceholder, cluster.PartnerAddresses[index])
		if err := os.WriteFile(operatorFile, []byte(own), 0o644); err != nil {
			return nil, err
		}
		args = append(args, "--ini", operatorFile)
	}
	return &controllerProcess{
		name:        strings.TrimPrefix(cluster.Name+"/"+platform.Name, "/"),
		program:     cmp.Or(e.plan.OldProgram, e.plan.Program),
		args:        args,
		logFile:     filepath.Join(cluster.dir, platform.Name+".log"),
		environment: []string{"LOG_LEVEL=" + e.plan.LogLevel},
		shouldRun:   true,
	}, nil
}
