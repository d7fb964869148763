package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deployment is what the settings file says.
type deployment struct {
	nodes    []string
	areas    []string // of each node
	zones    []string
	teams    string // TOML
	goals    string // TOML
	reportS  float64
	leaseS   float64
	gangWait float64
	gangPeer float64
	cancelS  float64
	state    limits
	cloudRPS float64
	listLag  float64
	sockets  int
	ramMB    float64
}

// small is a deployment like that of the compressor co-operative: 3 controllers, lease 14 s.
func small() deployment {
	return deployment{
		nodes: []string{"kiln-0", "kiln-1", "kiln-2"}, areas: []string{"thies-hall", "mbour-store", "thies-hall"},
		zones:   []string{"thies-hall", "mbour-store"},
		teams:   "[[deployment.teams]]\nname = \"atelier-central\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n",
		reportS: 2, leaseS: 14, gangWait: 20, gangPeer: 5, cancelS: 34,
		state: limits{rps: 200, writeRPS: 80, valueKB: 32, txnOps: 12}, cloudRPS: 3, listLag: 12, sockets: 800, ramMB: 98,
	}
}

// licence is a deployment like that of the licence office: 3 controllers, lease 26 s.
func licence() deployment {
	return deployment{
		nodes: []string{"kiln-0", "kiln-1", "kiln-2"}, areas: []string{"coast-room", "delta-room", "coast-room"},
		zones:   []string{"coast-room", "delta-room"},
		teams:   "[[deployment.teams]]\nname = \"licensing-desk\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n",
		reportS: 3, leaseS: 26, gangWait: 35, gangPeer: 8, cancelS: 51,
		state: limits{rps: 100, writeRPS: 30, valueKB: 8, txnOps: 24}, cloudRPS: 8, listLag: 5, sockets: 2500, ramMB: 234,
	}
}

// link is a proxy between two controllers; it can be cut.
type link struct {
	mu     sync.Mutex
	isCut  bool
	target string
	conns  map[net.Conn]bool
}

func newLink(target string) (*link, string) {
	l := &link{target: target, conns: map[net.Conn]bool{}}
	listener := listen("127.0.0.1")
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn)
		}
	}()
	return l, listener.Addr().String()
}

func (l *link) cut(isCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = isCut
	if isCut { // connections are silent from now on, and reset when the cut ends
		return
	}
	for conn := range l.conns {
		_ = conn.Close()
	}
}

func (l *link) silent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isCut
}

func (l *link) forward(in net.Conn) {
	l.mu.Lock()
	l.conns[in] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, in)
		l.mu.Unlock()
		_ = in.Close()
	}()
	out, err := net.DialTimeout("tcp4", l.target, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		defer in.Close()
		l.copy(in, out)
	}()
	l.copy(out, in)
}

// copy forwards one direction; what is sent during a cut is lost.
func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if l.silent() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

type node struct {
	name, api, config string
	log               *os.File
	process           *exec.Cmd
	exited            chan struct{}
}

type cluster struct {
	ending sync.Once
	rec    *recorder
	dep    deployment
	dir    string
	store  *store
	cloud  *cloud
	site   *site
	nodes  map[string]*node
	links  map[string]*link // "from>to"
	run    []string
	users  *http.Client
	host   string // loopback address of the controllers, of their own, so that their ports stay free while they are away
}

