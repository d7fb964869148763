package settings

import (
	"errors"
	"fmt"
	"sort"
	"strings"
)

// Member is another controller of the cluster.
type Member struct {
	Name    string `toml:"host_name"`
	Zone    string `toml:"area"`
	Address string `toml:"address"`
}

// Team holds the quota of a team: the resources that it is guaranteed, and its limits. A value of 0
// means that there is no such guarantee or limit.
type Team struct {
	Name     string  `toml:"name"`
	Cores    float64 `toml:"cpus"`
	CoresMax float64 `toml:"cpus_max"`
	GPUs     float64 `toml:"gpus"`
	GPUsMax  float64 `toml:"gpus_max"`
}

// Limited reports whether the team has a limit.
func (t *Team) Limited() bool { return t.CoresMax > 0 || t.GPUsMax > 0 }

// ObjectiveKind is the quantity that a service-level objective limits.
type ObjectiveKind string

// Kinds of service-level objectives.
const (
	ObjectiveWait     ObjectiveKind = "wait"     // the time until a job starts
	ObjectiveFinished ObjectiveKind = "finished" // the time until a job has finished
)

// Objective is a service-level objective of a job class.
type Objective struct {
	Kind   ObjectiveKind `toml:"kind"`
	Class  string        `toml:"class"`
	Within float64       `toml:"within_s"`
	Share  float64       `toml:"share"`
	Times  float64       `toml:"times"`
}

// Platform is the content of the file that the platform provides to a controller. Unknown fields
// are ignored. Times are in seconds unless a name says otherwise.
type Platform struct {
	Name     string   `toml:"host_name"`
	Zone     string   `toml:"area"`
	API      string   `toml:"api_addr"`
	Mesh     string   `toml:"mesh_addr"`
	Members  []Member `toml:"members"`
	Services struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"endpoints"`
	Deployment struct {
		Nodes      int         `toml:"nodes"`
		Zones      []string    `toml:"zones"`
		SkewMs     float64     `toml:"skew_ms"`
		Teams      []Team      `toml:"teams"`
		Objectives []Objective `toml:"objectives"`
		Workers    struct {
			Report   float64 `toml:"report_s"`
			Lease    float64 `toml:"lease_s"`
			GangWait float64 `toml:"gang_wait_s"`
			GangPeer float64 `toml:"gang_peer_s"`
			Cancel   float64 `toml:"cancel_s"`
		} `toml:"workers"`
		State struct {
			RPS      float64 `toml:"rps"`
			WriteRPS float64 `toml:"write_rps"`
			ValueKB  float64 `toml:"value_kb"`
			TxnOps   int     `toml:"txn_ops"`
			// Next holds limits that will replace those above; nil: no limit will change.
			Next *NextLimits `toml:"next"`
		} `toml:"state"`
		Cloud struct {
			RPS     float64 `toml:"rps"`
			ListLag float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Limits struct {
			CoreShare float64 `toml:"core_share"`
			RAM       float64 `toml:"ram_mb"`
			Sockets   int     `toml:"sockets"`
		} `toml:"machine_limits"`
	} `toml:"deployment"`
}

// requirements collects the names of the settings that are missing or invalid.
type requirements struct{ unmet []string }

// require records a setting's name unless the setting is valid.
func (r *requirements) require(isValid bool, name string) {
	if !isValid {
		r.unmet = append(r.unmet, name)
	}
}

// check returns one error that names all missing or invalid settings.
func (p *Platform) check() error {
	r := &requirements{}
	p.checkAddresses(r)
	p.checkDeployment(r)
	if len(r.unmet) > 0 {
		return errors.New("missing or invalid: " + strings.Join(r.unmet, ", "))
	}
	return nil
}

// checkAddresses checks the names and addresses of this controller, of the other members and of
// the services.
func (p *Platform) checkAddresses(r *requirements) {
	r.require(p.Name != "", "host_name")
	r.require(p.Zone != "", "area")
	r.require(isAddress(p.API), "api_addr")
	r.require(isAddress(p.Mesh), "mesh_addr")
	r.require(isAddress(p.Services.Cloud), "endpoints.cloud")
	r.require(isAddress(p.Services.State), "endpoints.state")
	seen := map[string]bool{p.Name: true}
	for i, member := range p.Members {
		isValid := member.Name != "" && isAddress(member.Address) && !seen[member.Name]
		r.require(isValid, fmt.Sprintf("members[%d]", i))
		seen[member.Name] = true
	}
}

// checkDeployment checks the limits and durations of the deployment.
func (p *Platform) checkDeployment(r *requirements) {
	d := &p.Deployment
	r.require(len(d.Zones) > 0, "deployment.zones")
	for i, team := range d.Teams {
		isValid := team.Name != "" && team.Cores >= 0 && team.CoresMax >= 0 && team.GPUs >= 0 && team.GPUsMax >= 0
		r.require(isValid, fmt.Sprintf("deployment.teams[%d]", i))
	}
	r.require(d.Workers.Report > 0, "deployment.workers.report_s")
	r.require(d.Workers.Lease > d.Workers.Report, "deployment.workers.lease_s")
	r.require(d.Workers.GangWait > 0, "deployment.workers.gang_wait_s")
	r.require(d.Workers.GangPeer > 0, "deployment.workers.gang_peer_s")
	r.require(d.Workers.Cancel > d.Workers.Lease, "deployment.workers.cancel_s")
	r.require(d.State.RPS > 0, "deployment.state.rps")
	r.require(d.State.WriteRPS > 0, "deployment.state.write_rps")
	r.require(d.State.ValueKB > 0, "deployment.state.value_kb")
	r.require(d.State.TxnOps >= minTransactionOps, "deployment.state.txn_ops")
	r.require(d.Cloud.RPS > 0, "deployment.cloud.rps")
	r.require(d.Cloud.ListLag >= 0, "deployment.cloud.list_lag_s")
	r.require(d.Limits.RAM > 0, "deployment.machine_limits.ram_mb")
	r.require(d.Limits.CoreShare > 0, "deployment.machine_limits.core_share")
	r.require(d.Limits.Sockets > 0, "deployment.machine_limits.sockets")
}

// MaxRecordBytes returns the maximum size, in bytes, of a job's record when the job is accepted. It
// is three quarters of the store's maximum value size, so that there is space for what is added to
// the record later.
func (p *Platform) MaxRecordBytes() int { return int(p.Deployment.State.ValueKB*1024) * 3 / 4 }

// ControllerNames lists all controllers of the cluster, sorted by name. There are as many shards
// as controllers.
func (p *Platform) ControllerNames() []string {
	names := []string{p.Name}
	for _, member := range p.Members {
		names = append(names, member.Name)
	}
	sort.Strings(names)
	return names
}

// Deadlines returns the times within which the objectives expect jobs of a class to finish, in
// seconds after submission, in ascending order.
func (p *Platform) Deadlines(class string) []float64 {
	var deadlines []float64
	for _, objective := range p.Deployment.Objectives {
		if objective.Class == class && objective.Kind == ObjectiveFinished && objective.Within > 0 {
			deadlines = append(deadlines, objective.Within)
		}
	}
	sort.Float64s(deadlines)
	return deadlines
}

// Team returns the team with the given name, or nil.
func (p *Platform) Team(name string) *Team {
	for i := range p.Deployment.Teams {
		if p.Deployment.Teams[i].Name == name {
			return &p.Deployment.Teams[i]
		}
	}
	return nil
}
