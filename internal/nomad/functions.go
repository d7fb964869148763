package nomad

import (
	"fmt"
	"regexp"

	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/function"
	"github.com/zclconf/go-cty/cty/function/stdlib"
)

// errValueTooLarge is returned by a function whose result could exceed maxValueSize.
var errValueTooLarge = fmt.Errorf("the result is larger than %d bytes", maxValueSize)

// withSizeBound wraps a function so that it runs only if its result cannot exceed maxValueSize.
// sizeBound computes an upper bound of the result's size from the arguments.
func withSizeBound(sizeBound func(args []cty.Value) int, wrapped function.Function) function.Function {
	return function.New(&function.Spec{
		Params:   wrapped.Params(),
		VarParam: wrapped.VarParam(),
		Type:     wrapped.ReturnTypeForValues,
		Impl: func(args []cty.Value, _ cty.Type) (cty.Value, error) {
			if sizeBound(args) > maxValueSize {
				return cty.NilVal, errValueTooLarge
			}
			return wrapped.Call(args)
		},
	})
}

// totalSize returns the sum of the estimated sizes of values.
func totalSize(values []cty.Value) int {
	total := 0
	for _, value := range values {
		total += valueSize(value)
	}
	return total
}

// joinSizeBound returns an upper bound of the size of join's result. Every element adds at least
// valueOverhead to the size of the lists, so the number of separators is at most this size divided
// by valueOverhead.
func joinSizeBound(args []cty.Value) int {
	separator, lists := args[0], args[1:]
	return valueSize(separator)*(totalSize(lists)/valueOverhead+1) + totalSize(args)
}

// replaceSizeBound returns an upper bound of the size of replace's result. It assumes a replacement at
// every byte of the text.
func replaceSizeBound(args []cty.Value) int {
	text, replacement := args[0], args[2]
	return (valueSize(text) - valueOverhead + 1) * max(1, valueSize(replacement)-valueOverhead)
}

// wideVerbPattern matches a formatting verb whose width or precision has four digits or more.
var wideVerbPattern = regexp.MustCompile(`%[^a-zA-Z%]*[0-9*]{4,}`)

// formatSizeBound returns an upper bound of the size of format's result. For a wide verb the bound is
// above maxValueSize, since such a verb can pad a short text to any length.
func formatSizeBound(args []cty.Value) int {
	if wideVerbPattern.MatchString(args[0].AsString()) {
		return maxValueSize + 1
	}
	return totalSize(args)
}

// rangeSizeBound returns a value above maxValueSize, so that the call of range is refused, if an
// argument is outside of -maxItems to maxItems or the step is between -1 and 1. In all other cases the
// list is short. rangeSizeBound then returns 0, which always passes the check, instead of a real bound.
func rangeSizeBound(args []cty.Value) int {
	for _, arg := range args {
		if number := asFloat(arg); number > maxItems || number < -maxItems {
			return maxValueSize + 1
		}
	}
	if len(args) == 3 {
		if step := asFloat(args[2]); step < 1 && step > -1 {
			return maxValueSize + 1
		}
	}
	return 0
}

// functions holds the functions of the published language that a job file can call. None of them
// can access the host's files or environment. Functions whose result can be far larger than their
// arguments are wrapped with withSizeBound.
var functions = map[string]function.Function{
	"abs":             stdlib.AbsoluteFunc,
	"ceil":            stdlib.CeilFunc,
	"floor":           stdlib.FloorFunc,
	"max":             stdlib.MaxFunc,
	"min":             stdlib.MinFunc,
	"signum":          stdlib.SignumFunc,
	"parseint":        stdlib.ParseIntFunc,
	"upper":           stdlib.UpperFunc,
	"lower":           stdlib.LowerFunc,
	"title":           stdlib.TitleFunc,
	"trimspace":       stdlib.TrimSpaceFunc,
	"trim":            stdlib.TrimFunc,
	"trimprefix":      stdlib.TrimPrefixFunc,
	"trimsuffix":      stdlib.TrimSuffixFunc,
	"chomp":           stdlib.ChompFunc,
	"strlen":          stdlib.StrlenFunc,
	"substr":          stdlib.SubstrFunc,
	"split":           stdlib.SplitFunc,
	"strrev":          stdlib.ReverseFunc,
	"regex":           stdlib.RegexFunc,
	"concat":          stdlib.ConcatFunc,
	"contains":        stdlib.ContainsFunc,
	"distinct":        stdlib.DistinctFunc,
	"element":         stdlib.ElementFunc,
	"flatten":         stdlib.FlattenFunc,
	"keys":            stdlib.KeysFunc,
	"values":          stdlib.ValuesFunc,
	"length":          stdlib.LengthFunc,
	"lookup":          stdlib.LookupFunc,
	"merge":           stdlib.MergeFunc,
	"reverse":         stdlib.ReverseListFunc,
	"slice":           stdlib.SliceFunc,
	"sort":            stdlib.SortFunc,
	"zipmap":          stdlib.ZipmapFunc,
	"compact":         stdlib.CompactFunc,
	"coalesce":        stdlib.CoalesceFunc,
	"setunion":        stdlib.SetUnionFunc,
	"setintersection": stdlib.SetIntersectionFunc,
	"jsonencode":      stdlib.JSONEncodeFunc,
	"jsondecode":      stdlib.JSONDecodeFunc,
	"tostring":        stdlib.MakeToFunc(cty.String),
	"tonumber":        stdlib.MakeToFunc(cty.Number),
	"tobool":          stdlib.MakeToFunc(cty.Bool),
	"tolist":          stdlib.MakeToFunc(cty.List(cty.DynamicPseudoType)),
	"toset":           stdlib.MakeToFunc(cty.Set(cty.DynamicPseudoType)),
	"tomap":           stdlib.MakeToFunc(cty.Map(cty.DynamicPseudoType)),

	"join":    withSizeBound(joinSizeBound, stdlib.JoinFunc),
	"replace": withSizeBound(replaceSizeBound, stdlib.ReplaceFunc),
	"format":  withSizeBound(formatSizeBound, stdlib.FormatFunc),
	"range":   withSizeBound(rangeSizeBound, stdlib.RangeFunc),
}
