package nomad

import (
	"errors"
	"fmt"
	"maps"
	"regexp"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
)

// runtimeNamePattern matches the names whose values are known only on the machine that runs the
// task. References to them are kept as they are written in the file.
var runtimeNamePattern = regexp.MustCompile(`^(NOMAD_[A-Za-z0-9_]+|node|attr|meta|env|device)$`)

// Errors of setAtPath for references to runtime names that cannot be kept as they are written. Users do
// not see these errors: runtimeValues reports the same message for all of them.
var (
	errValueAndObject  = errors.New("both a value and an object of values")
	errIndexNotString  = errors.New("an index that is not a string")
	errUnsupportedStep = errors.New("a step that is neither an attribute nor an index")
)

// evaluate returns the value of an expression. References to runtime names in the expression are kept
// as they are written. If the evaluation fails or exceeds a limit, evaluate reports this, and the
// second result is false.
func (r *hclReader) evaluate(expression hcl.Expression, context *hcl.EvalContext) (cty.Value, bool) {
	if syntax, ok := expression.(hclsyntax.Expression); ok && forDepth(syntax) > maxForDepth {
		r.report(expression.Range(), "for expressions inside each other more than %d deep", maxForDepth)
		return cty.NilVal, false
	}
	verbatim, ok := r.runtimeValues(expression)
	if !ok {
		return cty.NilVal, false
	}
	if len(verbatim) > 0 {
		context = context.NewChild()
		context.Variables = verbatim
	}
	value, diagnostics := expression.Value(context)
	if diagnostics.HasErrors() {
		r.reportDiagnostics(diagnostics)
		return cty.NilVal, false
	}
	if !value.IsWhollyKnown() {
		r.report(expression.Range(), "the value cannot be worked out")
		return cty.NilVal, false
	}
	if valueSize(value) > maxValueSize {
		r.report(expression.Range(), "the value is larger than %d bytes", maxValueSize)
		return cty.NilVal, false
	}
	return value, true
}

// runtimeValues returns a value for each runtime name in an expression. With these values, each
// reference evaluates to its own source text, such as "${node.class}". The second result is false if
// a problem was reported.
func (r *hclReader) runtimeValues(expression hcl.Expression) (map[string]cty.Value, bool) {
	verbatim := map[string]cty.Value{}
	for _, traversal := range expression.Variables() {
		root := traversal.RootName()
		if !runtimeNamePattern.MatchString(root) {
			continue
		}
		spelling := formatTraversal(traversal)
		value, err := setAtPath(verbatim[root], traversal[1:], "${"+spelling+"}")
		if err != nil {
			r.report(traversal.SourceRange(), "%s is used both as a value and as a group of values", spelling)
			return nil, false
		}
		verbatim[root] = value
	}
	return verbatim, true
}

// forDepth returns the maximum nesting depth of the for expressions in an expression. The cost of
// an evaluation grows exponentially with this depth.
func forDepth(expression hclsyntax.Expression) int {
	walker := &forDepthWalker{}
	_ = hclsyntax.Walk(expression, walker) // the walker returns no diagnostics
	return walker.deepest
}

// forDepthWalker implements hclsyntax.Walker. It measures the nesting depth of for expressions.
type forDepthWalker struct{ depth, deepest int }

// Enter increments the depth at a for expression.
func (w *forDepthWalker) Enter(node hclsyntax.Node) hcl.Diagnostics {
	if _, ok := node.(*hclsyntax.ForExpr); ok {
		w.depth++
		w.deepest = max(w.deepest, w.depth)
	}
	return nil
}

// Exit decrements the depth after a for expression.
func (w *forDepthWalker) Exit(node hclsyntax.Node) hcl.Diagnostics {
	if _, ok := node.(*hclsyntax.ForExpr); ok {
		w.depth--
	}
	return nil
}

// formatTraversal returns the source text of a traversal.
func formatTraversal(traversal hcl.Traversal) string {
	spelling := traversal.RootName()
	for _, step := range traversal[1:] {
		switch step := step.(type) {
		case hcl.TraverseAttr:
			spelling += "." + step.Name
		case hcl.TraverseIndex:
			if step.Key.Type() == cty.String {
				spelling += fmt.Sprintf("[%q]", step.Key.AsString())
			}
		}
	}
	return spelling
}

// setAtPath returns a copy of value in which text is set at the path. value is NilVal if nothing is
// set yet. setAtPath creates the objects that are missing along the path. It returns an error if a
// value and an object would be needed at the same place, or if a step of the path is neither an
// attribute nor a string index.
func setAtPath(value cty.Value, path hcl.Traversal, text string) (cty.Value, error) {
	if len(path) == 0 {
		if value != cty.NilVal && value.Type() != cty.String {
			return value, errValueAndObject
		}
		return cty.StringVal(text), nil
	}
	members := map[string]cty.Value{}
	if value != cty.NilVal {
		if !value.Type().IsObjectType() {
			return value, errValueAndObject
		}
		maps.Copy(members, value.AsValueMap())
	}
	key, err := stepName(path[0])
	if err != nil {
		return value, err
	}
	member, err := setAtPath(members[key], path[1:], text)
	if err != nil {
		return value, err
	}
	members[key] = member
	return cty.ObjectVal(members), nil
}

// stepName returns the name of the attribute, or the string index, that a step selects.
func stepName(step hcl.Traverser) (string, error) {
	switch step := step.(type) {
	case hcl.TraverseAttr:
		return step.Name, nil
	case hcl.TraverseIndex:
		if step.Key.Type() != cty.String {
			return "", errIndexNotString
		}
		return step.Key.AsString(), nil
	default:
		return "", errUnsupportedStep
	}
}

// valueOverhead is the estimated memory of a value in bytes, not counting its text.
const valueOverhead = 16

// valueSize estimates the memory that a value occupies, in bytes. It stops descending into nested
// values once the size exceeds maxValueSize.
func valueSize(value cty.Value) int {
	size := 0
	_ = cty.Walk(value, func(_ cty.Path, part cty.Value) (bool, error) { // the callback returns no error
		size += valueOverhead
		if part.Type() == cty.String && part.IsKnown() && !part.IsNull() {
			size += len(part.AsString())
		}
		return size <= maxValueSize, nil
	})
	return size
}
