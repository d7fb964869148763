// Package nomad reads job files in the format that HashiCorp Nomad publishes (HCL and JSON) and
// converts each group of a file into a native job, or reports why it cannot (docs/nomad.md).
// Nothing is changed silently: a file with a field that cannot be honoured is refused, and the
// problem names the field's position and the reason.
//
// The package has three parts:
//
//   - ReadHCL, ReadJSON and ReadAny parse and evaluate a file into a tree of Blocks
//     (hcl.go, variables.go, locals.go, expressions.go, functions.go, json.go);
//   - PlanJobs checks the tree against the table Fields and converts its groups
//     (plan.go, group.go, constraints.go, attributes.go, fields.go);
//   - ReadRules reads the operators' defaults for settings that job files omit (rules.go).
package nomad

import (
	"bytes"
	"fmt"
	"sort"
	"strings"

	"github.com/zclconf/go-cty/cty"
)

// Limits on a job file. A file that exceeds one of them is refused before or during its evaluation, so
// that a malicious file can neither exhaust memory nor keep the program busy for long.
const (
	MaxSourceSize    = 1 << 20 // size of a file in bytes
	maxBracketDepth  = 60      // nesting depth of brackets
	maxValueSize     = 1 << 20 // estimated size of an evaluated value in bytes
	maxItems         = 1024    // largest argument of the function range; maximum number of blocks that a dynamic block expands to
	maxNodes         = 50000   // total number of blocks and attributes
	maxForDepth      = 2       // nesting depth of for expressions
	maxProblems      = 100     // problems reported per file
	maxQuotedLineLen = 200     // bytes of the source line that is quoted with a problem
)

// Block is a block of a job file after evaluation.
type Block struct {
	Type       string
	Labels     []string
	Attributes map[string]Attribute
	Blocks     []*Block
	Position   string // file:line,column, or the path in a JSON file
}

// label returns the block's first label, or "" if it has none.
func (b *Block) label() string {
	if len(b.Labels) == 0 {
		return ""
	}
	return b.Labels[0]
}

// positionOf returns the position of an attribute, or that of the block if the attribute is not set.
func (b *Block) positionOf(attribute string) string {
	if a, ok := b.Attributes[attribute]; ok {
		return a.Position
	}
	return b.Position
}

// blocksOfType returns the directly nested blocks of the given type in file order.
func (b *Block) blocksOfType(blockType string) []*Block {
	var blocks []*Block
	for _, nested := range b.Blocks {
		if nested.Type == blockType {
			blocks = append(blocks, nested)
		}
	}
	return blocks
}

// Attribute is an attribute of a block after evaluation.
type Attribute struct {
	Value    cty.Value
	Position string
}

// Inputs holds values for a file's variables. Vars take precedence over Files, and Files over Env.
type Inputs struct {
	Env   []string // NAME=VALUE; only names that start with NOMAD_VAR_ are used
	Files []string // paths of variable files, given with -var-file
	Vars  []string // name=value texts given with -var
}

// Problems is the error returned for a refused file. It lists every problem found, each with its
// position.
type Problems []string

// Error returns the problems, separated by line breaks.
func (p Problems) Error() string { return strings.Join(p, "\n") }

// add appends a problem; problems beyond maxProblems are dropped.
func (p *Problems) add(format string, args ...any) {
	if len(*p) < maxProblems {
		*p = append(*p, fmt.Sprintf(format, args...))
	}
}

// ReadAny evaluates a job file in HCL or JSON and returns its job block. A file that starts with a
// brace is read as JSON. The error is of type Problems.
func ReadAny(file string, source []byte, inputs Inputs) (*Block, error) {
	if text := bytes.TrimSpace(source); len(text) > 0 && text[0] == '{' {
		return ReadJSON(file, source)
	}
	return ReadHCL(file, source, inputs)
}

// checkSource returns an error if a source is too large, or its brackets are nested too deep, to be
// parsed safely.
func checkSource(file string, source []byte) error {
	if len(source) > MaxSourceSize {
		return Problems{fmt.Sprintf("%s: larger than %d bytes", file, MaxSourceSize)}
	}
	if line := firstLineTooDeep(source); line > 0 {
		return Problems{fmt.Sprintf("%s:%d: brackets inside each other more than %d deep", file, line, maxBracketDepth)}
	}
	return nil
}

// firstLineTooDeep returns the number of the first line on which brackets are nested deeper than
// maxBracketDepth, or 0 if there is none. The limit bounds the recursion of the parsers. Brackets in
// strings are counted, too; this is acceptable because no ordinary file comes near the limit.
func firstLineTooDeep(source []byte) int {
	depth, line := 0, 1
	for _, c := range source {
		switch c {
		case '\n':
			line++
		case '{', '[', '(':
			if depth++; depth > maxBracketDepth {
				return line
			}
		case '}', ']', ')':
			depth = max(0, depth-1)
		}
	}
	return 0
}

// sortedKeys returns the keys of a map in ascending order, so that problems are reported in a
// deterministic order.
func sortedKeys[V any](values map[string]V) []string {
	var keys []string
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
