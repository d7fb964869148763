package nomad

// Handling says how the converter treats a field of the published job specification.
type Handling int

// Ways to treat a field.
const (
	Honoured Handling = iota // the field is accepted; Field.Note says what becomes of it
	Refused                  // a file that sets the field is refused; Field.Note is the reason
	Harmless                 // ignored, as it does not affect what runs, where or how often
)

// String returns the word for the handling in docs/nomad.md.
func (h Handling) String() string {
	switch h {
	case Honoured:
		return "honoured"
	case Refused:
		return "refused"
	case Harmless:
		return "harmless"
	default:
		return "unknown"
	}
}

// Field describes how the converter treats one attribute or block of the specification.
type Field struct {
	Path     string // path within the job block, such as group.task.resources.cpu; blocks end in /
	Handling Handling
	Note     string // what an honoured field becomes, or why a field is refused or harmless
}

// Texts of Field.Note that several fields share.
const (
	reasonOneProcess    = "a task here is one process of a described command: there is no network of its own"
	reasonClassRestarts = "how often a task runs again is the class's rule, not the file's (docs/nomad.md)"
	reasonTasksAlike    = "tasks of a group are alike and have no order among them"
	reasonNoVolumes     = "tasks have no volumes; what they keep is outside the machine"
	reasonNoSecretStore = "there is no secret store here"
)

// Fields lists every block and attribute of the published job specification. The table in
// docs/nomad.md is generated from it by TestFieldTableInDocs with -update.
var Fields = []Field{
	{"affinity/", Refused, "a leaning that might be ignored would be a quiet change; use constraint"},
	{"all_at_once", Harmless, "a native job starts as its shape says; this only loosens order"},
	{"constraint/", Honoured, "machine types and zones"},
	{"constraint.attribute", Honoured, "${node.class}, ${attr.machine.type}: type; ${node.datacenter}, ${attr.zone}: zone; others are refused"},
	{"constraint.operator", Honoured, "=, ==, is, set_contains_any; others are refused"},
	{"constraint.value", Honoured, "the type or zone, several with commas for set_contains_any"},
	{"datacenters", Honoured, "zones; one, or all (*)"},
	{"group/", Honoured, "one native job a group"},
	{"meta/", Honoured, "keys that start with curlew_: see below; others are kept with the job"},
	{"migrate/", Refused, "moves are the scheduler's: stateless work is moved, never two copies at once"},
	{"multiregion/", Refused, "partner clusters are the operators' (docs/partners.md)"},
	{"name", Harmless, "shown only"},
	{"namespace", Honoured, "part of the job's id"},
	{"node_pool", Refused, "there are no pools; constrain the machine type"},
	{"parameterized/", Refused, "dispatch is not built yet"},
	{"periodic/", Refused, "periodic jobs are not built yet"},
	{"priority", Honoured, "1-33 low, 34-66 normal, 67-89 high, 90-100 prod"},
	{"region", Honoured, "must be global or left out"},
	{"reschedule/", Refused, reasonClassRestarts},
	{"spread/", Honoured, "of the group over ${node.datacenter}: at most half in a zone"},
	{"type", Honoured, "batch: array or gang; service: service; system, sysbatch: refused"},
	{"update/", Refused, "roll-outs are not built yet"},
	{"ui/", Harmless, "shown only"},
	{"vault/", Refused, reasonNoSecretStore},
	{"vault_token", Refused, reasonNoSecretStore},
	{"consul_token", Refused, reasonNoSecretStore},
	{"id", Honoured, "in place of the job's label"},
	{"version", Harmless, "the registry gives versions"},
	{"group.affinity/", Refused, "a leaning that might be ignored would be a quiet change"},
	{"group.constraint/", Honoured, "as the job's"},
	{"group.consul/", Refused, reasonOneProcess},
	{"group.count", Honoured, "tasks of the native job, at most 100,000"},
	{"group.disconnect/", Refused, "what a silent machine may do is fixed by its lease"},
	{"group.ephemeral_disk/", Honoured, "migrate and sticky false; see its fields"},
	{"group.ephemeral_disk.migrate", Refused, reasonNoVolumes},
	{"group.ephemeral_disk.size", Harmless, "machines' disks are not shared out by size"},
	{"group.ephemeral_disk.sticky", Refused, reasonNoVolumes},
	{"group.max_client_disconnect", Refused, "what a silent machine may do is fixed by its lease"},
	{"group.meta/", Honoured, "as the job's, and before it"},
	{"group.migrate/", Refused, "moves are the scheduler's"},
	{"group.network/", Refused, reasonOneProcess},
	{"group.prevent_reschedule_on_lost", Refused, reasonClassRestarts},
	{"group.reschedule/", Refused, reasonClassRestarts},
	{"group.restart/", Refused, reasonClassRestarts},
	{"group.scaling/", Refused, "an autoscaler would be told nothing"},
	{"group.service/", Refused, reasonOneProcess},
	{"group.shutdown_delay", Refused, "a stop has one grace, kill_timeout"},
	{"group.spread/", Honoured, "over ${node.datacenter}: at most half in a zone"},
	{"group.stop_after_client_disconnect", Refused, "what a silent machine may do is fixed by its lease"},
	{"group.task/", Honoured, "one; a group of several tasks is refused: " + reasonTasksAlike},
	{"group.update/", Refused, "roll-outs are not built yet"},
	{"group.vault/", Refused, reasonNoSecretStore},
	{"group.volume/", Refused, reasonNoVolumes},
	{"group.task.action/", Refused, "nothing is run in a task from outside"},
	{"group.task.affinity/", Refused, "a leaning that might be ignored would be a quiet change"},
	{"group.task.artifact/", Refused, "what a task needs is in its image"},
	{"group.task.config/", Honoured, "image; the rest is the described command's, kept with the job"},
	{"group.task.constraint/", Honoured, "as the job's"},
	{"group.task.consul/", Refused, reasonOneProcess},
	{"group.task.csi_plugin/", Refused, reasonNoVolumes},
	{"group.task.dispatch_payload/", Refused, "dispatch is not built yet"},
	{"group.task.driver", Honoured, "any word; the image and command are described to the machines"},
	{"group.task.env/", Honoured, "kept with the job's description"},
	{"group.task.identity/", Refused, reasonNoSecretStore},
	{"group.task.kill_signal", Refused, "the worker chooses how it stops a task"},
	{"group.task.kill_timeout", Honoured, "time to save (stowS) of tasks with checkpoints; without them more than the default of 5 s is refused"},
	{"group.task.kind", Refused, reasonOneProcess},
	{"group.task.leader", Refused, reasonTasksAlike},
	{"group.task.lifecycle/", Refused, reasonTasksAlike},
	{"group.task.logs/", Harmless, "logs are kept by the worker's own bounds"},
	{"group.task.meta/", Honoured, "as the group's, and before it"},
	{"group.task.resources/", Honoured, "see its fields"},
	{"group.task.resources.cores", Honoured, "cores of a task; not with cpu"},
	{"group.task.resources.cpu", Honoured, "MHz; how many are a core is the operator's setting"},
	{"group.task.resources.device/", Honoured, "label gpu or nvidia/gpu: accelerators; others are refused"},
	{"group.task.resources.device.affinity/", Refused, "a leaning that might be ignored would be a quiet change"},
	{"group.task.resources.device.constraint/", Refused, "accelerators are alike; constrain the machine type"},
	{"group.task.resources.device.count", Honoured, "accelerators of a task"},
	{"group.task.resources.disk", Harmless, "machines' disks are not shared out by size"},
	{"group.task.resources.iops", Harmless, "not used by the specification any more"},
	{"group.task.resources.memory", Honoured, "MB, as memoryGb"},
	{"group.task.resources.memory_max", Refused, "memory is what was asked for; nothing above it is lent"},
	{"group.task.resources.network/", Refused, reasonOneProcess},
	{"group.task.resources.numa/", Refused, "placement inside a machine is its own"},
	{"group.task.resources.secrets", Refused, reasonNoSecretStore},
	{"group.task.restart/", Refused, reasonClassRestarts},
	{"group.task.scaling/", Refused, "an autoscaler would be told nothing"},
	{"group.task.schedule/", Refused, "a task runs until it is done"},
	{"group.task.secret/", Refused, reasonNoSecretStore},
	{"group.task.service/", Refused, reasonOneProcess},
	{"group.task.shutdown_delay", Refused, "a stop has one grace, kill_timeout"},
	{"group.task.template/", Refused, "what a task reads is in its image and environment"},
	{"group.task.user", Refused, "the user is the described command's"},
	{"group.task.vault/", Refused, reasonNoSecretStore},
	{"group.task.volume_mount/", Refused, reasonNoVolumes},
}

