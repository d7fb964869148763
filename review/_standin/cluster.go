package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Build is a machine type.
type Build struct {
	Label                                                string
	Cores, MemoryGb, FetchGbPerS, Rate, SpotPrice, BootS float64
}

// Team is a team of the settings.
type Team struct {
	Name    string
	CPUsMax float64
}

// Objective is an aim of the settings.
type Objective struct {
	Kind, Class    string
	WithinS, Share float64
}

// Site holds the settings of a deployment.
type Site struct {
	Objectives                           []Objective
	Zones                                []string
	Nodes                                int
	Builds                               []Build
	Teams                                []Team
	Report, Lease, ListLag, StateLatency time.Duration
	GangWaitS, GangPeerS, CancelS        float64
	StateRPS, StateWriteRPS              float64
	StateValueKB                         float64
	StateTxnOps                          int
	CloudRPS                             float64
	SkewMs, CoreShare, RAMMB             float64
	Sockets                              int
}

func (s *Site) build(label string) Build {
	for _, build := range s.Builds {
		if build.Label == label {
			return build
		}
	}
	panic("no machine type " + label)
}

// Job is a submission.
type Job struct {
	ID, Trade, Crew, Shape, Rank string
	Pieces                       int
	Cores, MemoryGb              float64
	Builds                       []string
	Together, Apart, Loaners     bool
	Kit                          string
	PullGb, ReckonS              float64
	MarkS, StowS                 float64
	RunS                         float64 // how long a task really runs

	status string // as last told to the user
}

func (j *Job) body() map[string]any {
	var builds any
	if j.Builds != nil {
		builds = j.Builds
	}
	return map[string]any{"id": j.ID, "trade": j.Trade, "crew": j.Crew, "shape": j.Shape, "rank": j.Rank, "pieces": uint64(j.Pieces),
		"cores": j.Cores, "accelerators": 0.0, "memoryGb": j.MemoryGb, "kit": j.Kit, "pullGb": j.PullGb, "builds": builds,
		"yard": nil, "together": j.Together, "apart": j.Apart, "loaners": j.Loaners, "reckonS": j.ReckonS,
		"markS": j.MarkS, "stowS": j.StowS, "dueS": nil}
}

// Cluster is a deployment: controllers, and stand-ins for all else.
type Cluster struct {
	site    Site
	dir     string
	program []string
	started time.Time
	out     *os.File
	outMu   sync.Mutex

	store         *Store
	storeAddress  string
	cloudAddress  string
	cloudRequests bucket

	mu       sync.Mutex
	nodes    []*Node
	machines []*Machine
	rentals  map[string][]string
	capacity map[offer]int

	jobsMu   sync.Mutex
	jobs     map[string]*Job
	saved    map[string]float64
	done     map[string]bool
	places   map[string]*Machine // where each task is
	broken   []string
	watchers []func(event string, m *Machine, t *task)
	gangs    gangs
}

// Node is a controller, a process of its own.
type Node struct {
	name, zone, api, mesh, file string
	command                     *exec.Cmd
	exited                      chan struct{}
	isHealthy                   bool
	failures, successes         int
}

// newCluster starts the stand-ins of a site. Files go to a temporary folder.
func newCluster(site Site, recordFile string) *Cluster {
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	out, err := os.Create(recordFile)
	check(err)
	c := &Cluster{site: site, dir: dir, started: time.Now(), out: out, program: runCommand(),
		cloudRequests: newBucket(site.CloudRPS, 2*site.CloudRPS),
		rentals:       map[string][]string{}, capacity: map[offer]int{}, jobs: map[string]*Job{}, saved: map[string]float64{},
		done: map[string]bool{}, places: map[string]*Machine{}}
	c.store = newStore(site)
	c.storeAddress = serve(c.store)
	c.cloudAddress = serve(http.HandlerFunc(c.ServeCloud))
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.N(200), rand.N(256), 1+rand.N(254))
	if probe, err := net.Listen("tcp4", host+":0"); err != nil {
		host = "127.0.0.1"
	} else {
		_ = probe.Close()
	}
	for i := range site.Nodes {
		c.nodes = append(c.nodes, &Node{name: fmt.Sprintf("kiln-%d", i), zone: site.Zones[i%len(site.Zones)],
			api: freeAddress(host), mesh: freeAddress(host)})
	}
	return c
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		os.Exit(2)
	}
}

