// Package settings reads the platform's file (TOML) and the operators' own
// settings (INI).
package settings

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"gopkg.in/ini.v1"
)

// Member is another controller.
type Member struct {
	Name    string `toml:"host_name"`
	Zone    string `toml:"area"`
	Address string `toml:"address"`
}

// Team has a guarantee and a limit; 0 means none.
type Team struct {
	Name     string  `toml:"name"`
	Cores    float64 `toml:"cpus"`
	CoresMax float64 `toml:"cpus_max"`
	GPUs     float64 `toml:"gpus"`
	GPUsMax  float64 `toml:"gpus_max"`
}

// Limited tells whether the team has a limit.
func (t *Team) Limited() bool { return t.CoresMax > 0 || t.GPUsMax > 0 }

// ObjectiveKind is what a service-level objective is on.
type ObjectiveKind string

// Kinds of service-level objectives.
const (
	ObjectiveWait     ObjectiveKind = "wait"     // the time until a job starts
	ObjectiveFinished ObjectiveKind = "finished" // the time until a job is done
)

// Objective is a service-level objective of a job class.
type Objective struct {
	Kind   ObjectiveKind `toml:"kind"`
	Class  string        `toml:"class"`
	Within float64       `toml:"within_s"`
	Share  float64       `toml:"share"`
	Times  float64       `toml:"times"`
}

// Platform is the file the platform hands over. Unknown fields are ignored.
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
			// Next are limits that the state service will have from some moment on.
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

// Operators holds the operators' own settings with their defaults; the INI
// section and key stand in the tag.
type Operators struct {
	Rank     RankSettings     `ini:"rank"`
	Score    ScoreSettings    `ini:"score"`
	Dispatch DispatchSettings `ini:"dispatch"`
	Rent     RentSettings     `ini:"rent"`
	Grants   GrantSettings    `ini:"grants"`
	Blame    BlameSettings    `ini:"blame"`
}

// RankSettings are the leader's (DESIGN: max and N).
type RankSettings struct {
	Max    int `ini:"max"`
	Window int `ini:"window"`
}

// ScoreSettings weigh a part's queue (DESIGN: WA, WWM, min, max, k).
type ScoreSettings struct {
	Aging       float64 `ini:"aging"`
	Short       float64 `ini:"short"`
	DeadlineMin float64 `ini:"deadline_min"`
	DeadlineMax float64 `ini:"deadline_max"`
	K           float64 `ini:"k"`
	Priority    float64 `ini:"priority"`
	Begin       float64 `ini:"begin"`        // seconds within which jobs are to begin
	BeginWeight float64 `ini:"begin_weight"` // of one that has not
}

// DispatchSettings cut arrays into chunks.
type DispatchSettings struct {
	ChunksPerPart float64 `ini:"chunks_per_part"`
	ChunkMin      int     `ini:"chunk_min"`
	Anywhere      float64 `ini:"anywhere"`
}

// RentSettings are the purse's.
type RentSettings struct {
	IdleBoots    float64 `ini:"idle_boots"`     // idle time kept, in boot times
	OwnIdleBoots float64 `ini:"own_idle_boots"` // the same for machines there at the start
	LateBoots    float64 `ini:"late_boots"`     // boot times until one is given up
}

// BlameSettings say what failures are put down to.
type BlameSettings struct {
	Mistaken float64 `ini:"mistaken"`
	Sick     float64 `ini:"sick"`
	Accident float64 `ini:"accident"`
	Hold     float64 `ini:"hold"`
	Return   float64 `ini:"return"`
}

// GrantSettings set how long ownership lasts, as shares of lease_s.
type GrantSettings struct {
	Life   float64 `ini:"life"`
	Renew  float64 `ini:"renew"`
	Absent float64 `ini:"absent"`
	// Vouch lets owners go on answering workers through an outage of the state
	// service while every member vouches for what has been cancelled.
	Vouch bool `ini:"vouch"`
}

// Defaults are the starting values.
func Defaults() Operators {
	return Operators{
		Rank:     RankSettings{Max: 8, Window: 100},
		Score:    ScoreSettings{Aging: 0.5, Short: 1000, DeadlineMin: 0, DeadlineMax: 500, K: 5, Priority: 3000, Begin: 240, BeginWeight: 12000},
		Dispatch: DispatchSettings{ChunksPerPart: 1, ChunkMin: 4, Anywhere: 0.5},
		Rent:     RentSettings{IdleBoots: 1.5, OwnIdleBoots: 10, LateBoots: 5},
		Grants:   GrantSettings{Life: 1, Renew: 0.08, Absent: 0.5},
		Blame:    BlameSettings{Mistaken: 0.02, Sick: 0.005, Accident: 0.001, Hold: 0.9, Return: 0.99},
	}
}