func newCluster(rec *recorder, dep deployment, types []machineType) *cluster {
	dir, err := os.MkdirTemp("", "review-rig-")
	if err != nil {
		cannotRun("%v", err)
	}
	c := &cluster{
		rec: rec, dep: dep, dir: dir, store: newStore(dep.state), cloud: newCloud(rec, types, dep.cloudRPS),
		nodes: map[string]*node{}, links: map[string]*link{}, run: runCommand(),
		host:  fmt.Sprintf("127.%d.%d.%d", 1+rand.Intn(250), rand.Intn(250), 1+rand.Intn(250)),
		users: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	c.site = &site{
		rec: rec, jobs: map[string]*jobSpec{}, done: map[string]bool{}, on: map[string]map[string]bool{},
		gangs: map[string]map[int]*task{}, nodes: dep.nodes, apis: map[string]string{},
		reportS: dep.reportS, leaseS: dep.leaseS, gangWait: dep.gangWait,
	}
	c.cloud.start = func(id string, t machineType, yard string, spot bool) *worker {
		return newWorker(c.site, id, t, yard, spot)
	}
	started = append(started, c)
	meshes := map[string]string{}
	ports := freePorts(c.host, 2*len(dep.nodes))
	for i, name := range dep.nodes {
		c.site.apis[name], meshes[name] = ports[2*i], ports[2*i+1]
	}
	for i, name := range dep.nodes {
		c.writeSettings(i, name, meshes)
	}
	return c
}

// runCommand reads how the platform starts the program.
func runCommand() []string {
	content, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		cannotRun("%v", err)
	}
	for _, line := range strings.Split(string(content), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, "\""))
		}
	}
	cannotRun("no run line")
	return nil
}

func (c *cluster) writeSettings(i int, name string, meshes map[string]string) {
	d := &c.dep
	var text strings.Builder
	fmt.Fprintf(&text, "host_name = %q\narea = %q\napi_addr = %q\nmesh_addr = %q\n", name, d.areas[i], c.site.apis[name], meshes[name])
	for k, other := range d.nodes {
		if other == name {
			continue
		}
		between, address := newLink(meshes[other])
		c.links[name+">"+other] = between
		fmt.Fprintf(&text, "\n[[members]]\nhost_name = %q\narea = %q\naddress = %q\n", other, d.areas[k], address)
	}
	fmt.Fprintf(&text, "\n[endpoints]\ncloud = %q\nstate = %q\n", c.cloud.addressFor(name), c.store.addressFor(name))
	fmt.Fprintf(&text, "\n[deployment]\nnodes = %d\nzones = [\"%s\"]\nskew_ms = 1000.0\n\n%s\n%s\n", len(d.nodes), strings.Join(d.zones, `", "`), d.teams, d.goals)
	fmt.Fprintf(&text, "[deployment.workers]\nreport_s = %.3f\nlease_s = %.3f\ngang_wait_s = %.3f\ngang_peer_s = %.3f\ncancel_s = %.3f\n\n", d.reportS, d.leaseS, d.gangWait, d.gangPeer, d.cancelS)
	fmt.Fprintf(&text, "[deployment.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n\n", d.state.rps, d.state.writeRPS, d.state.valueKB, d.state.txnOps)
	fmt.Fprintf(&text, "[deployment.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n\n[deployment.machine_limits]\ncore_share = 0.144\nram_mb = %.1f\nsockets = %d\n", d.cloudRPS, d.listLag, d.ramMB, d.sockets)
	folder := filepath.Join(c.dir, name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		cannotRun("%v", err)
	}
	path := filepath.Join(folder, "settings.toml")
	if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
		cannotRun("%v", err)
	}
	c.nodes[name] = &node{name: name, api: c.site.apis[name], config: path}
}

func (c *cluster) start(name string) {
	n := c.nodes[name]
	log, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	n.log = log
	n.process = exec.Command(c.run[0], append(append([]string{}, c.run[1:]...), n.config)...)
	n.process.Env = append(os.Environ(), "LOG_LEVEL=info")
	n.process.Stderr, n.process.Stdout = log, log
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		cannotRun("start %s: %v", name, err)
	}
	exited, process := make(chan struct{}), n.process
	n.exited = exited
	c.rec.logf("controller %s starts", name)
	go func() {
		err := process.Wait()
		c.rec.logf("controller %s has ended: %v", name, err)
		close(exited)
	}()
}

