package simulator

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

// Names of the hosts other than machines. The host of a controller has the controller's name.
const (
	storeHost = "state"
	cloudHost = "cloud"
	userHost  = "user"
)

// apiHost is the host name at which a controller serves users and machines.
func apiHost(controller string) string { return "api-" + controller }

// federationHost is the host name at which a controller serves partner clusters.
func federationHost(controller string) string { return "fed-" + controller }

// zoneNames are the zones of a simulated cluster. The controllers are distributed over them
// round-robin.
var zoneNames = []string{"a", "b"}

// Cluster is one simulated cluster: its controllers, key-value store, cloud provider,
// machines and users.
type Cluster struct {
	*Network
	Name     string             // "" if it is the network's only cluster
	Settings *settings.Settings // settings of the first controller
	State    *Store
	Cloud    *Cloud

	Controllers     map[string]*ControllerProcess // by name
	controllerNames []string
	Machines        map[string]*Machine // by id

	// FailingJobs are the jobs whose tasks fail on every machine.
	FailingJobs map[string]bool
	// FailedStarts lists the tasks that failed, with one element for each failed attempt.
	FailedStarts []agent.TaskID
	// RuntimeSpread makes the later tasks of an array run longer, by class: the runtime of the
	// task with index i is multiplied by 1 + i*RuntimeSpread.
	RuntimeSpread map[string]float64
	// RuntimeFactors are the factors by which the runtimes of tasks are multiplied, by class.
	// 0 means 1.
	RuntimeFactors map[string]float64

	// OnJobCompleted is called when the last task of a job is done.
	OnJobCompleted func(job string)
	// OnStatusReported is called when a user receives a new status of a job. Pending means
	// that the job was accepted.
	OnStatusReported func(job string, status protocol.JobStatus)

	// The users' jobs and requests, and the answers that they received, by job id.
	jobs              map[string]*protocol.Job
	submissions       map[string]*protocol.Submission
	cancellations     map[string]cancellation
	reportedStatus    map[string]protocol.JobStatus
	finishReportedAt  map[string]time.Duration
	failedSubmissions map[string]int        // number of failed attempts to submit the job during an outage of the store
	completedTasks    map[agent.TaskID]bool // completed tasks of this cluster's jobs; a partner cluster may have run them
	histories         *JobHistories
}

// NewCluster returns a cluster with three controllers, n0, n1 and n2, in two zones.
func NewCluster(seed uint64) *Cluster { return NewClusterOf(seed, 3) }

// NewClusterOf returns a cluster with the given number of controllers.
func NewClusterOf(seed uint64, controllers int) *Cluster {
	return newNetwork(seed).addCluster("", controllers)
}

// addEmptyCluster adds a cluster without controllers, store, cloud and machines.
func (n *Network) addEmptyCluster(name string) *Cluster {
	cluster := &Cluster{
		Network:           n,
		Name:              name,
		Controllers:       map[string]*ControllerProcess{},
		Machines:          map[string]*Machine{},
		jobs:              map[string]*protocol.Job{},
		submissions:       map[string]*protocol.Submission{},
		cancellations:     map[string]cancellation{},
		reportedStatus:    map[string]protocol.JobStatus{},
		finishReportedAt:  map[string]time.Duration{},
		failedSubmissions: map[string]int{},
		completedTasks:    map[agent.TaskID]bool{},
		histories:         &JobHistories{},
	}
	n.clusters[name] = cluster
	return cluster
}

// addCluster adds a cluster with a store, a cloud and controllers that are not yet
// started.
func (n *Network) addCluster(name string, controllers int) *Cluster {
	cluster := n.addEmptyCluster(name)
	for i := range controllers {
		cluster.controllerNames = append(cluster.controllerNames, fmt.Sprintf("n%d", i))
	}
	for i := range controllers {
		process := &ControllerProcess{
			cluster:  cluster,
			name:     cluster.controllerNames[i],
			settings: &settings.Settings{Platform: cluster.platformSettings(i), Operators: settings.Defaults()},
		}
		cluster.Controllers[process.name] = process
		n.controllers[process.settings.API] = process
		n.controllers[process.settings.Mesh] = process
	}
	cluster.Settings = cluster.Controllers[cluster.controllerNames[0]].settings
	cluster.State = newStore(cluster)
	cluster.Cloud = newCloud(cluster)
	return cluster
}

// platformSettings returns the platform settings of the controller with the given index.
func (c *Cluster) platformSettings(index int) settings.Platform {
	name := c.controllerNames[index]
	platform := settings.Platform{
		Name: name,
		Zone: zoneOf(index),
		API:  c.address(apiHost(name)),
		Mesh: c.address(name),
	}
	setDefaultDeployment(&platform)
	for i, member := range c.controllerNames {
		if member != name {
			platform.Members = append(platform.Members, settings.Member{Name: member, Zone: zoneOf(i), Address: c.address(member)})
		}
	}
	platform.Services.State = c.address(storeHost)
	platform.Services.Cloud = c.address(cloudHost)
	return platform
}

func zoneOf(index int) string { return zoneNames[index%len(zoneNames)] }

// setDefaultDeployment sets the deployment of a small cluster. Its machine leases last 14 s. Its
// team red has no guarantee or limit, blue has a limit, and green has guarantees and a limit.
func setDefaultDeployment(platform *settings.Platform) {
	deployment := &platform.Deployment
	deployment.Zones = slices.Clone(zoneNames)
	deployment.Teams = []settings.Team{
		{Name: "red"},
		{Name: "blue", CoresMax: 3},
		{Name: "green", Cores: 4, GPUs: 4, GPUsMax: 4},
	}
	deployment.Workers.Report = 2
	deployment.Workers.Lease = 14
	deployment.Workers.GangWait = 40
	deployment.Workers.GangPeer = 6
	deployment.Workers.Cancel = 34
	deployment.State.RPS = 200
	deployment.State.WriteRPS = 80
	deployment.State.ValueKB = 16
	deployment.State.TxnOps = 12
	deployment.Cloud.RPS = 4
	deployment.Cloud.ListLag = 5
	deployment.Limits.CoreShare = 0.2
	deployment.Limits.RAM = 100
	deployment.Limits.Sockets = 500
}

// address returns the address of a host. It contains the cluster's name, if there is one, so
// that addresses in different clusters differ.
func (c *Cluster) address(host string) string {
	if c.Name == "" {
		return host
	}
	return c.Name + "." + host
}

// apiAddress returns the address at which a controller serves users and machines.
func (c *Cluster) apiAddress(name string) string { return c.Controllers[name].settings.API }

// Start starts all controllers.
func (c *Cluster) Start() {
	for _, name := range c.controllerNames {
		c.Controllers[name].Start()
	}
}

// CrashControllers crashes all controllers.
func (c *Cluster) CrashControllers() {
	for _, name := range c.controllerNames {
		c.Controllers[name].Crash()
	}
}

// runningControllers returns the names of the running controllers, in sorted order.
func (c *Cluster) runningControllers() []string {
	var names []string
	for name, process := range c.Controllers {
		if process.running {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
