package nomad

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/zclconf/go-cty/cty"
)

// hclBlockNames maps the names of JSON fields to the types of the HCL blocks that they correspond to.
// The JSON form uses the field names of the published API, such as TaskGroups and MemoryMB.
var hclBlockNames = map[string]string{
	"TaskGroups":       "group",
	"Tasks":            "task",
	"Constraints":      "constraint",
	"Affinities":       "affinity",
	"Spreads":          "spread",
	"SpreadTarget":     "target",
	"Resources":        "resources",
	"Devices":          "device",
	"Networks":         "network",
	"Services":         "service",
	"Templates":        "template",
	"Artifacts":        "artifact",
	"Volumes":          "volume",
	"VolumeMounts":     "volume_mount",
	"LogConfig":        "logs",
	"RestartPolicy":    "restart",
	"ReschedulePolicy": "reschedule",
	"EphemeralDisk":    "ephemeral_disk",
	"ParameterizedJob": "parameterized",
	"Periodic":         "periodic",
	"Update":           "update",
	"Migrate":          "migrate",
	"Meta":             "meta",
	"Env":              "env",
	"Config":           "config",
	"Vault":            "vault",
	"Multiregion":      "multiregion",
	"Scaling":          "scaling",
	"ScalingPolicies":  "scaling",
	"Lifecycle":        "lifecycle",
	"DispatchPayload":  "dispatch_payload",
	"Consul":           "consul",
	"Identity":         "identity",
	"Identities":       "identity",
	"CSIPluginConfig":  "csi_plugin",
	"Disconnect":       "disconnect",
	"NUMA":             "numa",
	"UI":               "ui",
	"Actions":          "action",
	"Secrets":          "secret",
	"Schedule":         "schedule",
}

// irregularHCLNames maps names of JSON fields to HCL names that are not simply their snake-case form.
var irregularHCLNames = map[string]string{
	"ID":          "id",
	"CPU":         "cpu",
	"MemoryMB":    "memory",
	"MemoryMaxMB": "memory_max",
	"DiskMB":      "disk",
	"IOPS":        "iops",
	"SizeMB":      "size",
	"LTarget":     "attribute",
	"RTarget":     "value",
	"Operand":     "operator",
	"ConsulToken": "consul_token",
	"VaultToken":  "vault_token",
}

// serverFields lists the fields that a Nomad server adds to the jobs that it returns. They are
// ignored, as they do not describe what to run.
var serverFields = map[string]bool{
	"Status":            true,
	"StatusDescription": true,
	"CreateIndex":       true,
	"ModifyIndex":       true,
	"JobModifyIndex":    true,
	"SubmitTime":        true,
	"Stable":            true,
	"ParentID":          true,
	"Dispatched":        true,
	"VersionTag":        true,
	"NomadTokenID":      true,
}

// ReadJSON reads a job file in JSON, either {"Job": {...}} or the job object itself, and returns its
// job block. The error is of type Problems.
func ReadJSON(file string, source []byte) (*Block, error) {
	if err := checkSource(file, source); err != nil {
		return nil, err
	}
	fields, err := decodeObject(file, source)
	if err != nil {
		return nil, err
	}
	if job, ok := fields["Job"].(map[string]any); ok {
		fields = job
	}
	r := &jsonReader{file: file}
	job := r.block("job", fields, "Job")
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	if len(job.Labels) > 0 {
		return job, nil
	}
	id, ok := job.Attributes["id"]
	if !ok || id.Value.Type() != cty.String {
		return nil, Problems{file + ": Job: an ID is needed"}
	}
	job.Labels = []string{id.Value.AsString()}
	return job, nil
}

// decodeObject decodes a file that consists of a single JSON object. The error names the line.
func decodeObject(file string, source []byte) (map[string]any, error) {
	decoder := json.NewDecoder(bytes.NewReader(source))
	decoder.UseNumber()
	var fields map[string]any
	if err := decoder.Decode(&fields); err != nil {
		offset := decoder.InputOffset()
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			offset = syntax.Offset
		}
		line := 1 + bytes.Count(source[:min(int(offset), len(source))], []byte("\n"))
		return nil, Problems{fmt.Sprintf("%s:%d: not JSON: %v", file, line, err)}
	}
	if decoder.More() {
		return nil, Problems{file + ": more than one value"}
	}
	return fields, nil
}

// jsonReader converts one job file in JSON into blocks.
type jsonReader struct {
	file      string
	problems  Problems
	nodeCount int // number of fields converted so far, nested blocks included
}