// Settings is everything a controller is told at its start.
type Settings struct {
	Platform
	Operators
	Federation *Federation // nil: off
}

// Drift bounds how far two steady clocks run apart.
const Drift = 0.0005

// Load reads both files. An empty iniPath means curlewspool.ini beside the
// platform's file, if it is there.
func Load(path, iniPath string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &Settings{Operators: Defaults()}
	if err := toml.Unmarshal(b, &s.Platform); err != nil {
		var wrong *toml.DecodeError
		if errors.As(err, &wrong) && len(wrong.Key()) > 0 {
			return nil, fmt.Errorf("%s: %s: %w", path, strings.Join(wrong.Key(), "."), err)
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := s.Platform.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := s.LimitByNext(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	optional := iniPath == ""
	if err := s.cancelBound(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if optional {
		iniPath = filepath.Join(filepath.Dir(path), "curlewspool.ini")
	}
	text, err := os.ReadFile(iniPath)
	if optional && errors.Is(err, fs.ErrNotExist) {
		return s, nil
	}
	if err != nil {
		return nil, err
	}
	file, err := ini.Load(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", iniPath, err)
	}
	if err := s.read(file); err != nil {
		return nil, fmt.Errorf("%s: %w", iniPath, err)
	}
	if err := s.federation(file, filepath.Dir(iniPath)); err != nil {
		return nil, fmt.Errorf("%s: %w", iniPath, err)
	}
	return s, nil
}

func (o *Operators) read(file *ini.File) error {
	// The defaults, written out, are the list of what may be set.
	known := ini.Empty()
	def := Defaults()
	if err := known.ReflectFrom(&def); err != nil {
		return err
	}
	for _, sec := range file.Sections() {
		if sec.Name() == ini.DefaultSection && len(sec.Keys()) == 0 {
			continue
		}
		if federated(sec.Name()) {
			continue
		}
		if !known.HasSection(sec.Name()) {
			return fmt.Errorf("unknown section [%s]", sec.Name())
		}
		for _, k := range sec.Keys() {
			if !known.Section(sec.Name()).HasKey(k.Name()) {
				return fmt.Errorf("unknown setting %s in [%s]", k.Name(), sec.Name())
			}
			if def := known.Section(sec.Name()).Key(k.Name()).String(); def == "true" || def == "false" {
				if _, err := k.Bool(); err != nil {
					return fmt.Errorf("[%s] %s: %q must be yes or no", sec.Name(), k.Name(), k.String())
				}
			} else if _, err := k.Float64(); err != nil {
				return fmt.Errorf("[%s] %s: %q is not a number", sec.Name(), k.Name(), k.String())
			}
		}
	}
	if err := file.StrictMapTo(o); err != nil {
		return err
	}
	return o.check()
}

type bound struct {
	name      string
	v, lo, hi float64
}

func (o *Operators) check() error {
	for _, b := range []bound{
		{"[rank] max", float64(o.Rank.Max), 1, 30},
		{"[rank] window", float64(o.Rank.Window), 1, 100000},
		{"[score] aging", o.Score.Aging, 0, 1e6},
		{"[score] short", o.Score.Short, 0, 1e6},
		{"[score] deadline_min", o.Score.DeadlineMin, 0, 1e6},
		{"[score] deadline_max", o.Score.DeadlineMax, o.Score.DeadlineMin, 1e6},
		{"[score] k", o.Score.K, 0, 100},
		{"[score] priority", o.Score.Priority, 0, 1e9},
		{"[score] begin", o.Score.Begin, 1, 1e6},
		{"[score] begin_weight", o.Score.BeginWeight, 0, 1e9},
		{"[dispatch] chunks_per_part", o.Dispatch.ChunksPerPart, 0.1, 8},
		{"[dispatch] anywhere", o.Dispatch.Anywhere, 0, 1e6},
		{"[dispatch] chunk_min", float64(o.Dispatch.ChunkMin), 1, 100000},
		{"[rent] idle_boots", o.Rent.IdleBoots, 0, 1000},
		{"[rent] late_boots", o.Rent.LateBoots, 1.5, 1000},
		{"[rent] own_idle_boots", o.Rent.OwnIdleBoots, 0, 10000},
		{"[grants] life", o.Grants.Life, 0.2, 1},
		{"[grants] renew", o.Grants.Renew, 0.01, 0.3},
		{"[grants] absent", o.Grants.Absent, 0.05, 1},
		{"[blame] mistaken", o.Blame.Mistaken, 1e-6, 0.5},
		{"[blame] sick", o.Blame.Sick, 1e-6, 0.5},
		{"[blame] accident", o.Blame.Accident, 1e-6, 0.5},
		{"[blame] hold", o.Blame.Hold, 0.5, 0.999999},
		{"[blame] return", o.Blame.Return, 0.5, 0.999999},
	} {
		if !(b.v >= b.lo && b.v <= b.hi) {
			return fmt.Errorf("%s is %v, must be from %v to %v", b.name, b.v, b.lo, b.hi)
		}
	}
	return nil
}

func (p *Platform) check() error {
	d := &p.Deployment
	var missing []string
	need := func(ok bool, name string) {
		if !ok {
			missing = append(missing, name)
		}
	}
	addr := address
	need(p.Name != "", "host_name")
	need(p.Zone != "", "area")
	need(addr(p.API), "api_addr")
	need(addr(p.Mesh), "mesh_addr")
	need(addr(p.Services.Cloud), "endpoints.cloud")
	need(addr(p.Services.State), "endpoints.state")
	seen := map[string]bool{p.Name: true}
	for i, m := range p.Members {
		need(m.Name != "" && addr(m.Address) && !seen[m.Name], fmt.Sprintf("members[%d]", i))
		seen[m.Name] = true
	}
	need(len(d.Zones) > 0, "deployment.zones")
	for i, t := range d.Teams {
		need(t.Name != "" && t.Cores >= 0 && t.CoresMax >= 0 && t.GPUs >= 0 && t.GPUsMax >= 0,
			fmt.Sprintf("deployment.teams[%d]", i))
	}
	w := &d.Workers
	need(w.Report > 0, "deployment.workers.report_s")
	need(w.Lease > w.Report, "deployment.workers.lease_s")
	need(w.GangWait > 0, "deployment.workers.gang_wait_s")
	need(w.GangPeer > 0, "deployment.workers.gang_peer_s")
	need(w.Cancel > w.Lease, "deployment.workers.cancel_s")
	need(d.State.RPS > 0, "deployment.state.rps")
	need(d.State.WriteRPS > 0, "deployment.state.write_rps")
	need(d.State.ValueKB > 0, "deployment.state.value_kb")
	need(d.State.TxnOps >= leastTxnOps, "deployment.state.txn_ops")
	need(d.Cloud.RPS > 0, "deployment.cloud.rps")
	need(d.Cloud.ListLag >= 0, "deployment.cloud.list_lag_s")
	need(d.Limits.RAM > 0, "deployment.machine_limits.ram_mb")
	need(d.Limits.CoreShare > 0, "deployment.machine_limits.core_share")
	need(d.Limits.Sockets > 0, "deployment.machine_limits.sockets")
	if len(missing) > 0 {
		return errors.New("missing or invalid: " + strings.Join(missing, ", "))
	}
	return nil
}

// MostRecord is the largest job's record that is stored, in bytes: the rest of a
// value is for what comes to it later.
func (p *Platform) MostRecord() int { return int(p.Deployment.State.ValueKB*1024) * 3 / 4 }

// Names lists all controllers in order of name; its length is the number of
// parts.
func (p *Platform) Names() []string {
	n := []string{p.Name}
	for _, m := range p.Members {
		n = append(n, m.Name)
	}
	sort.Strings(n)
	return n
}

// Deadlines lists by when jobs of a class are expected to be complete, in
// seconds after submission, in rising order.
func (p *Platform) Deadlines(class string) []float64 {
	var out []float64
	for _, o := range p.Deployment.Objectives {
		if o.Class == class && o.Kind == ObjectiveFinished && o.Within > 0 {
			out = append(out, o.Within)
		}
	}
	sort.Float64s(out)
	return out
}

// Team finds a team.
func (p *Platform) Team(name string) *Team {
	for i := range p.Deployment.Teams {
		if p.Deployment.Teams[i].Name == name {
			return &p.Deployment.Teams[i]
		}
	}
	return nil
}
