package nomad

import (
	"errors"
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"

	"curlewspool/internal/protocol"
)

// Rules are the operators': what files do not say is taken from here, and said.
type Rules struct {
	MHz     float64 // of a core
	Team    string
	Class   string // of jobs that name none
	Classes map[string]Class
}

// Class says what is assumed of a class's jobs that do not say it themselves.
type Class struct {
	Estimate   float64 // run time of a task, seconds
	Checkpoint float64 // seconds of progress between checkpoints
	ImageGb    float64
	Spot       bool
}

// DefaultRules are those of a tool without a rules file.
func DefaultRules() Rules {
	return Rules{MHz: 2500, Team: "red", Class: "nomad", Classes: map[string]Class{"nomad": {Estimate: 60, ImageGb: 0.5}}}
}

// Native is the job that a group becomes.
type Native struct {
	Group   string               `json:"group"`
	Job     *protocol.Submission `json:"-"`
	Assumed []string             `json:"assumed"` // what the file does not say
}

// Plan is what a file becomes.
type Plan struct {
	Namespace string   `json:"namespace"`
	Name      string   `json:"name"`
	Jobs      []Native `json:"jobs"`
}

type mapper struct {
	rules Rules
	probs Problems
}

func (m *mapper) bad(at, format string, a ...any) {
	m.probs.add("%s: %s", at, fmt.Sprintf(format, a...))
}

// Jobs says which native jobs a job block is, or all that is wrong with it.
func Jobs(job *Node, rules Rules) (*Plan, error) {
	m := &mapper{rules: rules}
	m.known(job, "")
	p := &Plan{Namespace: m.text(job, "namespace", "default"), Name: job.Labels[0]}
	if id := m.text(job, "id", ""); id != "" {
		p.Name = id
	}
	if !plain(p.Namespace) || !plain(p.Name) {
		m.bad(job.At, "the names %q and %q must be of letters, digits, - and _, 40 at most", p.Namespace, p.Name)
	}
	if r := m.text(job, "region", "global"); r != "global" {
		m.bad(job.Attrs["region"].At, "region %q: there is one region; partner clusters are the operators'", r)
	}
	var shape protocol.JobShape
	switch t := m.text(job, "type", "service"); t {
	case "batch":
		shape = protocol.ShapeArray
	case "service":
		shape = protocol.ShapeService
	default:
		m.bad(at(job, "type"), "type %q: one copy on every machine cannot be promised here", t)
	}
	rank := "standard"
	if v, ok := job.Attrs["priority"]; ok {
		switch n := m.number(job, "priority", 50); {
		case n < 1 || n > 100 || n != math.Floor(n):
			m.bad(v.At, "priority %v: must be a whole number from 1 to 100", n)
		case n <= 33:
			rank = "best_effort"
		case n >= 90:
			rank = "prod"
		case n >= 67:
			rank = "high"
		}
	}
	zone := m.zone(job)
	seen := map[string]bool{}
	for _, g := range job.Blocks {
		if g.Type != "group" {
			continue
		}
		if len(g.Labels) != 1 || !plain(g.Labels[0]) || seen[g.Labels[0]] {
			m.bad(g.At, "a group needs one label of its own, of letters, digits, - and _")
			continue
		}
		seen[g.Labels[0]] = true
		if n := m.group(job, g, shape, rank, zone); n != nil {
			id := "wk-nomad." + p.Namespace + "." + p.Name + "." + g.Labels[0]
			n.Job.ID = &id
			var invalid *protocol.FieldError
			if _, err := n.Job.Validate(); errors.As(err, &invalid) { // such as names that are too long together
				m.bad(g.At, "the scheduler would refuse it: %s", invalid.Field)
			}
			p.Jobs = append(p.Jobs, *n)
		}
	}
	if len(seen) == 0 {
		m.bad(job.At, "a job needs a group")
	}
	if len(m.probs) > 0 {
		return nil, m.probs
	}
	return p, nil
}

