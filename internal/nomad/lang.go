// Package nomad reads job files of Nomad's published format and says which
// native jobs they are, or why not (docs/nomad.md). Nothing is changed quietly:
// a field that cannot be honoured is refused with its place and its reason.
package nomad

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"sort"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/ext/typeexpr"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"
	"github.com/zclconf/go-cty/cty/function"
	"github.com/zclconf/go-cty/cty/function/stdlib"
)

// Bounds of a file: what is larger is refused before, or while, it is read.
const (
	MaxSource = 1 << 20 // bytes
	maxDepth  = 60      // of brackets
	maxSize   = 1 << 20 // bytes of a value
	maxItems  = 1024    // of a range, or copies of a dynamic block
	maxNodes  = 50000   // blocks and attributes in all
	maxLoops  = 2       // for expressions inside each other
)

// Node is a block as it was evaluated.
type Node struct {
	Type   string
	Labels []string
	Attrs  map[string]Value
	Blocks []*Node
	At     string // file:line,column
}

// Value is an attribute as it was evaluated.
type Value struct {
	V  cty.Value
	At string
}

// Inputs are values for variables, the later before the earlier.
type Inputs struct {
	Env   []string // NAME=VALUE; NOMAD_VAR_name counts
	Files []string // -var-file
	Vars  []string // -var name=value
}

// Problems are all that is wrong with a file, a line or more each.
type Problems []string

// Error lists them, a line or more each.
func (p Problems) Error() string { return strings.Join(p, "\n") }

// mostProblems are told of one file.
const mostProblems = 100

func (p *Problems) add(format string, a ...any) {
	if len(*p) < mostProblems {
		*p = append(*p, fmt.Sprintf(format, a...))
	}
}

type reader struct {
	file  string
	src   []byte
	ctx   *hcl.EvalContext
	probs Problems
	nodes int
}

func (r *reader) at(g hcl.Range) string {
	return fmt.Sprintf("%s:%d,%d", g.Filename, g.Start.Line, g.Start.Column)
}

// bad notes a problem with its place and its source line.
func (r *reader) bad(g hcl.Range, format string, a ...any) {
	line := ""
	if l := strings.Split(string(r.src), "\n"); g.Filename == r.file && g.Start.Line > 0 && g.Start.Line <= len(l) {
		line = strings.TrimSpace(l[g.Start.Line-1])
		if len(line) > 200 {
			line = line[:200] + "..."
		}
		line = "\n    " + line
	}
	r.probs.add("%s: %s%s", r.at(g), fmt.Sprintf(format, a...), line)
}

func (r *reader) diags(d hcl.Diagnostics) {
	for _, x := range d {
		if x.Severity != hcl.DiagError {
			continue
		}
		g := hcl.Range{Filename: r.file}
		if x.Subject != nil {
			g = *x.Subject
		}
		text := x.Summary
		if x.Detail != "" {
			text += ": " + x.Detail
		}
		r.bad(g, "%s", strings.Join(strings.Fields(text), " "))
	}
}

// runtime names are replaced on the machine; in a file they stay as written.
var runtime = regexp.MustCompile(`^(NOMAD_[A-Za-z0-9_]+|node|attr|meta|env|device)$`)

// Read evaluates a job file in HCL and gives its job block.
func Read(file string, src []byte, in Inputs) (*Node, error) {
	r := &reader{file: file, src: src}
	if len(src) > MaxSource {
		return nil, Problems{fmt.Sprintf("%s: larger than %d bytes", file, MaxSource)}
	}
	if line := tooDeep(src); line > 0 {
		return nil, Problems{fmt.Sprintf("%s:%d: brackets inside each other more than %d deep", file, line, maxDepth)}
	}
	f, d := hclsyntax.ParseConfig(src, file, hcl.InitialPos)
	r.diags(d)
	if len(r.probs) > 0 {
		return nil, r.probs
	}
	body := f.Body.(*hclsyntax.Body)
	for _, a := range body.Attributes {
		r.bad(a.SrcRange, "%q stands outside of any block", a.Name)
	}
	var job *hclsyntax.Block
	var vars, locals []*hclsyntax.Block
	for _, b := range body.Blocks {
		switch {
		case b.Type == "variable" && len(b.Labels) == 1:
			vars = append(vars, b)
		case b.Type == "locals":
			locals = append(locals, b)
		case b.Type == "job" && len(b.Labels) == 1 && job == nil:
			job = b
		case b.Type == "job":
			r.bad(b.DefRange(), "one job block with one label is needed")
		default:
			r.bad(b.DefRange(), "%q is no block of a job file", b.Type)
		}
	}
	if job == nil && len(r.probs) == 0 {
		r.probs.add("%s: there is no job block", file)
	}
	r.ctx = &hcl.EvalContext{Functions: functions, Variables: map[string]cty.Value{}}
	r.variables(vars, in)
	r.locals(locals)
	if len(r.probs) > 0 {
		return nil, r.probs
	}
	n := r.block(job.Type, job.Labels, job.Body, job.DefRange(), r.ctx)
	if len(r.probs) > 0 {
		return nil, r.probs
	}
	return n, nil
}

