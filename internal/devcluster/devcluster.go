// Package devcluster runs whole clusters on the loopback: the stand-ins of
// internal/simulator by the real clock, and controllers as real processes. It
// ends every process that it started, by id, and no other.
package devcluster

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"

	"curlewspool/internal/settings"
	"curlewspool/internal/simulator"
)

// Plan says what to run.
type Plan struct {
	Controllers int
	Machines    int // up at the start, in each cluster
	Rentable    int // more, of each type, zone and kind
	Zones       int
	Clusters    int
	Dir         string // settings, logs and what the machines saw
	Program     string // the controller's
	// Old is a program of another version: all controllers begin with it, and those that
	// are killed come back with Program; "": there is none.
	Old      string
	LogLevel string
	Kills    []Kill
	// INI gives a cluster's operators' settings; "" or nil: none.
	INI func(c *Cluster, all []*Cluster) (string, error)
	// Say is told what happens.
	Say func(format string, a ...any)
}

// Kill is a process, or all of a cluster, to die at a time.
type Kill struct {
	Cluster string // "": the only one
	Host    string // "": all of the cluster's controllers
	At      time.Duration
	Back    time.Duration // after the end; 0: it stays away
}

// ParseKill reads [CLUSTER/]HOST@TIME[+TIME], or CLUSTER/@TIME for all of a
// cluster's controllers, such as n1@20s or east/n0@20s+5s or east/@30s.
func ParseKill(s string) (Kill, error) {
	bad := fmt.Errorf("--kill %q: must be [CLUSTER/][HOST]@TIME[+TIME], such as n1@20s or east/@30s+10s", s)
	who, when, ok := strings.Cut(s, "@")
	if !ok || who == "" {
		return Kill{}, bad
	}
	k := Kill{Host: who}
	if c, h, ok := strings.Cut(who, "/"); ok {
		k.Cluster, k.Host = c, h
	}
	at, back, again := strings.Cut(when, "+")
	var err error
	if k.At, err = time.ParseDuration(at); err != nil || k.At < 0 {
		return k, bad
	}
	if again {
		if k.Back, err = time.ParseDuration(back); err != nil || k.Back <= 0 {
			return k, bad
		}
	}
	return k, nil
}

// Cluster is one that runs.
type Cluster struct {
	Name      string
	Front     *simulator.LoadBalancer
	Platform  []settings.Platform // one a controller
	Peers     []string            // an address for other clusters, one a controller
	Simulated *simulator.Cluster
	dir       string
	procs     []*proc
}

// Address is where its users reach it.
func (c *Cluster) Address() string { return c.Front.Address }

type proc struct {
	name    string
	program string
	args    []string
	log     string
	mu      sync.Mutex
	cmd     *exec.Cmd
	gone    chan struct{} // closed when the process has ended
	want    bool          // it is to run
}

// Dev is what runs.
type Dev struct {
	Clusters []*Cluster
	Live     *simulator.LiveNetwork
	plan     Plan
	sights   *os.File
	trace    *os.File
	cancel   context.CancelFunc
	ended    sync.WaitGroup
}

// clusterNames are given to clusters in this order.
var clusterNames = []string{"west", "east", "north", "south"}

// Start brings everything up and returns when the processes run; Stop must
// follow.
func Start(p Plan) (*Dev, error) {
	if p.Controllers < 1 || p.Controllers > 15 || p.Zones < 1 || p.Zones > 8 || p.Clusters < 1 || p.Clusters > len(clusterNames) || p.Machines < 0 || p.Machines > 2000 {
		return nil, fmt.Errorf("out of range: 1 to 15 controllers, 0 to 2000 machines, 1 to 8 zones, 1 to %d clusters", len(clusterNames))
	}
	d := &Dev{plan: p}
	if err := os.MkdirAll(p.Dir, 0o755); err != nil {
		return nil, err
	}
	var err error
	if d.sights, err = os.Create(filepath.Join(p.Dir, "machines.jsonl")); err != nil {
		return nil, err
	}
	if d.trace, err = os.Create(filepath.Join(p.Dir, "standins.log")); err != nil {
		return nil, err
	}
	n, live := simulator.NewLiveNetwork(uint64(time.Now().UnixNano()))
	live.Log = d.trace
	n.WriteObservations(d.sights)
	d.Live = live
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.ended.Add(1)
	go func() { defer d.ended.Done(); live.Run(ctx) }()
	for i := 0; i < p.Clusters; i++ {
		name := ""
		if p.Clusters > 1 {
			name = clusterNames[i]
		}
		c, err := d.cluster(name)
		if err != nil {
			d.Stop()
			return nil, err
		}
		d.Clusters = append(d.Clusters, c)
	}
	for _, c := range d.Clusters {
		if err := d.launch(c); err != nil {
			d.Stop()
			return nil, err
		}
	}
	for _, k := range p.Kills {
		if err := d.schedule(ctx, k); err != nil {
			d.Stop()
			return nil, err
		}
	}
	return d, nil
}