func plain(s string) bool {
	return s != "" && len(s) <= 40 && strings.Trim(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_") == ""
}

func at(n *Node, attr string) string {
	if v, ok := n.Attrs[attr]; ok {
		return v.At
	}
	return n.At
}

// known refuses what is not honoured, each with its place.
func (m *mapper) known(n *Node, path string) {
	join := func(name string) string {
		if path == "" {
			return name
		}
		return path + "." + name
	}
	for _, name := range sortedKeys(n.Attrs) {
		switch f := byPath[join(name)]; {
		case f == nil:
			m.bad(n.Attrs[name].At, "%s is no field of a job file", join(name))
		case f.Standing == Refused:
			m.bad(n.Attrs[name].At, "%s cannot be honoured: %s", join(name), f.Note)
		}
	}
	for _, b := range n.Blocks {
		p := join(b.Type)
		switch f := byPath[p+"/"]; {
		case f == nil:
			m.bad(b.At, "%s is no block of a job file", p)
		case f.Standing == Refused:
			m.bad(b.At, "%s cannot be honoured: %s", p, f.Note)
		case free[p] || f.Standing == Harmless:
		case b.Type == "constraint" || b.Type == "spread": // read where they stand
		default:
			m.known(b, p)
		}
	}
}

func (m *mapper) text(n *Node, attr, def string) string {
	v, ok := n.Attrs[attr]
	if !ok {
		return def
	}
	s, err := convert.Convert(v.V, cty.String)
	if err != nil || s.IsNull() {
		m.bad(v.At, "%s must be text", attr)
		return def
	}
	return s.AsString()
}

func (m *mapper) number(n *Node, attr string, def float64) float64 {
	v, ok := n.Attrs[attr]
	if !ok {
		return def
	}
	x, err := convert.Convert(v.V, cty.Number)
	if err != nil || x.IsNull() {
		m.bad(v.At, "%s must be a number", attr)
		return def
	}
	f, _ := x.AsBigFloat().Float64()
	return f
}

// seconds reads a duration: text such as "30s", or nanoseconds in the JSON form.
func (m *mapper) seconds(n *Node, attr string, def float64) float64 {
	v, ok := n.Attrs[attr]
	if !ok {
		return def
	}
	if v.V.Type() == cty.Number {
		f, _ := v.V.AsBigFloat().Float64()
		return f / 1e9
	}
	d, err := time.ParseDuration(m.text(n, attr, ""))
	if err != nil || d < 0 {
		m.bad(v.At, "%s must be a duration such as 30s", attr)
		return def
	}
	return d.Seconds()
}

func (m *mapper) zone(job *Node) string {
	v, ok := job.Attrs["datacenters"]
	if !ok {
		return ""
	}
	var list []string
	if v.V.CanIterateElements() {
		for it := v.V.ElementIterator(); it.Next(); {
			_, x := it.Element()
			if x.Type() == cty.String && !x.IsNull() {
				list = append(list, x.AsString())
			}
		}
	}
	switch {
	case len(list) == 1 && list[0] == "*":
		return ""
	case len(list) == 1 && !strings.ContainsAny(list[0], "*?["):
		return list[0]
	}
	m.bad(v.At, "datacenters: one zone, or [\"*\"] for all; some of them cannot be said to the scheduler")
	return ""
}

// meta of a task, its group and its job, the inner first.
func meta(nodes ...*Node) (map[string]string, map[string]string) {
	vals, where := map[string]string{}, map[string]string{}
	for _, n := range nodes {
		for _, b := range n.Blocks {
			if b.Type != "meta" {
				continue
			}
			for k, v := range b.Attrs {
				if s, err := convert.Convert(v.V, cty.String); err == nil && !s.IsNull() {
					vals[k], where[k] = s.AsString(), v.At
				}
			}
		}
	}
	return vals, where
}

func (m *mapper) group(job, g *Node, shape protocol.JobShape, rank, zone string) *Native {
	before := len(m.probs)
	var task *Node
	tasks := 0
	for _, b := range g.Blocks {
		if b.Type == "task" {
			task = b
			tasks++
		}
	}
	if tasks != 1 {
		m.bad(g.At, "a group of %d tasks: one is needed; %s", tasks, noHooks)
		return nil
	}
	n := &Native{Group: g.Labels[0]}
	vals, where := meta(job, g, task)
	for _, k := range sortedKeys(vals) {
		if strings.HasPrefix(k, "curlew_") && MetaKeys[k] == "" {
			m.bad(where[k], "meta %s is none of ours", k)
		}
	}
	assume := func(format string, a ...any) { n.Assumed = append(n.Assumed, fmt.Sprintf(format, a...)) }
	class := vals["curlew_class"]
	if class == "" {
		class = m.rules.Class
		assume("class %s: meta curlew_class is not there", class)
	}
	c, known := m.rules.Classes[class]
	if !known {
		m.bad(task.At, "class %q is not in the operators' rules", class)
	}
	team := vals["curlew_team"]
	if team == "" {
		team = m.rules.Team
		assume("team %s: meta curlew_team is not there", team)
	}
	num := func(key string, def float64, what string) float64 {
		s, ok := vals[key]
		if !ok {
			if def > 0 {
				assume("%s %v, by class %s: meta %s is not there", what, def, class, key)
			}
			return def
		}
		v, err := strconv.ParseFloat(s, 64)
		if err != nil || v < 0 || v > 1e9 {
			m.bad(where[key], "meta %s: %q is no amount", key, s)
		}
		return v
	}
	yes := func(key string) bool {
		switch s := vals[key]; s {
		case "yes":
			return true
		case "", "no":
		default:
			m.bad(where[key], "meta %s: %q must be yes or no", key, s)
		}
		return false
	}
	est := 0.0
	if shape == protocol.ShapeService {
		if s, ok := where["curlew_estimate_s"]; ok {
			m.bad(s, "a service has no run time")
		}
	} else if est = num("curlew_estimate_s", c.Estimate, "estimate"); est <= 0 {
		m.bad(task.At, "no estimate of the run time: set meta curlew_estimate_s, or one for class %s in the operators' rules", class)
	}
	mark := num("curlew_checkpoint_s", c.Checkpoint, "checkpoint interval")
	imageGb := num("curlew_image_gb", c.ImageGb, "image size")
	spot := c.Spot
	if _, ok := vals["curlew_spot"]; ok {
		spot = yes("curlew_spot")
	} else {
		assume("spot machines %v, by class %s: meta curlew_spot is not there", spot, class)
	}
	if yes("curlew_gang") {
		if shape == protocol.ShapeService {
			m.bad(where["curlew_gang"], "a service is no gang")
		} else {
			shape = protocol.ShapeGang
		}
	}
	one := yes("curlew_one_zone")
	count := m.number(g, "count", 1)
	if count < 1 || count > 100000 || count != math.Floor(count) {
		m.bad(at(g, "count"), "count %v: must be a whole number from 1 to 100000", count)
	}
	save := m.seconds(task, "kill_timeout", 0)
	if mark <= 0 && save > 5 {
		m.bad(at(task, "kill_timeout"), "kill_timeout %vs: a task without checkpoints is stopped at once; set meta curlew_checkpoint_s, or leave it out", save)
	}
	if mark <= 0 {
		save = 0
	}
	image := ""
	cores, gpus, mem := 0.0, 0.0, 300.0
	said := false
	for _, b := range task.Blocks {
		switch b.Type {
		case "config":
			image = m.text(b, "image", "")
		case "resources":
			said = true
			_, hasCPU := b.Attrs["cpu"]
			_, hasCores := b.Attrs["cores"]
			if hasCPU && hasCores {
				m.bad(at(b, "cores"), "cores and cpu cannot both be given")
			}
			cores = m.number(b, "cores", 0)
			if hasCPU {
				cores = m.number(b, "cpu", 0) / m.rules.MHz
				assume("%.4g cores of %v MHz each, by the operators' rules", cores, m.rules.MHz)
			}
			mem = m.number(b, "memory", mem)
			for _, dev := range b.Blocks {
				if dev.Type != "device" {
					continue
				}
				if len(dev.Labels) != 1 || dev.Labels[0] != "gpu" && dev.Labels[0] != "nvidia/gpu" {
					m.bad(dev.At, "device %q: only gpu and nvidia/gpu are known", strings.Join(dev.Labels, " "))
				}
				gpus += m.number(dev, "count", 1)
			}
		}
	}
	if cores == 0 {
		cores = 100 / m.rules.MHz
		assume("%.4g cores: the specification's 100 MHz, resources name none", cores)
	}
	if !said {
		assume("300 MB of memory: the specification's, there are no resources")
	}
	if cores < 0 || mem <= 0 || gpus < 0 || gpus != math.Floor(gpus) {
		m.bad(task.At, "resources must be positive, devices whole")
	}
	if image == "" {
		image = "nomad." + job.Labels[0] + "." + task.label()
		assume("image %s: the task's config names none", image)
	}
	types, where2 := []string(nil), ""
	for _, x := range []*Node{job, g, task} {
		for _, b := range x.Blocks {
			if b.Type == "constraint" {
				t, z := m.constraint(b)
				if t != nil {
					types = both(types, t)
					where2 = b.At
				}
				if z != "" && zone != "" && z != zone {
					m.bad(b.At, "zones %s and %s leave nothing", zone, z)
				}
				if z != "" {
					zone = z
				}
			}
		}
	}
	if types != nil && len(types) == 0 {
		m.bad(where2, "the constraints leave no machine type")
	}
	apart := false
	for _, x := range []*Node{job, g} {
		for _, b := range x.Blocks {
			if b.Type == "spread" {
				apart = true
				if a := m.text(b, "attribute", ""); a != "${node.datacenter}" || len(b.Blocks) > 0 {
					m.bad(b.At, "spread: only over ${node.datacenter}, without targets: at most half of the tasks in a zone")
				}
			}
		}
	}
	if apart && (one || zone != "") {
		m.bad(g.At, "tasks cannot be spread over zones and be in one")
	}
	if len(m.probs) > before {
		return nil
	}
	pieces, memGb := uint64(count), mem/1024
	n.Job = &protocol.Submission{Class: &class, Team: &team, Shape: &shape, Priority: &rank, Tasks: &pieces, Cores: &cores, GPUs: &gpus, MemoryGB: &memGb,
		Image: &image, ImageGB: &imageGb, MachineTypes: types, SingleZone: &one, SpreadZones: &apart, AllowSpot: &spot, Estimate: &est, CheckpointInterval: &mark, CheckpointDuration: &save}
	if zone != "" {
		n.Job.Zone = &zone
	}
	if due := num("curlew_due_s", 0, ""); due > 0 {
		n.Job.Deadline = &due
	}
	sort.Strings(n.Assumed)
	return n
}

// label is a block's first label; "" without one.
func (n *Node) label() string {
	if len(n.Labels) == 0 {
		return ""
	}
	return n.Labels[0]
}

// both keeps what is in both lists; nil is all.
func both(a, b []string) []string {
	if a == nil {
		return b
	}
	out := []string{}
	for _, x := range a {
		for _, y := range b {
			if x == y {
				out = append(out, x)
			}
		}
	}
	return out
}

// constraint reads one: machine types, or a zone.
func (m *mapper) constraint(b *Node) (types []string, zone string) {
	for _, k := range sortedKeys(b.Attrs) {
		if k != "attribute" && k != "operator" && k != "value" {
			m.bad(b.Attrs[k].At, "constraint: %s cannot be honoured; use attribute, operator and value", k)
		}
	}
	attr, op, val := m.text(b, "attribute", ""), m.text(b, "operator", "="), m.text(b, "value", "")
	list := []string{val}
	switch op {
	case "=", "==", "is":
	case "set_contains_any":
		list = strings.Split(val, ",")
		for i := range list {
			list[i] = strings.TrimSpace(list[i])
		}
	default:
		m.bad(b.At, "constraint: operator %q cannot be honoured; =, ==, is and set_contains_any can", op)
		return nil, ""
	}
	switch attr {
	case "${node.class}", "${attr.machine.type}":
		return list, ""
	case "${node.datacenter}", "${attr.zone}":
		if len(list) != 1 {
			m.bad(b.At, "constraint: one zone")
			return nil, ""
		}
		return nil, val
	}
	m.bad(b.At, "constraint: %s cannot be honoured; ${node.class} is the machine type, ${node.datacenter} the zone", attr)
	return nil, ""
}

// Words gives the job in the outer protocol's words.
func (n *Native) Words() map[string]any {
	var out map[string]any
	if err := protocol.Decode(protocol.Encode(n.Job), &out); err != nil {
		return nil // only our own types come here
	}
	return out
}