// tooDeep gives the line at which brackets nest too deep for the parser's
// stack; brackets in strings count, too, which no sane file notices.
func tooDeep(src []byte) int {
	depth, line := 0, 1
	for _, c := range src {
		switch c {
		case '\n':
			line++
		case '{', '[', '(':
			if depth++; depth > maxDepth {
				return line
			}
		case '}', ']', ')':
			depth = max(0, depth-1)
		}
	}
	return 0
}

func (r *reader) variables(blocks []*hclsyntax.Block, in Inputs) {
	types, vals := map[string]cty.Type{}, map[string]cty.Value{}
	where := map[string]hcl.Range{}
	for _, b := range blocks {
		name := b.Labels[0]
		if _, twice := types[name]; twice {
			r.bad(b.DefRange(), "variable %q is there twice", name)
			continue
		}
		types[name], where[name] = cty.DynamicPseudoType, b.DefRange()
		if a := b.Body.Attributes["type"]; a != nil {
			t, d := typeexpr.TypeConstraint(a.Expr)
			r.diags(d)
			types[name] = t
		}
		if a := b.Body.Attributes["default"]; a != nil {
			if v, ok := r.eval(a.Expr, r.ctx); ok {
				vals[name] = v
			}
		}
	}
	set := func(from, name string, expr hcl.Expression, text string) {
		t, known := types[name]
		if !known {
			r.probs.add("%s: there is no variable %q", from, name)
			return
		}
		if expr == nil && (t == cty.String || t == cty.DynamicPseudoType) {
			vals[name] = cty.StringVal(text)
			return
		}
		if expr == nil {
			e, d := hclsyntax.ParseExpression([]byte(text), from, hcl.InitialPos)
			if d.HasErrors() {
				r.probs.add("%s: variable %q: %q is no value", from, name, text)
				return
			}
			expr = e
		}
		if v, ok := r.eval(expr, r.ctx); ok {
			vals[name] = v
		}
	}
	for _, e := range in.Env {
		if k, v, ok := strings.Cut(e, "="); ok && strings.HasPrefix(k, "NOMAD_VAR_") {
			if _, known := types[strings.TrimPrefix(k, "NOMAD_VAR_")]; known { // others are of other files
				set("environment", strings.TrimPrefix(k, "NOMAD_VAR_"), nil, v)
			}
		}
	}
	for _, name := range in.Files {
		b, err := os.ReadFile(name)
		switch {
		case err != nil:
			r.probs.add("%s: not read: %v", name, err)
			continue
		case len(b) > MaxSource:
			r.probs.add("%s: larger than %d bytes", name, MaxSource)
			continue
		case tooDeep(b) > 0:
			r.probs.add("%s: brackets too deep", name)
			continue
		}
		f, d := hclsyntax.ParseConfig(b, name, hcl.InitialPos)
		r.diags(d)
		if d.HasErrors() {
			continue
		}
		attrs, d := f.Body.JustAttributes()
		r.diags(d)
		for _, k := range sortedKeys(attrs) {
			set(name, k, attrs[k].Expr, "")
		}
	}
	for _, kv := range in.Vars {
		k, v, ok := strings.Cut(kv, "=")
		if !ok {
			r.probs.add("-var %q: must be name=value", kv)
			continue
		}
		set("-var", k, nil, v)
	}
	obj := map[string]cty.Value{}
	for _, name := range sortedKeys(types) {
		v, ok := vals[name]
		if !ok {
			r.bad(where[name], "variable %q has no value: give -var %s=...", name, name)
			continue
		}
		if types[name] != cty.DynamicPseudoType {
			c, err := convert.Convert(v, types[name])
			if err != nil {
				r.bad(where[name], "variable %q: %v", name, err)
				continue
			}
			v = c
		}
		obj[name] = v
	}
	r.ctx.Variables["var"] = object(obj)
}

