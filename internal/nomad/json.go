package nomad

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/zclconf/go-cty/cty"
)

// The JSON form names fields as the published API does: TaskGroups, MemoryMB.
// blocksOf says which of them are blocks, and under which name of the HCL form;
// fieldsOf the fields that are spelt otherwise than by their words.
var blocksOf = map[string]string{
	"TaskGroups": "group", "Tasks": "task", "Constraints": "constraint", "Affinities": "affinity", "Spreads": "spread",
	"SpreadTarget": "target", "Resources": "resources", "Devices": "device", "Networks": "network", "Services": "service",
	"Templates": "template", "Artifacts": "artifact", "Volumes": "volume", "VolumeMounts": "volume_mount", "LogConfig": "logs",
	"RestartPolicy": "restart", "ReschedulePolicy": "reschedule", "EphemeralDisk": "ephemeral_disk", "ParameterizedJob": "parameterized",
	"Periodic": "periodic", "Update": "update", "Migrate": "migrate", "Meta": "meta", "Env": "env", "Config": "config", "Vault": "vault",
	"Multiregion": "multiregion", "Scaling": "scaling", "ScalingPolicies": "scaling", "Lifecycle": "lifecycle", "DispatchPayload": "dispatch_payload",
	"Consul": "consul", "Identity": "identity", "Identities": "identity", "CSIPluginConfig": "csi_plugin", "Disconnect": "disconnect",
	"NUMA": "numa", "UI": "ui", "Actions": "action", "Secrets": "secret", "Schedule": "schedule",
}

var fieldsOf = map[string]string{
	"ID": "id", "CPU": "cpu", "MemoryMB": "memory", "MemoryMaxMB": "memory_max", "DiskMB": "disk", "IOPS": "iops", "SizeMB": "size",
	"LTarget": "attribute", "RTarget": "value", "Operand": "operator", "ConsulToken": "consul_token", "VaultToken": "vault_token",
}

// dropped are fields of the API's answers, which a file that was read back from
// a server has; they say nothing of what is to run.
var dropped = map[string]bool{"Status": true, "StatusDescription": true, "CreateIndex": true, "ModifyIndex": true, "JobModifyIndex": true,
	"SubmitTime": true, "Stable": true, "ParentID": true, "Dispatched": true, "VersionTag": true, "NomadTokenID": true}

// ReadJSON evaluates a job in the JSON form: {"Job": {...}} or the job itself.
func ReadJSON(file string, src []byte) (*Node, error) {
	if len(src) > MaxSource {
		return nil, Problems{fmt.Sprintf("%s: larger than %d bytes", file, MaxSource)}
	}
	if line := tooDeep(src); line > 0 {
		return nil, Problems{fmt.Sprintf("%s:%d: brackets inside each other more than %d deep", file, line, maxDepth)}
	}
	d := json.NewDecoder(bytes.NewReader(src))
	d.UseNumber()
	var v map[string]any
	if err := d.Decode(&v); err != nil {
		at := d.InputOffset()
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			at = syntax.Offset
		}
		line := 1 + bytes.Count(src[:min(int(at), len(src))], []byte("\n"))
		return nil, Problems{fmt.Sprintf("%s:%d: not JSON: %v", file, line, err)}
	}
	if d.More() {
		return nil, Problems{file + ": more than one value"}
	}
	if job, ok := v["Job"].(map[string]any); ok {
		v = job
	}
	r := &jsonReader{file: file}
	n := r.block("job", v, "Job")
	if len(r.probs) > 0 {
		return nil, r.probs
	}
	if len(n.Labels) == 0 {
		if id, ok := n.Attrs["id"]; ok && id.V.Type() == cty.String {
			n.Labels = []string{id.V.AsString()}
		} else {
			return nil, Problems{file + ": Job: an ID is needed"}
		}
	}
	return n, nil
}

type jsonReader struct {
	file  string
	probs Problems
	nodes int
}