// serve starts an HTTP server on a free port.
func serve(handler http.Handler) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

func freeAddress(host string) string {
	listener, err := net.Listen("tcp4", host+":0")
	check(err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// runCommand reads the command of the deploy file.
func runCommand() []string {
	text, err := os.ReadFile("deploy/service.toml")
	check(err)
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`))
		}
	}
	check(fmt.Errorf("no run line in deploy/service.toml"))
	return nil
}

// record writes a line to the record.
func (c *Cluster) record(format string, args ...any) {
	c.outMu.Lock()
	defer c.outMu.Unlock()
	_, _ = fmt.Fprintf(c.out, "%8.3f %s\n", time.Since(c.started).Seconds(), fmt.Sprintf(format, args...))
}

// settings returns the platform's settings file of a controller.
func (c *Cluster) settings(n *Node) string {
	s := &c.site
	var b strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	p("host_name = %q\narea = %q\napi_addr = %q\nmesh_addr = %q", n.name, n.zone, n.api, n.mesh)
	for _, other := range c.nodes {
		if other != n {
			p("[[members]]\nhost_name = %q\narea = %q\naddress = %q", other.name, other.zone, other.mesh)
		}
	}
	p("[endpoints]\ncloud = %q\nstate = %q", c.cloudAddress, c.storeAddress)
	p("[deployment]\nnodes = %d\nzones = [\"%s\"]\nskew_ms = %.1f", s.Nodes, strings.Join(s.Zones, `", "`), s.SkewMs)
	for _, team := range s.Teams {
		p("[[deployment.teams]]\nname = %q\ncpus = 0.0\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0", team.Name, team.CPUsMax)
	}
	for _, o := range s.Objectives {
		p("[[deployment.objectives]]\nkind = %q\nclass = %q\nwithin_s = %.1f\nshare = %.3f", o.Kind, o.Class, o.WithinS, o.Share)
	}
	p("[deployment.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\ngang_peer_s = %.1f\ncancel_s = %.1f",
		s.Report.Seconds(), s.Lease.Seconds(), s.GangWaitS, s.GangPeerS, s.CancelS)
	p("[deployment.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d", s.StateRPS, s.StateWriteRPS, s.StateValueKB, s.StateTxnOps)
	p("[deployment.cloud]\nrps = %.1f\nlist_lag_s = %.1f", s.CloudRPS, s.ListLag.Seconds())
	p("[deployment.machine_limits]\ncore_share = %.3f\nram_mb = %.1f\nsockets = %d", s.CoreShare, s.RAMMB, s.Sockets)
	return b.String()
}

// start starts a controller.
func (c *Cluster) start(n *Node) {
	n.file = filepath.Join(c.dir, n.name+".toml")
	check(os.WriteFile(n.file, []byte(c.settings(n)), 0o644))
	log, err := os.OpenFile(filepath.Join(c.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	command := exec.Command(c.program[0], append(c.program[1:], n.file)...)
	command.Stderr = log
	command.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(command.Start())
	exited := make(chan struct{})
	c.mu.Lock()
	n.command, n.exited = command, exited
	c.mu.Unlock()
	c.record("platform: %s starts", n.name)
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
}

func logLevel() string {
	if level := os.Getenv("REVIEW_LOG"); level != "" {
		return level
	}
	return "info"
}

// kill ends a controller with no signal that it could handle.
func (c *Cluster) kill(n *Node) {
	_ = n.command.Process.Kill()
	<-n.exited
	c.record("platform: %s is killed", n.name)
}

// startAll starts all controllers and the load balancer's probes.
func (c *Cluster) startAll() {
	for _, n := range c.nodes {
		c.start(n)
		go c.probe(n)
	}
}

// stop ends all that was started.
func (c *Cluster) stop() {
	c.mu.Lock()
	nodes := c.nodes
	c.mu.Unlock()
	for _, n := range nodes {
		c.mu.Lock()
		command, exited := n.command, n.exited
		c.mu.Unlock()
		if command != nil {
			_ = command.Process.Kill()
			<-exited
		}
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs are in", c.dir)
	}
	_ = c.out.Close()
}

// probe does the load balancer's probes of one controller.
func (c *Cluster) probe(n *Node) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	everHealthy := false
	for {
		response, err := client.Get("http://" + n.api + "/up")
		isUp := err == nil && response.StatusCode == 200
		if err == nil {
			_ = response.Body.Close()
		}
		c.mu.Lock()
		if isUp {
			n.failures = 0
			n.successes++
			if !n.isHealthy && (!everHealthy || n.successes >= 3) {
				n.isHealthy, everHealthy = true, true
			}
		} else {
			n.successes = 0
			n.failures++
			if n.failures >= 2 {
				n.isHealthy = false
			}
		}
		c.mu.Unlock()
		time.Sleep(time.Second)
	}
}

// healthyNodes lists the healthy controllers in random order.
func (c *Cluster) healthyNodes() []*Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var healthy []*Node
	for _, i := range rand.Perm(len(c.nodes)) {
		if c.nodes[i].isHealthy {
			healthy = append(healthy, c.nodes[i])
		}
	}
	return healthy
}

// ask sends a user's request through the load balancer. The status is 0 if there was no answer.
func (c *Cluster) ask(method, path string, body any, patience time.Duration) (status int, answer map[string]any) {
	for i, n := range c.healthyNodes() {
		if i == 3 {
			break
		}
		if status, answer = c.askNode(n, method, path, body, patience); status != -1 {
			return status, answer
		}
	}
	return 0, nil
}

// askNode sends a user's request to one controller. The status is -1 if the connection was refused.
func (c *Cluster) askNode(n *Node, method, path string, body any, patience time.Duration) (status int, answer map[string]any) {
	var encoded []byte
	if body != nil {
		encoded, _ = cbor.Marshal(body)
	}
	request, err := http.NewRequest(method, "http://"+n.api+path, bytes.NewReader(encoded))
	check(err)
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		if strings.Contains(err.Error(), "connection refused") {
			return -1, nil
		}
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	_ = cbor.Unmarshal(text, &answer)
	return response.StatusCode, answer
}

// submit submits a job as a user does, and reports whether it was accepted.
func (c *Cluster) submit(job *Job) bool {
	c.jobsMu.Lock()
	c.jobs[job.ID] = job
	c.jobsMu.Unlock()
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); time.Sleep(time.Second) {
		status, answer := c.ask(http.MethodPost, "/v2/runs", job.body(), 5*time.Second)
		c.record("user: submits %s: %d %v", job.ID, status, answer)
		if status == 200 || status == 201 {
			return true
		}
		if status == 400 || status == 422 {
			return false
		}
	}
	return false
}

// poll asks for a job's status once.
func (c *Cluster) poll(job *Job) (status int, state string) {
	status, answer := c.ask(http.MethodGet, "/v2/runs/"+job.ID, nil, 2*time.Second)
	state, _ = answer["status"].(string)
	c.record("user: asks for %s: %d %v", job.ID, status, answer)
	if status == 200 {
		if (job.status == "done" || job.status == "withdrawn") && state != job.status {
			c.violate("went_back: %s was %s, is %s", job.ID, job.status, state)
		}
		job.status = state
	}
	if status == 404 {
		c.violate("forgotten: %s gets 404", job.ID)
	}
	return status, state
}

func (c *Cluster) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.record("BROKEN %s", text)
	c.jobsMu.Lock()
	defer c.jobsMu.Unlock()
	c.broken = append(c.broken, text)
}

func (c *Cluster) job(id string) *Job {
	c.jobsMu.Lock()
	defer c.jobsMu.Unlock()
	return c.jobs[id]
}

func (c *Cluster) progress(piece string) float64 {
	c.jobsMu.Lock()
	defer c.jobsMu.Unlock()
	if c.done[piece] {
		return 1e9
	}
	return c.saved[piece]
}

func (c *Cluster) saveProgress(piece string, progress float64) {
	c.jobsMu.Lock()
	defer c.jobsMu.Unlock()
	c.saved[piece] = max(c.saved[piece], progress)
}

func (c *Cluster) taskDone(t *task) {
	c.jobsMu.Lock()
	defer c.jobsMu.Unlock()
	c.done[t.piece] = true
}

// taskBegins is called when a task is on a machine, with its image.
func (c *Cluster) taskBegins(m *Machine, t *task) {
	c.record("%s: %s runs", m.id, t)
	c.jobsMu.Lock()
	other := c.places[t.piece]
	c.places[t.piece] = m
	c.jobsMu.Unlock()
	if other != nil {
		c.violate("ran_twice: %s starts on %s while it is on %s", t.piece, m.id, other.id)
	}
	c.notify("begins", m, t)
}

func (c *Cluster) taskLeaves(m *Machine, t *task) {
	c.record("%s: %s is gone", m.id, t)
	c.jobsMu.Lock()
	if c.places[t.piece] == m {
		delete(c.places, t.piece)
	}
	c.jobsMu.Unlock()
}

// placeOf returns the machine that a task is on.
func (c *Cluster) placeOf(piece string) *Machine {
	c.jobsMu.Lock()
	defer c.jobsMu.Unlock()
	return c.places[piece]
}

// notify calls the watchers, each on a goroutine of its own.
func (c *Cluster) notify(event string, m *Machine, t *task) {
	c.jobsMu.Lock()
	watchers := c.watchers
	c.jobsMu.Unlock()
	for _, watch := range watchers {
		go watch(event, m, t)
	}
}

func (c *Cluster) machineByID(id string) *Machine {
	for _, m := range c.machines {
		if m.id == id {
			return m
		}
	}
	return nil
}

// watch adds a function that is called, on a goroutine of its own, when a task begins or is told to stop and
// saves.
func (c *Cluster) watch(f func(event string, m *Machine, t *task)) {
	c.jobsMu.Lock()
	defer c.jobsMu.Unlock()
	c.watchers = append(c.watchers, f)
}

// mustSubmit submits a job that has to be accepted.
func (c *Cluster) mustSubmit(job *Job) {
	if !c.submit(job) {
		c.inconclusive("%s was not accepted", job.ID)
	}
}

// machineDies stops a machine with all that is on it.
func (c *Cluster) machineDies(m *Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record("trouble: %s stops with all that is on it", m.id)
	m.die()
}

// giveNotice lets the cloud announce that it takes a cheap machine.
func (c *Cluster) giveNotice(m *Machine, notice time.Duration) {
	c.record("cloud: notice to %s, it is taken in %v", m.id, notice)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.warningUntil = time.Now().Add(notice)
	m.signal()
}

// machineTaken takes a cheap machine back.
func (c *Cluster) machineTaken(m *Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record("cloud: %s is taken", m.id)
	m.remove()
}

// nodeThatAnswers returns the controller that answered the machine's last answered report.
func (c *Cluster) nodeThatAnswers(m *Machine) *Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range c.nodes {
		if n.name == m.answeredBy {
			return n
		}
	}
	return nil
}

// crashFor kills a controller and has it back after a pause.
func (c *Cluster) crashFor(n *Node, pause time.Duration) {
	if n == nil {
		c.inconclusive("no controller has answered the machine")
	}
	c.record("trouble: %s crashes", n.name)
	c.kill(n)
	time.Sleep(pause)
	c.start(n)
}

// inconclusive ends the case: it could not run.
func (c *Cluster) inconclusive(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.record("cannot judge: %s", text)
	fmt.Fprintln(os.Stderr, "cannot judge:", text)
	c.stop()
	os.Exit(2)
}
