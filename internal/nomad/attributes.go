package nomad

import (
	"time"

	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"
)

// checkFields checks the attributes and nested blocks of a block. It reports each one that the table
// Fields marks as Refused or does not list. path is the block's path in the table, "" for the job.
func (c *converter) checkFields(block *Block, path string) {
	for _, name := range sortedKeys(block.Attributes) {
		fieldPath := joinPath(path, name)
		position := block.Attributes[name].Position
		switch field := fieldsByPath[fieldPath]; {
		case field == nil:
			c.report(position, "%s is no field of a job file", fieldPath)
		case field.Handling == Refused:
			c.report(position, "%s cannot be honoured: %s", fieldPath, field.Note)
		}
	}
	for _, nested := range block.Blocks {
		blockPath := joinPath(path, nested.Type)
		switch field := fieldsByPath[blockPath+"/"]; {
		case field == nil:
			c.report(nested.Position, "%s is no block of a job file", blockPath)
		case field.Handling == Refused:
			c.report(nested.Position, "%s cannot be honoured: %s", blockPath, field.Note)
		case freeFormBlocks[blockPath] || field.Handling == Harmless:
		case nested.Type == "constraint" || nested.Type == "spread":
			// The methods constraint and spreadsOverZones check these blocks.
		default:
			c.checkFields(nested, blockPath)
		}
	}
}

// joinPath returns the path of a field. path is the path of the block that contains the field, "" for
// the job.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// stringAttribute returns an attribute as a string. It returns the fallback if the attribute is not set
// or cannot be converted; in the latter case it also reports a problem.
func (c *converter) stringAttribute(block *Block, name, fallback string) string {
	attribute, ok := block.Attributes[name]
	if !ok {
		return fallback
	}
	converted, err := convert.Convert(attribute.Value, cty.String)
	if err != nil || converted.IsNull() {
		c.report(attribute.Position, "%s must be text", name)
		return fallback
	}
	return converted.AsString()
}

// numberAttribute returns an attribute as a number. It returns the fallback if the attribute is not set
// or cannot be converted; in the latter case it also reports a problem.
func (c *converter) numberAttribute(block *Block, name string, fallback float64) float64 {
	attribute, ok := block.Attributes[name]
	if !ok {
		return fallback
	}
	converted, err := convert.Convert(attribute.Value, cty.Number)
	if err != nil || converted.IsNull() {
		c.report(attribute.Position, "%s must be a number", name)
		return fallback
	}
	return asFloat(converted)
}

// secondsAttribute returns a duration attribute in seconds. In HCL the attribute is text such as "30s",
// in JSON a number of nanoseconds. It returns the fallback if the attribute is not set or invalid; in
// the latter case it also reports a problem.
func (c *converter) secondsAttribute(block *Block, name string, fallback float64) float64 {
	attribute, ok := block.Attributes[name]
	if !ok {
		return fallback
	}
	if attribute.Value.Type() == cty.Number {
		return asFloat(attribute.Value) / 1e9
	}
	duration, err := time.ParseDuration(c.stringAttribute(block, name, ""))
	if err != nil || duration < 0 {
		c.report(attribute.Position, "%s must be a duration such as 30s", name)
		return fallback
	}
	return duration.Seconds()
}

// asFloat returns the float64 that is nearest to a cty number.
func asFloat(number cty.Value) float64 {
	float, _ := number.AsBigFloat().Float64()
	return float
}

// stringElements returns the elements of a list that are strings. Other elements are skipped.
func stringElements(list cty.Value) []string {
	if !list.CanIterateElements() {
		return nil
	}
	var texts []string
	for iterator := list.ElementIterator(); iterator.Next(); {
		_, element := iterator.Element()
		if element.Type() == cty.String && !element.IsNull() {
			texts = append(texts, element.AsString())
		}
	}
	return texts
}