func object(m map[string]cty.Value) cty.Value {
	if len(m) == 0 {
		return cty.EmptyObjectVal
	}
	return cty.ObjectVal(m)
}

func sortedKeys[V any](m map[string]V) []string {
	var k []string
	for x := range m {
		k = append(k, x)
	}
	sort.Strings(k)
	return k
}

// locals are evaluated when what they use has been; those that never are use
// each other.
func (r *reader) locals(blocks []*hclsyntax.Block) {
	left := map[string]*hclsyntax.Attribute{}
	for _, b := range blocks {
		for name, a := range b.Body.Attributes {
			if left[name] != nil {
				r.bad(a.SrcRange, "local %q is there twice", name)
			}
			left[name] = a
		}
	}
	known := map[string]cty.Value{}
	r.ctx.Variables["local"] = cty.EmptyObjectVal
	for len(left) > 0 {
		progress := false
		for _, name := range sortedKeys(left) {
			ready := true
			for _, t := range left[name].Expr.Variables() {
				if t.RootName() == "local" && len(t) > 1 {
					if a, ok := t[1].(hcl.TraverseAttr); ok && left[a.Name] != nil {
						ready = false
					}
				}
			}
			if !ready {
				continue
			}
			v, ok := r.eval(left[name].Expr, r.ctx)
			delete(left, name)
			progress = true
			if ok {
				known[name] = v
				r.ctx.Variables["local"] = object(known)
			}
		}
		if !progress {
			names := sortedKeys(left)
			r.bad(left[names[0]].SrcRange, "locals use each other in a circle: %s", strings.Join(names, ", "))
			return
		}
	}
}

// eval evaluates an expression within the bounds; runtime names stay as they
// are written.
func (r *reader) eval(e hcl.Expression, ctx *hcl.EvalContext) (cty.Value, bool) {
	if x, ok := e.(hclsyntax.Expression); ok && loops(x) > maxLoops {
		r.bad(e.Range(), "for expressions inside each other more than %d deep", maxLoops)
		return cty.NilVal, false
	}
	run := map[string]cty.Value{}
	for _, t := range e.Variables() {
		if root := t.RootName(); runtime.MatchString(root) {
			v, err := literal(run[root], t[1:], "${"+spell(t)+"}")
			if err != nil {
				r.bad(t.SourceRange(), "%s is used both as a value and as a group of values", spell(t))
				return cty.NilVal, false
			}
			run[root] = v
		}
	}
	if len(run) > 0 {
		ctx = ctx.NewChild()
		ctx.Variables = run
	}
	v, d := e.Value(ctx)
	if d.HasErrors() {
		r.diags(d)
		return cty.NilVal, false
	}
	if !v.IsWhollyKnown() {
		r.bad(e.Range(), "the value cannot be worked out")
		return cty.NilVal, false
	}
	if size(v) > maxSize {
		r.bad(e.Range(), "the value is larger than %d bytes", maxSize)
		return cty.NilVal, false
	}
	return v, true
}

// loops is how deep for expressions are inside each other.
func loops(e hclsyntax.Expression) int {
	w := &loopWalker{}
	_ = hclsyntax.Walk(e, w)
	return w.most
}

type loopWalker struct{ now, most int }

func (w *loopWalker) Enter(n hclsyntax.Node) hcl.Diagnostics {
	if _, ok := n.(*hclsyntax.ForExpr); ok {
		w.now++
		w.most = max(w.most, w.now)
	}
	return nil
}

func (w *loopWalker) Exit(n hclsyntax.Node) hcl.Diagnostics {
	if _, ok := n.(*hclsyntax.ForExpr); ok {
		w.now--
	}
	return nil
}

// spell writes a traversal as in the file.
func spell(t hcl.Traversal) string {
	s := t.RootName()
	for _, x := range t[1:] {
		switch x := x.(type) {
		case hcl.TraverseAttr:
			s += "." + x.Name
		case hcl.TraverseIndex:
			if x.Key.Type() == cty.String {
				s += fmt.Sprintf("[%q]", x.Key.AsString())
			}
		}
	}
	return s
}

