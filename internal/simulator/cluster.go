package simulator

import (
	"fmt"
	"sort"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

// Cluster is one cluster's surroundings: state service, cloud, machines, users.
type Cluster struct {
	*Network
	Name            string             // "" when it is the only one
	Settings        *settings.Settings // as the first controller sees it
	State           *StateService
	Cloud           *Cloud
	Controllers     map[string]*ControllerProcess
	controllerNames []string // names of the controllers

	Machines          map[string]*Machine
	jobs              map[string]*protocol.Job
	cancelledAt       map[string]time.Duration
	reportedStatus    map[string]protocol.JobStatus
	failedSubmissions map[string]int           // tries to submit a job that failed while the state service was down
	endReportedAt     map[string]time.Duration // when a user was told a job's end
	completedTasks    map[agent.TaskID]bool
	histories         *JobHistories
	submissions       map[string]*protocol.Submission
	OnJobCompleted    func(job string)                            // the last task of a job has ended
	OnStatusReported  func(job string, status protocol.JobStatus) // a user was told something new of a job; pending: that it is accepted
	FailingJobs       map[string]bool                             // jobs that fail on every machine
	FailedStarts      []agent.TaskID                              // starts that ended with an error
	RuntimeSpread     map[string]float64                          // by class: how many times the first one's time each further task of an array runs longer
	RuntimeFactors    map[string]float64                          // by class: how many times its estimate an array's task runs; 0: about once
}

// NewCluster makes a deployment of three controllers n0, n1, n2 in two zones.
func NewCluster(seed uint64) *Cluster { return NewClusterOf(seed, 3) }

// NewClusterOf makes one of several controllers.
func NewClusterOf(seed uint64, nodes int) *Cluster { return newNetwork(seed).addCluster("", nodes) }

// newCluster adds a cluster with nothing in it.
func (n *Network) newCluster(name string) *Cluster {
	cluster := &Cluster{Network: n, Name: name, Controllers: map[string]*ControllerProcess{}, Machines: map[string]*Machine{}, jobs: map[string]*protocol.Job{},
		cancelledAt: map[string]time.Duration{}, reportedStatus: map[string]protocol.JobStatus{}, failedSubmissions: map[string]int{}, endReportedAt: map[string]time.Duration{}, submissions: map[string]*protocol.Submission{}, histories: &JobHistories{}}
	n.clusters[name] = cluster
	return cluster
}

// addCluster adds a cluster with its state service and cloud.
func (n *Network) addCluster(name string, nodes int) *Cluster {
	cluster := n.newCluster(name)
	for i := 0; i < nodes; i++ {
		cluster.controllerNames = append(cluster.controllerNames, fmt.Sprintf("n%d", i))
	}
	for i, name := range cluster.controllerNames {
		p := settings.Platform{Name: name, Zone: []string{"a", "b"}[i%2], API: cluster.address("api-" + name), Mesh: cluster.address(name)}
		for k, m := range cluster.controllerNames {
			if m != name {
				p.Members = append(p.Members, settings.Member{Name: m, Zone: []string{"a", "b"}[k%2], Address: cluster.address(m)})
			}
		}
		p.Services.State, p.Services.Cloud = cluster.address("state"), cluster.address("cloud")
		d := &p.Deployment
		d.Zones = []string{"a", "b"}
		d.Teams = []settings.Team{{Name: "red"}, {Name: "blue", CoresMax: 3}, {Name: "green", Cores: 4, GPUs: 4, GPUsMax: 4}}
		d.Workers.Report, d.Workers.Lease, d.Workers.GangWait, d.Workers.GangPeer, d.Workers.Cancel = 2, 14, 40, 6, 34
		d.State.RPS, d.State.WriteRPS, d.State.ValueKB, d.State.TxnOps = 200, 80, 16, 12
		d.Cloud.RPS, d.Cloud.ListLag = 4, 5
		d.Limits.CoreShare, d.Limits.RAM, d.Limits.Sockets = 0.2, 100, 500
		process := &ControllerProcess{cluster: cluster, name: name, settings: &settings.Settings{Platform: p, Operators: settings.Defaults()}}
		cluster.Controllers[name] = process
		cluster.controllers[p.API], cluster.controllers[p.Mesh] = process, process
		if cluster.Settings == nil {
			cluster.Settings = process.settings
		}
	}
	cluster.State = newStateService(cluster)
	cluster.Cloud = newCloud(cluster)
	return cluster
}

// address is a host's address; those of several clusters must not collide.
func (c *Cluster) address(host string) string {
	if c.Name == "" {
		return host
	}
	return c.Name + "." + host
}

// Start starts all controllers.
func (c *Cluster) Start() {
	for _, name := range c.controllerNames {
		c.Controllers[name].Start()
	}
}

// runningControllers lists the nodes that are up.
func (c *Cluster) runningControllers() []string {
	var out []string
	for name, process := range c.Controllers {
		if process.running {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// CrashControllers ends all controllers of a cluster.
func (c *Cluster) CrashControllers() {
	for _, name := range c.controllerNames {
		c.Controllers[name].Crash()
	}
}

// LeaderName is the name of the controller that leads; "" if none knows.
func (c *Cluster) LeaderName() string {
	for _, name := range c.runningControllers() {
		if line := c.Controllers[name].Controller.DebugState().Leader; line != "" {
			return line
		}
	}
	return ""
}