// hclName returns the HCL name of a JSON field, such as max_retries for MaxRetries.
func hclName(jsonName string) string {
	if name, ok := irregularHCLNames[jsonName]; ok {
		return name
	}
	var name strings.Builder
	for i, letter := range jsonName {
		if letter >= 'A' && letter <= 'Z' {
			if i > 0 {
				name.WriteByte('_')
			}
			letter += 'a' - 'A'
		}
		name.WriteRune(letter)
	}
	return name.String()
}

// isEmpty reports whether a value is null or empty. A field with such a value counts as not set,
// because a Nomad server writes every field of a job, whether it is set or not.
func isEmpty(value any) bool {
	switch value := value.(type) {
	case nil:
		return true
	case string:
		return value == ""
	case []any:
		return len(value) == 0
	case map[string]any:
		return len(value) == 0
	}
	return false
}

// report adds a problem with the path of the field that it concerns.
func (r *jsonReader) report(path, format string, args ...any) {
	r.problems.add("%s: %s: %s", r.file, path, fmt.Sprintf(format, args...))
}

// labelledBlocks lists the block types whose label is in the JSON field Name. The job is not listed,
// because its label is in the field ID.
var labelledBlocks = map[string]bool{"group": true, "task": true, "device": true}

// block converts the fields of a JSON object into a block.
func (r *jsonReader) block(blockType string, fields map[string]any, path string) *Block {
	block := &Block{
		Type:       blockType,
		Attributes: map[string]Attribute{},
		Position:   r.file + ": " + path,
	}
	isFreeForm := blockType == "meta" || blockType == "env" || blockType == "config"
	for _, key := range sortedKeys(fields) {
		r.nodeCount++
		if r.nodeCount > maxNodes {
			r.problems.add("%s: more than %d blocks and fields", r.file, maxNodes)
			return block
		}
		value, fieldPath := fields[key], path+"."+key
		switch blockName, isBlock := hclBlockNames[key]; {
		case isFreeForm:
			r.addAttribute(block, key, value, fieldPath)
		case isEmpty(value):
		case blockType == "job" && serverFields[key]:
		case labelledBlocks[blockType] && key == "Name":
			if label, ok := value.(string); ok {
				block.Labels = []string{label}
			} else {
				r.report(fieldPath, "must be text")
			}
		case isBlock:
			r.addBlocks(block, blockName, value, fieldPath)
		default:
			r.addAttribute(block, hclName(key), value, fieldPath)
		}
	}
	return block
}

// addBlocks converts a field that holds an object or a list of objects into blocks, and adds them to
// parent.
func (r *jsonReader) addBlocks(parent *Block, blockType string, value any, path string) {
	switch value := value.(type) {
	case map[string]any:
		parent.Blocks = append(parent.Blocks, r.block(blockType, value, path))
	case []any:
		for i, element := range value {
			if fields, ok := element.(map[string]any); ok {
				parent.Blocks = append(parent.Blocks, r.block(blockType, fields, fmt.Sprintf("%s[%d]", path, i)))
			} else {
				r.report(path, "must be a list of objects")
			}
		}
	default:
		r.report(path, "must be an object, or a list of them")
	}
}

// addAttribute converts a field that holds an attribute and adds it to the block.
func (r *jsonReader) addAttribute(block *Block, name string, value any, path string) {
	if converted, ok := r.value(value, path); ok {
		block.Attributes[name] = Attribute{converted, r.file + ": " + path}
	}
}

// value converts a decoded JSON value. The second result is false if the value is null or was
// reported as a problem.
func (r *jsonReader) value(value any, path string) (cty.Value, bool) {
	switch value := value.(type) {
	case string:
		return cty.StringVal(value), true
	case bool:
		return cty.BoolVal(value), true
	case json.Number:
		number, err := cty.ParseNumberVal(value.String())
		if err != nil {
			r.report(path, "%s is no number", value)
		}
		return number, err == nil
	case []any:
		return r.tupleValue(value, path), true
	case map[string]any:
		members := map[string]cty.Value{}
		for _, key := range sortedKeys(value) {
			if member, ok := r.value(value[key], path); ok {
				members[key] = member
			}
		}
		return objectValue(members), true
	}
	return cty.NilVal, false
}

// tupleValue converts a JSON array. Elements that are null or have a problem are left out.
func (r *jsonReader) tupleValue(elements []any, path string) cty.Value {
	var values []cty.Value
	for _, element := range elements {
		if value, ok := r.value(element, path); ok {
			values = append(values, value)
		}
	}
	if len(values) == 0 {
		return cty.EmptyTupleVal
	}
	return cty.TupleVal(values)
}
