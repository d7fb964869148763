package nomad

import (
	"fmt"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
)

// hclReader evaluates one job file in HCL.
type hclReader struct {
	file      string
	source    []byte
	context   *hcl.EvalContext
	problems  Problems
	nodeCount int // number of blocks and attributes evaluated so far
}

// ReadHCL evaluates a job file in HCL and returns its job block. The error is of type Problems.
func ReadHCL(file string, source []byte, inputs Inputs) (*Block, error) {
	if err := checkSource(file, source); err != nil {
		return nil, err
	}
	r := &hclReader{file: file, source: source}
	parsed, diagnostics := hclsyntax.ParseConfig(source, file, hcl.InitialPos)
	r.reportDiagnostics(diagnostics)
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	top := r.topLevelBlocks(parsed.Body.(*hclsyntax.Body))
	r.context = &hcl.EvalContext{Functions: functions, Variables: map[string]cty.Value{}}
	r.evaluateVariables(top.variables, inputs)
	r.evaluateLocals(top.locals)
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	job := r.block(top.job.Type, top.job.Labels, top.job.Body, top.job.DefRange(), r.context)
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	return job, nil
}

// topLevel holds the top-level blocks of a file by type.
type topLevel struct {
	job       *hclsyntax.Block
	variables []*hclsyntax.Block
	locals    []*hclsyntax.Block
}

// topLevelBlocks groups the top-level blocks of a file by type. It reports attributes at the top level,
// blocks of other types, and additional job blocks. If the file has no valid job block, it reports a
// problem and leaves the job nil.
func (r *hclReader) topLevelBlocks(body *hclsyntax.Body) topLevel {
	for _, attribute := range body.Attributes {
		r.report(attribute.SrcRange, "%q stands outside of any block", attribute.Name)
	}
	var top topLevel
	for _, block := range body.Blocks {
		switch {
		case block.Type == "variable" && len(block.Labels) == 1:
			top.variables = append(top.variables, block)
		case block.Type == "locals":
			top.locals = append(top.locals, block)
		case block.Type == "job" && len(block.Labels) == 1 && top.job == nil:
			top.job = block
		case block.Type == "job":
			r.report(block.DefRange(), "one job block with one label is needed")
		default:
			r.report(block.DefRange(), "%q is no block of a job file", block.Type)
		}
	}
	if top.job == nil && len(r.problems) == 0 {
		r.problems.add("%s: there is no job block", r.file)
	}
	return top
}

// formatPosition returns the start of a source range as file:line,column.
func formatPosition(sourceRange hcl.Range) string {
	return fmt.Sprintf("%s:%d,%d", sourceRange.Filename, sourceRange.Start.Line, sourceRange.Start.Column)
}

// report adds a problem with its position and the source line at this position.
func (r *hclReader) report(sourceRange hcl.Range, format string, args ...any) {
	r.problems.add("%s: %s%s", formatPosition(sourceRange), fmt.Sprintf(format, args...), r.quotedLine(sourceRange))
}

// quotedLine returns a line break and the first source line of a range, indented. If the range is not
// in the job file, it returns "".
func (r *hclReader) quotedLine(sourceRange hcl.Range) string {
	lines := strings.Split(string(r.source), "\n")
	if sourceRange.Filename != r.file || sourceRange.Start.Line <= 0 || sourceRange.Start.Line > len(lines) {
		return ""
	}
	line := strings.TrimSpace(lines[sourceRange.Start.Line-1])
	if len(line) > maxQuotedLineLen {
		line = line[:maxQuotedLineLen] + "..."
	}
	return "\n    " + line
}

// reportDiagnostics reports the errors among the diagnostics of the HCL library and drops warnings.
func (r *hclReader) reportDiagnostics(diagnostics hcl.Diagnostics) {
	for _, diagnostic := range diagnostics {
		if diagnostic.Severity != hcl.DiagError {
			continue
		}
		sourceRange := hcl.Range{Filename: r.file}
		if diagnostic.Subject != nil {
			sourceRange = *diagnostic.Subject
		}
		text := diagnostic.Summary
		if diagnostic.Detail != "" {
			text += ": " + diagnostic.Detail
		}
		r.report(sourceRange, "%s", strings.Join(strings.Fields(text), " "))
	}
}