// snake spells a field's words in the HCL form's way.
func snake(s string) string {
	if f, ok := fieldsOf[s]; ok {
		return f
	}
	var b strings.Builder
	for i, c := range s {
		if c >= 'A' && c <= 'Z' {
			if i > 0 {
				b.WriteByte('_')
			}
			c += 'a' - 'A'
		}
		b.WriteRune(c)
	}
	return b.String()
}

// empty values mean that a field is not there: servers write them all.
func empty(v any) bool {
	switch x := v.(type) {
	case nil:
		return true
	case string:
		return x == ""
	case []any:
		return len(x) == 0
	case map[string]any:
		return len(x) == 0
	}
	return false
}

func (r *jsonReader) bad(path, format string, a ...any) {
	r.probs.add("%s: %s: %s", r.file, path, fmt.Sprintf(format, a...))
}

func (r *jsonReader) block(typ string, m map[string]any, path string) *Node {
	n := &Node{Type: typ, Attrs: map[string]Value{}, At: r.file + ": " + path}
	label := typ == "job" || typ == "group" || typ == "task" || typ == "device"
	verbatim := typ == "meta" || typ == "env" || typ == "config"
	for _, k := range sortedKeys(m) {
		if r.nodes++; r.nodes > maxNodes {
			r.probs.add("%s: more than %d blocks and fields", r.file, maxNodes)
			return n
		}
		v, at := m[k], path+"."+k
		switch name, isBlock := blocksOf[k]; {
		case verbatim:
			r.attr(n, k, v, at)
		case empty(v):
		case typ == "job" && dropped[k]:
		case label && k == "Name" && typ != "job":
			if s, ok := v.(string); ok {
				n.Labels = []string{s}
			} else {
				r.bad(at, "must be text")
			}
		case isBlock:
			r.blocks(n, name, v, at)
		default:
			r.attr(n, snake(k), v, at)
		}
	}
	return n
}

func (r *jsonReader) blocks(n *Node, name string, v any, at string) {
	switch x := v.(type) {
	case map[string]any:
		n.Blocks = append(n.Blocks, r.block(name, x, at))
	case []any:
		for i, e := range x {
			if m, ok := e.(map[string]any); ok {
				n.Blocks = append(n.Blocks, r.block(name, m, fmt.Sprintf("%s[%d]", at, i)))
			} else {
				r.bad(at, "must be a list of objects")
			}
		}
	default:
		r.bad(at, "must be an object, or a list of them")
	}
}

func (r *jsonReader) attr(n *Node, name string, v any, at string) {
	if x, ok := r.value(v, at); ok {
		n.Attrs[name] = Value{x, r.file + ": " + at}
	}
}

func (r *jsonReader) value(v any, at string) (cty.Value, bool) {
	switch x := v.(type) {
	case string:
		return cty.StringVal(x), true
	case bool:
		return cty.BoolVal(x), true
	case json.Number:
		n, err := cty.ParseNumberVal(x.String())
		if err != nil {
			r.bad(at, "%s is no number", x)
		}
		return n, err == nil
	case []any:
		var list []cty.Value
		for _, e := range x {
			if y, ok := r.value(e, at); ok {
				list = append(list, y)
			}
		}
		if len(list) == 0 {
			return cty.EmptyTupleVal, true
		}
		return cty.TupleVal(list), true
	case map[string]any:
		m := map[string]cty.Value{}
		for _, k := range sortedKeys(x) {
			if y, ok := r.value(x[k], at); ok {
				m[k] = y
			}
		}
		return object(m), true
	}
	return cty.NilVal, false
}

// ReadAny reads either form: a file that starts with a brace is JSON.
func ReadAny(file string, src []byte, in Inputs) (*Node, error) {
	if t := bytes.TrimSpace(src); len(t) > 0 && t[0] == '{' {
		return ReadJSON(file, src)
	}
	return Read(file, src, in)
}
