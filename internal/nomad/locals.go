package nomad

import (
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
)

// evaluateLocals evaluates the locals in the order of their dependencies. Expressions refer to the
// values as local.NAME. Locals that depend on each other in a cycle are reported.
func (r *hclReader) evaluateLocals(blocks []*hclsyntax.Block) {
	pending := r.collectLocals(blocks)
	values := map[string]cty.Value{}
	r.context.Variables["local"] = cty.EmptyObjectVal
	for len(pending) > 0 {
		progress := false
		for _, name := range sortedKeys(pending) {
			expression := pending[name].Expr
			if refersToPending(expression, pending) {
				continue
			}
			value, ok := r.evaluate(expression, r.context)
			delete(pending, name)
			progress = true
			if ok {
				values[name] = value
				r.context.Variables["local"] = objectValue(values)
			}
		}
		// Every remaining local depends on another remaining one: there is a cycle.
		if !progress {
			names := sortedKeys(pending)
			r.report(pending[names[0]].SrcRange, "locals use each other in a circle: %s", strings.Join(names, ", "))
			return
		}
	}
}

// collectLocals returns the attributes of all locals blocks by name. A name that is declared twice
// is reported.
func (r *hclReader) collectLocals(blocks []*hclsyntax.Block) map[string]*hclsyntax.Attribute {
	locals := map[string]*hclsyntax.Attribute{}
	for _, block := range blocks {
		for name, attribute := range block.Body.Attributes {
			if locals[name] != nil {
				r.report(attribute.SrcRange, "local %q is there twice", name)
			}
			locals[name] = attribute
		}
	}
	return locals
}

// refersToPending reports whether an expression refers to a local that is not evaluated yet.
func refersToPending(expression hclsyntax.Expression, pending map[string]*hclsyntax.Attribute) bool {
	for _, traversal := range expression.Variables() {
		if traversal.RootName() != "local" || len(traversal) < 2 {
			continue
		}
		if step, ok := traversal[1].(hcl.TraverseAttr); ok && pending[step.Name] != nil {
			return true
		}
	}
	return false
}