// countNode counts a block or attribute and returns false if there are more than maxNodes. It
// reports a problem only when the limit is first exceeded.
func (r *hclReader) countNode(sourceRange hcl.Range) bool {
	r.nodeCount++
	if r.nodeCount == maxNodes+1 {
		r.report(sourceRange, "more than %d blocks and attributes", maxNodes)
	}
	return r.nodeCount <= maxNodes
}

// block evaluates the attributes of a block and, recursively, its nested blocks.
func (r *hclReader) block(blockType string, labels []string, body *hclsyntax.Body, sourceRange hcl.Range, context *hcl.EvalContext) *Block {
	block := &Block{
		Type:       blockType,
		Labels:     labels,
		Attributes: map[string]Attribute{},
		Position:   formatPosition(sourceRange),
	}
	for _, name := range sortedKeys(body.Attributes) {
		attribute := body.Attributes[name]
		if !r.countNode(attribute.SrcRange) {
			return block
		}
		if value, ok := r.evaluate(attribute.Expr, context); ok && !value.IsNull() {
			block.Attributes[name] = Attribute{value, formatPosition(attribute.SrcRange)}
		}
	}
	for _, nested := range body.Blocks {
		if !r.countNode(nested.DefRange()) {
			return block
		}
		if nested.Type == "dynamic" {
			block.Blocks = append(block.Blocks, r.dynamicBlocks(nested, context)...)
			continue
		}
		block.Blocks = append(block.Blocks, r.block(nested.Type, nested.Labels, nested.Body, nested.DefRange(), context))
	}
	return block
}

// dynamicBlocks expands a dynamic block into one block for each element of its for_each.
func (r *hclReader) dynamicBlocks(dynamic *hclsyntax.Block, context *hcl.EvalContext) []*Block {
	forEach := dynamic.Body.Attributes["for_each"]
	var content *hclsyntax.Block
	for _, nested := range dynamic.Body.Blocks {
		if nested.Type == "content" {
			content = nested
		}
	}
	if len(dynamic.Labels) != 1 || forEach == nil || content == nil {
		r.report(dynamic.DefRange(), "a dynamic block needs a label, for_each and content")
		return nil
	}
	iteratorName, ok := r.iteratorName(dynamic)
	if !ok {
		return nil
	}
	list, ok := r.evaluate(forEach.Expr, context)
	if !ok {
		return nil
	}
	if list.IsNull() || !list.CanIterateElements() || list.LengthInt() > maxItems {
		r.report(forEach.SrcRange, "for_each must be a list, set or map of at most %d", maxItems)
		return nil
	}
	var blocks []*Block
	for iterator := list.ElementIterator(); iterator.Next(); {
		key, value := iterator.Element()
		element := cty.ObjectVal(map[string]cty.Value{"key": key, "value": value})
		child := context.NewChild()
		child.Variables = map[string]cty.Value{iteratorName: element}
		labels, ok := r.dynamicLabels(dynamic, child)
		if !ok || !r.countNode(dynamic.DefRange()) {
			return blocks
		}
		blocks = append(blocks, r.block(dynamic.Labels[0], labels, content.Body, content.DefRange(), child))
	}
	return blocks
}

// iteratorName returns the name by which the content of a dynamic block refers to the current
// element. The iterator attribute sets the name; the default is the label. The second result is
// false if a problem was reported.
func (r *hclReader) iteratorName(dynamic *hclsyntax.Block) (string, bool) {
	iterator := dynamic.Body.Attributes["iterator"]
	if iterator == nil {
		return dynamic.Labels[0], true
	}
	name := hcl.ExprAsKeyword(iterator.Expr)
	if name == "" {
		r.report(iterator.SrcRange, "iterator must be a name")
		return "", false
	}
	return name, true
}

// dynamicLabels evaluates the labels attribute of a dynamic block for one element. The second
// result is false if a problem was reported.
func (r *hclReader) dynamicLabels(dynamic *hclsyntax.Block, context *hcl.EvalContext) ([]string, bool) {
	attribute := dynamic.Body.Attributes["labels"]
	if attribute == nil {
		return nil, true
	}
	list, ok := r.evaluate(attribute.Expr, context)
	if !ok {
		return nil, false
	}
	if !list.CanIterateElements() {
		r.report(attribute.SrcRange, "labels must be a list")
		return nil, false
	}
	var labels []string
	for iterator := list.ElementIterator(); iterator.Next(); {
		_, label := iterator.Element()
		if label.Type() == cty.String {
			labels = append(labels, label.AsString())
		}
	}
	return labels, true
}