// ports finds n free ports of the loopback, all at one address of it that only
// this cluster has. They are free again when it returns, and no connection of
// another process can be given one meanwhile: those come from 127.0.0.1. Where
// the machine has no other address of the loopback than that, it is that one,
// and a controller that finds its port taken is started anew.
func ports(n int) ([]string, error) {
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.N(254), rand.N(256), 1+rand.N(254))
	if l, err := net.Listen("tcp4", net.JoinHostPort(host, "0")); err != nil {
		host = "127.0.0.1"
	} else {
		_ = l.Close()
	}
	var out []string
	for i := 0; i < n; i++ {
		l, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

func (d *Dev) cluster(name string) (*Cluster, error) {
	p := d.plan
	c := &Cluster{Name: name, dir: filepath.Join(p.Dir, name)}
	if err := os.MkdirAll(c.dir, 0o755); err != nil {
		return nil, err
	}
	addrs, err := ports(3 * p.Controllers)
	if err != nil {
		return nil, err
	}
	var zones []string
	for i := 0; i < p.Zones; i++ {
		zones = append(zones, string(rune('a'+i)))
	}
	zone := func(i int) string { return zones[i%len(zones)] }
	for i := 0; i < p.Controllers; i++ {
		s := settings.Platform{Name: fmt.Sprintf("n%d", i), Zone: zone(i), API: addrs[3*i], Mesh: addrs[3*i+1]}
		c.Peers = append(c.Peers, addrs[3*i+2])
		for k := 0; k < p.Controllers; k++ {
			if k != i {
				s.Members = append(s.Members, settings.Member{Name: fmt.Sprintf("n%d", k), Zone: zone(k), Address: addrs[3*k+1]})
			}
		}
		t := &s.Deployment
		t.Nodes, t.Zones, t.SkewMs = p.Controllers, zones, 100
		t.Teams = []settings.Team{{Name: "red"}, {Name: "blue", CoresMax: 8}}
		t.Objectives = []settings.Objective{{Kind: "finished", Class: "sample", Within: 60, Share: 0.9}}
		t.Workers.Report, t.Workers.Lease, t.Workers.GangWait, t.Workers.GangPeer, t.Workers.Cancel = 1, 10, 20, 5, 25
		t.State.RPS, t.State.WriteRPS, t.State.ValueKB, t.State.TxnOps = 200, 80, 16, 16
		t.Cloud.RPS, t.Cloud.ListLag = 8, 1
		t.Limits.CoreShare, t.Limits.RAM, t.Limits.Sockets = 1, 256, 2000
		c.Platform = append(c.Platform, s)
	}
	c.Simulated = d.Live.AddCluster(name, c.Platform, p.Machines, p.Rentable)
	for i := range c.Platform {
		c.Platform[i].Services.State, c.Platform[i].Services.Cloud = c.Simulated.State.Address, c.Simulated.Cloud.Address
	}
	c.Front, err = d.Live.StartLoadBalancer(c.Simulated)
	return c, err
}

func (d *Dev) launch(c *Cluster) error {
	text := ""
	if d.plan.INI != nil {
		var err error
		if text, err = d.plan.INI(c, d.Clusters); err != nil {
			return err
		}
	}
	for i := range c.Platform {
		s := &c.Platform[i]
		b, err := toml.Marshal(s)
		if err != nil {
			return err
		}
		file := filepath.Join(c.dir, s.Name+".toml")
		if err := os.WriteFile(file, b, 0o644); err != nil {
			return err
		}
		p := &proc{name: c.Name + "/" + s.Name, program: cmp.Or(d.plan.Old, d.plan.Program), args: []string{"--config", file}, log: filepath.Join(c.dir, s.Name+".log"), want: true}
		if text != "" {
			ini := filepath.Join(c.dir, s.Name+".ini")
			own := strings.ReplaceAll(text, "{listen}", c.Peers[i])
			if err := os.WriteFile(ini, []byte(own), 0o644); err != nil {
				return err
			}
			p.args = append(p.args, "--ini", ini)
		}
		p.name = strings.TrimPrefix(p.name, "/")
		c.procs = append(c.procs, p)
		if err := d.start(p); err != nil {
			return err
		}
		d.ended.Add(1)
		go d.mind(p)
	}
	return nil
}

func (d *Dev) start(p *proc) error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.mu.Lock()
	program := p.program
	p.mu.Unlock()
	cmd := exec.Command(program, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+d.plan.LogLevel)
	own(cmd)
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("the controller's program does not start: %w", err)
	}
	gone := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.gone = cmd, gone
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close() // the process wrote to it, this one did not
		close(gone)
	}()
	return nil
}