// literal adds to v the path that leads to a text.
func literal(v cty.Value, path hcl.Traversal, text string) (cty.Value, error) {
	if len(path) == 0 {
		if v != cty.NilVal && v.Type() != cty.String {
			return v, errors.New("both")
		}
		return cty.StringVal(text), nil
	}
	m := map[string]cty.Value{}
	if v != cty.NilVal {
		if !v.Type().IsObjectType() {
			return v, errors.New("both")
		}
		for k, x := range v.AsValueMap() {
			m[k] = x
		}
	}
	key := ""
	switch x := path[0].(type) {
	case hcl.TraverseAttr:
		key = x.Name
	case hcl.TraverseIndex:
		if x.Key.Type() != cty.String {
			return v, errors.New("index")
		}
		key = x.Key.AsString()
	default:
		return v, errors.New("splat")
	}
	sub, err := literal(m[key], path[1:], text)
	if err != nil {
		return v, err
	}
	m[key] = sub
	return cty.ObjectVal(m), nil
}

// size is about what a value takes, up to the bound.
func size(v cty.Value) (n int) {
	_ = cty.Walk(v, func(_ cty.Path, x cty.Value) (bool, error) {
		n += 16
		if x.Type() == cty.String && x.IsKnown() && !x.IsNull() {
			n += len(x.AsString())
		}
		return n <= maxSize, nil
	})
	return n
}

func (r *reader) count(g hcl.Range) bool {
	if r.nodes++; r.nodes == maxNodes+1 {
		r.bad(g, "more than %d blocks and attributes", maxNodes)
	}
	return r.nodes <= maxNodes
}

func (r *reader) block(typ string, labels []string, b *hclsyntax.Body, g hcl.Range, ctx *hcl.EvalContext) *Node {
	n := &Node{Type: typ, Labels: labels, Attrs: map[string]Value{}, At: r.at(g)}
	for _, name := range sortedKeys(b.Attributes) {
		a := b.Attributes[name]
		if !r.count(a.SrcRange) {
			return n
		}
		if v, ok := r.eval(a.Expr, ctx); ok && !v.IsNull() {
			n.Attrs[name] = Value{v, r.at(a.SrcRange)}
		}
	}
	for _, x := range b.Blocks {
		if !r.count(x.DefRange()) {
			return n
		}
		if x.Type == "dynamic" {
			n.Blocks = append(n.Blocks, r.dynamic(x, ctx)...)
			continue
		}
		n.Blocks = append(n.Blocks, r.block(x.Type, x.Labels, x.Body, x.DefRange(), ctx))
	}
	return n
}

// dynamic makes a block for each element of for_each.
func (r *reader) dynamic(b *hclsyntax.Block, ctx *hcl.EvalContext) (out []*Node) {
	each := b.Body.Attributes["for_each"]
	var content *hclsyntax.Block
	for _, x := range b.Body.Blocks {
		if x.Type == "content" {
			content = x
		}
	}
	if len(b.Labels) != 1 || each == nil || content == nil {
		r.bad(b.DefRange(), "a dynamic block needs a label, for_each and content")
		return nil
	}
	name := b.Labels[0]
	if it := b.Body.Attributes["iterator"]; it != nil {
		if name = hcl.ExprAsKeyword(it.Expr); name == "" {
			r.bad(it.SrcRange, "iterator must be a name")
			return nil
		}
	}
	list, ok := r.eval(each.Expr, ctx)
	if !ok {
		return nil
	}
	if list.IsNull() || !list.CanIterateElements() || list.LengthInt() > maxItems {
		r.bad(each.SrcRange, "for_each must be a list, set or map of at most %d", maxItems)
		return nil
	}
	for it := list.ElementIterator(); it.Next(); {
		k, v := it.Element()
		child := ctx.NewChild()
		child.Variables = map[string]cty.Value{name: cty.ObjectVal(map[string]cty.Value{"key": k, "value": v})}
		var labels []string
		if l := b.Body.Attributes["labels"]; l != nil {
			lv, ok := r.eval(l.Expr, child)
			if !ok {
				return out
			}
			if !lv.CanIterateElements() {
				r.bad(l.SrcRange, "labels must be a list")
				return out
			}
			for li := lv.ElementIterator(); li.Next(); {
				_, x := li.Element()
				if x.Type() == cty.String {
					labels = append(labels, x.AsString())
				}
			}
		}
		if !r.count(b.DefRange()) {
			return out
		}
		out = append(out, r.block(b.Labels[0], labels, content.Body, content.DefRange(), child))
	}
	return out
}

