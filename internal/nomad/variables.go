package nomad

import (
	"os"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/ext/typeexpr"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"
)

// environmentPrefix is the prefix of environment variables that set variables of a job file.
const environmentPrefix = "NOMAD_VAR_"

// variable is a variable that the job file declares.
type variable struct {
	constraint cty.Type  // cty.DynamicPseudoType accepts any type
	declRange  hcl.Range // position of the declaration
	value      cty.Value // cty.NilVal if it has no value
}

// variableSet holds the declared variables by name.
type variableSet map[string]*variable

// evaluateVariables evaluates the variables that the blocks declare. Expressions refer to the
// values as var.NAME. Flags take precedence over variable files, files over the environment, and
// the environment over the declared defaults.
func (r *hclReader) evaluateVariables(blocks []*hclsyntax.Block, inputs Inputs) {
	variables := r.declareVariables(blocks)
	r.setFromEnvironment(variables, inputs.Env)
	for _, name := range inputs.Files {
		r.setFromFile(variables, name)
	}
	r.setFromFlags(variables, inputs.Vars)
	r.context.Variables["var"] = r.variableValues(variables)
}

// declareVariables returns the declared variables with their types and defaults.
func (r *hclReader) declareVariables(blocks []*hclsyntax.Block) variableSet {
	variables := variableSet{}
	for _, block := range blocks {
		name := block.Labels[0]
		if variables[name] != nil {
			r.report(block.DefRange(), "variable %q is there twice", name)
			continue
		}
		declared := &variable{constraint: cty.DynamicPseudoType, declRange: block.DefRange()}
		variables[name] = declared
		if attribute := block.Body.Attributes["type"]; attribute != nil {
			typeConstraint, diagnostics := typeexpr.TypeConstraint(attribute.Expr)
			r.reportDiagnostics(diagnostics)
			declared.constraint = typeConstraint
		}
		if attribute := block.Body.Attributes["default"]; attribute != nil {
			if value, ok := r.evaluate(attribute.Expr, r.context); ok {
				declared.value = value
			}
		}
	}
	return variables
}

// setFromEnvironment sets variables from NOMAD_VAR_name=value entries. Names that are not declared
// are ignored, since they may be meant for other job files.
func (r *hclReader) setFromEnvironment(variables variableSet, environment []string) {
	for _, entry := range environment {
		key, text, ok := strings.Cut(entry, "=")
		name, prefixed := strings.CutPrefix(key, environmentPrefix)
		if ok && prefixed && variables[name] != nil {
			r.setFromText(variables, "environment", name, text)
		}
	}
}

// setFromFile sets variables from an HCL file of attributes (name = expression).
func (r *hclReader) setFromFile(variables variableSet, file string) {
	source, err := os.ReadFile(file)
	switch {
	case err != nil:
		r.problems.add("%s: not read: %v", file, err)
		return
	case len(source) > MaxSourceSize:
		r.problems.add("%s: larger than %d bytes", file, MaxSourceSize)
		return
	case firstLineTooDeep(source) > 0:
		r.problems.add("%s: brackets too deep", file)
		return
	}
	parsed, diagnostics := hclsyntax.ParseConfig(source, file, hcl.InitialPos)
	r.reportDiagnostics(diagnostics)
	if diagnostics.HasErrors() {
		return
	}
	attributes, diagnostics := parsed.Body.JustAttributes()
	r.reportDiagnostics(diagnostics)
	for _, name := range sortedKeys(attributes) {
		if r.findVariable(variables, file, name) != nil {
			r.setFromExpression(variables[name], attributes[name].Expr)
		}
	}
}

// setFromFlags sets variables from the name=value texts of -var flags.
func (r *hclReader) setFromFlags(variables variableSet, flags []string) {
	for _, flag := range flags {
		name, text, ok := strings.Cut(flag, "=")
		if !ok {
			r.problems.add("-var %q: must be name=value", flag)
			continue
		}
		r.setFromText(variables, "-var", name, text)
	}
}

// findVariable returns the declared variable with the given name. If there is none, it reports this and
// returns nil. origin is the file or flag that sets the variable; the problem starts with it.
func (r *hclReader) findVariable(variables variableSet, origin, name string) *variable {
	declared := variables[name]
	if declared == nil {
		r.problems.add("%s: there is no variable %q", origin, name)
	}
	return declared
}

// setFromText sets a variable from text. The text is the value itself if the variable has the type
// string or no type; otherwise it is parsed as an expression.
func (r *hclReader) setFromText(variables variableSet, origin, name, text string) {
	declared := r.findVariable(variables, origin, name)
	if declared == nil {
		return
	}
	if declared.constraint == cty.String || declared.constraint == cty.DynamicPseudoType {
		declared.value = cty.StringVal(text)
		return
	}
	expression, diagnostics := hclsyntax.ParseExpression([]byte(text), origin, hcl.InitialPos)
	if diagnostics.HasErrors() {
		r.problems.add("%s: variable %q: %q is no value", origin, name, text)
		return
	}
	r.setFromExpression(declared, expression)
}

// setFromExpression sets a variable to the value of an expression. Errors are reported and leave
// the variable unchanged.
func (r *hclReader) setFromExpression(declared *variable, expression hcl.Expression) {
	if value, ok := r.evaluate(expression, r.context); ok {
		declared.value = value
	}
}

// variableValues returns an object of the variables' values, converted to the declared types. It
// reports variables without a value and values that cannot be converted.
func (r *hclReader) variableValues(variables variableSet) cty.Value {
	values := map[string]cty.Value{}
	for _, name := range sortedKeys(variables) {
		declared := variables[name]
		if declared.value == cty.NilVal {
			r.report(declared.declRange, "variable %q has no value: give -var %s=...", name, name)
			continue
		}
		if declared.constraint == cty.DynamicPseudoType {
			values[name] = declared.value
			continue
		}
		converted, err := convert.Convert(declared.value, declared.constraint)
		if err != nil {
			r.report(declared.declRange, "variable %q: %v", name, err)
			continue
		}
		values[name] = converted
	}
	return objectValue(values)
}

// objectValue returns an object with the given members. It exists because cty has a separate value
// for an empty object, EmptyObjectVal.
func objectValue(values map[string]cty.Value) cty.Value {
	if len(values) == 0 {
		return cty.EmptyObjectVal
	}
	return cty.ObjectVal(values)
}