// Keys in meta blocks for settings of native jobs that have no field in the specification. All start
// with metaPrefix.
const (
	metaPrefix     = "curlew_"
	metaClass      = "curlew_class"
	metaTeam       = "curlew_team"
	metaEstimate   = "curlew_estimate_s"
	metaCheckpoint = "curlew_checkpoint_s"
	metaDeadline   = "curlew_due_s"
	metaImageGB    = "curlew_image_gb"
	metaGang       = "curlew_gang"
	metaSingleZone = "curlew_one_zone"
	metaSpot       = "curlew_spot"
)

// MetaKeys maps each supported key in meta blocks to its description.
var MetaKeys = map[string]string{
	metaClass:      "class of jobs (trade)",
	metaTeam:       "team (crew)",
	metaEstimate:   "expected run time of a task in seconds",
	metaCheckpoint: "seconds of progress between checkpoints",
	metaDeadline:   "deadline in seconds from submission",
	metaImageGB:    "size of the image in GB",
	metaGang:       "yes: all tasks of the group run at the same time or none does",
	metaSingleZone: "yes: all tasks in one zone",
	metaSpot:       "yes or no: may use spot machines",
}

// freeFormBlocks lists the blocks in which users can set arbitrary keys.
var freeFormBlocks = map[string]bool{
	"meta":              true,
	"group.meta":        true,
	"group.task.meta":   true,
	"group.task.env":    true,
	"group.task.config": true,
}

// fieldsByPath maps the path of each field to its entry in Fields.
var fieldsByPath = func() map[string]*Field {
	index := map[string]*Field{}
	for i := range Fields {
		index[Fields[i].Path] = &Fields[i]
	}
	return index
}()