// mind starts a controller again that ended by itself, as the platform would.
func (d *Dev) mind(p *proc) {
	defer d.ended.Done()
	for tries := 0; ; tries++ {
		p.mu.Lock()
		gone, want := p.gone, p.want
		p.mu.Unlock()
		if !want {
			return
		}
		<-gone
		p.mu.Lock()
		want = p.want
		p.mu.Unlock()
		if !want {
			return
		}
		if tries >= 5 {
			d.plan.Say("%s ends again and again: %s", p.name, lastLine(p.log))
			return
		}
		d.plan.Say("%s ended by itself and is started again: %s", p.name, lastLine(p.log))
		time.Sleep(time.Second)
		if err := d.start(p); err != nil {
			d.plan.Say("%s: %v", p.name, err)
			return
		}
	}
}

func lastLine(file string) string {
	b, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	return lines[len(lines)-1]
}

// end kills a controller with no warning and waits until it is gone.
func (p *proc) end() {
	p.mu.Lock()
	p.want = false
	cmd, gone := p.cmd, p.gone
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-gone
}

func (d *Dev) schedule(ctx context.Context, k Kill) error {
	var c *Cluster
	for _, o := range d.Clusters {
		if o.Name == k.Cluster {
			c = o
		}
	}
	var list []*proc
	if c != nil {
		for i, p := range c.procs {
			if k.Host == "" || c.Platform[i].Name == k.Host {
				list = append(list, p)
			}
		}
	}
	if len(list) == 0 {
		return fmt.Errorf("--kill: there is no controller %q in cluster %q", k.Host, k.Cluster)
	}
	later := func(t time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(t):
			return true
		}
	}
	d.ended.Add(1)
	go func() {
		defer d.ended.Done()
		if !later(k.At) {
			return
		}
		for _, p := range list {
			p.end()
			d.plan.Say("killed %s", p.name)
		}
		if k.Back == 0 || !later(k.Back) {
			return
		}
		for _, p := range list {
			p.mu.Lock()
			p.want, p.program = true, d.plan.Program
			p.mu.Unlock()
			if err := d.start(p); err != nil {
				d.plan.Say("%s: %v", p.name, err)
				continue
			}
			d.plan.Say("%s is back", p.name)
			d.ended.Add(1)
			go d.mind(p)
		}
	}()
	return nil
}

// Ready waits until most controllers of every cluster take requests.
func (d *Dev) Ready(ctx context.Context) error {
	for {
		all := true
		for _, c := range d.Clusters {
			all = all && 2*c.Front.HealthyControllers() > len(c.Platform)
		}
		if all {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("the controllers did not become ready in time; see their logs in " + d.plan.Dir)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// Stop ends all processes and sockets that Start made.
func (d *Dev) Stop() {
	if d.cancel != nil {
		d.cancel()
	}
	for _, c := range d.Clusters {
		for _, p := range c.procs {
			p.end()
		}
	}
	d.ended.Wait()
	for _, f := range []io.Closer{d.sights, d.trace} {
		if err := f.Close(); err != nil {
			d.plan.Say("closing a log: %v", err)
		}
	}
}

// Dir is the folder of settings and logs.
func (d *Dev) Dir() string { return d.plan.Dir }

// Program finds the controller's program: the one named, else the one beside
// this program, else it is built from the source that this program was built
// from, into dir.
func Program(named, dir string, say func(string, ...any)) (string, error) {
	if named != "" {
		return exec.LookPath(named)
	}
	if self, err := os.Executable(); err == nil {
		p := filepath.Join(filepath.Dir(self), "curlewspool")
		if st, err := os.Stat(p); err == nil && !st.IsDir() {
			return p, nil
		}
	}
	_, file, _, _ := runtime.Caller(0)
	root := filepath.Dir(filepath.Dir(filepath.Dir(file)))
	if _, err := os.Stat(filepath.Join(root, "go.mod")); err != nil {
		return "", errors.New("the controller's program is not beside this one: name it with --program")
	}
	out, err := filepath.Abs(filepath.Join(dir, "curlewspool"))
	if err != nil {
		return "", err
	}
	say("building the controller")
	cmd := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", out, "./cmd/curlewspool")
	cmd.Dir = root
	if b, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("the controller does not build: %s", strings.TrimSpace(string(b)))
	}
	return out, nil
}