// hasEnded reports whether a controller's process has ended.
func (c *cluster) hasEnded(name string) bool {
	select {
	case <-c.nodes[name].exited:
		return true
	default:
		return false
	}
}

func (c *cluster) kill(name string) {
	n := c.nodes[name]
	if n.process != nil {
		_ = n.process.Process.Kill()
		<-n.exited
	}
}

func (c *cluster) signal(name string, s syscall.Signal) {
	c.rec.logf("controller %s gets %v", name, s)
	_ = c.nodes[name].process.Process.Signal(s)
}

func (c *cluster) startAll() {
	for _, name := range c.dep.nodes {
		c.start(name)
	}
	c.await("all controllers up", 30*time.Second, func() bool {
		for _, name := range c.dep.nodes {
			if status, _ := call(c.users, http.MethodGet, "http://"+c.nodes[name].api+"/up", nil, nil, time.Second); status != 200 {
				return false
			}
		}
		return true
	})
}

func (c *cluster) stop() {
	c.ending.Do(c.endAll)
}

func (c *cluster) endAll() {
	for _, name := range c.dep.nodes {
		if c.nodes[name] != nil && c.nodes[name].process != nil {
			c.kill(name)
		}
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("kept:", c.dir)
	}
}

func (c *cluster) await(what string, limit time.Duration, isTrue func() bool) {
	if !c.wait(limit, isTrue) {
		cannotRun("not within %v: %s", limit, what)
	}
}

func (c *cluster) wait(limit time.Duration, isTrue func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if isTrue() {
			return true
		}
	}
	return isTrue()
}

// jobState is a node's answer about a job.
type jobState struct {
	Status  string `cbor:"status"`
	Done    int    `cbor:"done"`
	Running int    `cbor:"running"`
	Error   string `cbor:"error"`
}

// submit uploads the job and submits it, at the given nodes in turn, until it is accepted.
func (c *cluster) submit(j *jobSpec, names ...string) int {
	c.site.mu.Lock()
	c.site.jobs[j.id] = j
	c.site.mu.Unlock()
	status := 0
	for until, i := time.Now().Add(60*time.Second), 0; time.Now().Before(until); i++ {
		var state jobState
		name := names[i%len(names)]
		status, _ = call(c.users, http.MethodPost, "http://"+c.nodes[name].api+"/v2/runs", j.body(), &state, 5*time.Second)
		c.rec.logf("user: submit %s to %s: %d %s %s", j.id, name, status, state.Status, state.Error)
		if status == 200 || status == 201 || status == 400 || status == 422 {
			return status
		}
		time.Sleep(time.Second)
	}
	return status
}

func (c *cluster) ask(id, name string) (int, jobState) {
	var state jobState
	status, _ := call(c.users, http.MethodGet, "http://"+c.nodes[name].api+"/v2/runs/"+id, nil, &state, 2*time.Second)
	c.rec.logf("user: ask %s about %s: %d %s done %d running %d %s", name, id, status, state.Status, state.Done, state.Running, state.Error)
	return status, state
}

func (c *cluster) abort(id, name string) (int, jobState) {
	var state jobState
	status, _ := call(c.users, http.MethodPost, "http://"+c.nodes[name].api+"/v2/runs/"+id+"/abort", nil, &state, 5*time.Second)
	c.rec.logf("user: abort %s at %s: %d %s %s", id, name, status, state.Status, state.Error)
	return status, state
}

// owners returns the holders of the keys that say who owns what, for the cases that need to know whom
// to cut off; keys are the project's own.
func (c *cluster) owners() map[string]string {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	owners := map[string]string{}
	for key, entry := range c.store.entries {
		if name, ok := strings.CutPrefix(key, "a/o/"); ok {
			var record struct {
				Owner string `cbor:"h"`
			}
			if decode(entry.value, &record) == nil {
				owners[name] = record.Owner
			}
		}
	}
	return owners
}