var errLarge = fmt.Errorf("the result is larger than %d bytes", maxSize)

// bounded lets a function run only if what it may make is small enough.
func bounded(f function.Function, most func(args []cty.Value) int) function.Function {
	return function.New(&function.Spec{Params: f.Params(), VarParam: f.VarParam(),
		Type: f.ReturnTypeForValues,
		Impl: func(args []cty.Value, _ cty.Type) (cty.Value, error) {
			if most(args) > maxSize {
				return cty.NilVal, errLarge
			}
			return f.Call(args)
		}})
}

func total(args []cty.Value) (n int) {
	for _, a := range args {
		n += size(a)
	}
	return n
}

var wide = regexp.MustCompile(`%[^a-zA-Z%]*[0-9*]{4,}`)

// functions are those of the language that can neither read the machine nor
// make much out of little.
var functions = map[string]function.Function{
	"abs": stdlib.AbsoluteFunc, "ceil": stdlib.CeilFunc, "floor": stdlib.FloorFunc, "max": stdlib.MaxFunc, "min": stdlib.MinFunc,
	"signum": stdlib.SignumFunc, "parseint": stdlib.ParseIntFunc,
	"upper": stdlib.UpperFunc, "lower": stdlib.LowerFunc, "title": stdlib.TitleFunc, "trimspace": stdlib.TrimSpaceFunc, "trim": stdlib.TrimFunc,
	"trimprefix": stdlib.TrimPrefixFunc, "trimsuffix": stdlib.TrimSuffixFunc, "chomp": stdlib.ChompFunc, "strlen": stdlib.StrlenFunc,
	"substr": stdlib.SubstrFunc, "split": stdlib.SplitFunc, "strrev": stdlib.ReverseFunc, "regex": stdlib.RegexFunc,
	"join": bounded(stdlib.JoinFunc, func(a []cty.Value) int { return size(a[0])*(total(a[1:])/16+1) + total(a) }),
	"replace": bounded(stdlib.ReplaceFunc, func(a []cty.Value) int {
		return (size(a[0]) - 15) * max(1, size(a[2])-16)
	}),
	"format": bounded(stdlib.FormatFunc, func(a []cty.Value) int {
		if wide.MatchString(a[0].AsString()) {
			return maxSize + 1
		}
		return total(a)
	}),
	"range": bounded(stdlib.RangeFunc, func(a []cty.Value) int {
		for _, x := range a {
			if f, _ := x.AsBigFloat().Float64(); f > maxItems || f < -maxItems {
				return maxSize + 1
			}
		}
		if len(a) == 3 {
			if f, _ := a[2].AsBigFloat().Float64(); f < 1 && f > -1 {
				return maxSize + 1
			}
		}
		return 0
	}),
	"concat": stdlib.ConcatFunc, "contains": stdlib.ContainsFunc, "distinct": stdlib.DistinctFunc, "element": stdlib.ElementFunc,
	"flatten": stdlib.FlattenFunc, "keys": stdlib.KeysFunc, "values": stdlib.ValuesFunc, "length": stdlib.LengthFunc, "lookup": stdlib.LookupFunc,
	"merge": stdlib.MergeFunc, "reverse": stdlib.ReverseListFunc, "slice": stdlib.SliceFunc, "sort": stdlib.SortFunc, "zipmap": stdlib.ZipmapFunc,
	"compact": stdlib.CompactFunc, "coalesce": stdlib.CoalesceFunc, "setunion": stdlib.SetUnionFunc, "setintersection": stdlib.SetIntersectionFunc,
	"jsonencode": stdlib.JSONEncodeFunc, "jsondecode": stdlib.JSONDecodeFunc,
	"tostring": stdlib.MakeToFunc(cty.String), "tonumber": stdlib.MakeToFunc(cty.Number), "tobool": stdlib.MakeToFunc(cty.Bool),
	"tolist": stdlib.MakeToFunc(cty.List(cty.DynamicPseudoType)), "toset": stdlib.MakeToFunc(cty.Set(cty.DynamicPseudoType)),
	"tomap": stdlib.MakeToFunc(cty.Map(cty.DynamicPseudoType)),
}
