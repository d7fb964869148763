package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"curlewspool/internal/protocol"
)

// Values of the flags --shape and --rank, mapped to the corresponding values of the user API.
var (
	shapesByName = map[string]protocol.JobShape{
		"array":   protocol.ShapeArray,
		"gang":    protocol.ShapeGang,
		"service": protocol.ShapeService,
	}
	prioritiesByName = map[string]string{
		"prod":   "prod",
		"high":   "high",
		"normal": "standard",
		"low":    "best_effort",
	}
)

// submitOptions holds the flags of curlewctl submit.
type submitOptions struct {
	cluster clusterFlags
	file    string // JSON file that describes the job; "": the other flags describe it
	wait    bool

	id           string // "": a new id is generated
	shape        string
	priority     string
	class        string
	team         string
	image        string
	imageGB      float64
	tasks        uint64
	cores        float64
	gpus         float64
	memoryGB     float64
	estimate     float64 // seconds
	deadline     float64 // seconds from now; 0: none
	machineTypes []string
	dependencies []string
	zone         string // "": any zone
	singleZone   bool
	spreadZones  bool
	noSpot       bool

	checkpointInterval float64 // seconds; 0: none
	checkpointDuration float64 // seconds
}

// submitCommand makes the command that submits a job.
func submitCommand() *cobra.Command {
	options := &submitOptions{}
	command := &cobra.Command{
		Use:   "submit",
		Short: "Submit a job",
		Long: "Submits a job and prints its state. If the cluster does not answer, the request is retried with the same\n" +
			"job id, so that no second job is created.",
		Example: "  curlewctl submit --to 127.0.0.1:8080 --tasks 20 --cores 1 --estimate 5 --wait",
		Args:    cobra.NoArgs,
		RunE:    func(command *cobra.Command, _ []string) error { return options.run(command) },
	}
	options.cluster.register(command)
	options.registerJob(command)
	options.registerPlacement(command)
	return command
}

// registerJob adds the flags that describe the job.
func (o *submitOptions) registerJob(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&o.file, "file", "", "read the job from this JSON file, with the field names of the user API, instead of from the flags")
	flags.StringVar(&o.id, "id", "", "id of the job, wk-...; submitting the same id again does not create a second job (default: a new id)")
	flags.StringVar(&o.shape, "shape", "array", "array: independent tasks; gang: all tasks run at the same time; service: tasks that run until aborted")
	flags.StringVar(&o.priority, "rank", "normal", "priority: prod, high, normal or low")
	flags.StringVar(&o.class, "class", "sample", "class of the job, for objectives and statistics")
	flags.StringVar(&o.team, "team", "red", "team whose quota the job uses")
	flags.StringVar(&o.image, "image", "img-sample", "image that the tasks run")
	flags.Float64Var(&o.imageGB, "image-gb", 0.1, "size of the image in GB")
	flags.StringSliceVar(&o.dependencies, "awaits", nil, "ids of the jobs, separated by commas, that must be done before a task of this job starts")
	flags.Uint64Var(&o.tasks, "tasks", 1, "number of tasks")
	flags.Float64Var(&o.estimate, "estimate", 10, "expected run time of a task in seconds")
	flags.Float64Var(&o.checkpointInterval, "checkpoint", 0, "seconds of progress between checkpoints (0: no checkpoints)")
	flags.Float64Var(&o.checkpointDuration, "save", 0, "seconds that saving a checkpoint takes")
	flags.Float64Var(&o.deadline, "due", 0, "deadline in seconds from now (0: none)")
	flags.BoolVar(&o.wait, "wait", false, "wait until the job has finished")
}

// registerPlacement adds the flags that describe the resources and placement of the tasks.
func (o *submitOptions) registerPlacement(command *cobra.Command) {
	flags := command.Flags()
	flags.Float64Var(&o.cores, "cores", 1, "CPU cores of each task")
	flags.Float64Var(&o.gpus, "gpus", 0, "GPUs of each task")
	flags.Float64Var(&o.memoryGB, "memory", 1, "memory of each task in GB")
	flags.StringVar(&o.zone, "zone", "", "run only in this zone (default: any)")
	flags.StringSliceVar(&o.machineTypes, "types", nil, "allowed machine types, separated by commas (default: all)")
	flags.BoolVar(&o.singleZone, "one-zone", false, "run all tasks in one zone")
	flags.BoolVar(&o.spreadZones, "spread", false, "run at most half of the tasks in one zone")
	flags.BoolVar(&o.noSpot, "no-spot", false, "do not run on spot machines")
}

// run submits the job and, with --wait, waits until it has finished.
func (o *submitOptions) run(command *cobra.Command) error {
	cluster, err := o.cluster.newClient(command.ErrOrStderr())
	if err != nil {
		return err
	}
	submission, err := o.submission()
	if err != nil {
		return err
	}
	var invalid *protocol.FieldError
	if _, err := submission.Validate(); errors.As(err, &invalid) {
		return fmt.Errorf("the job is not valid: %s", invalid.Field)
	}
	state, err := cluster.Submit(command.Context(), submission)
	if err != nil {
		return err
	}
	if o.wait {
		if err := o.cluster.printState(command.ErrOrStderr(), state); err != nil {
			return err
		}
		if state, err = cluster.Wait(command.Context(), *submission.ID, nil); err != nil {
			return err
		}
	}
	return o.cluster.printState(command.OutOrStdout(), state)
}

// submission returns the submission that the file describes. If there is no file, the flags describe
// the submission.
func (o *submitOptions) submission() (*protocol.Submission, error) {
	if o.file != "" {
		return readSubmission(o.file)
	}
	shape, err := parseChoice("shape", o.shape, shapesByName)
	if err != nil {
		return nil, err
	}
	priority, err := parseChoice("rank", o.priority, prioritiesByName)
	if err != nil {
		return nil, err
	}
	if o.id == "" {
		o.id = "wk-" + uuid.NewString()
	}
	allowSpot := !o.noSpot
	submission := &protocol.Submission{
		ID:                 &o.id,
		Class:              &o.class,
		Team:               &o.team,
		Shape:              &shape,
		Priority:           &priority,
		Tasks:              &o.tasks,
		Cores:              &o.cores,
		GPUs:               &o.gpus,
		MemoryGB:           &o.memoryGB,
		Image:              &o.image,
		ImageGB:            &o.imageGB,
		MachineTypes:       o.machineTypes,
		SingleZone:         &o.singleZone,
		SpreadZones:        &o.spreadZones,
		AllowSpot:          &allowSpot,
		Estimate:           &o.estimate,
		CheckpointInterval: &o.checkpointInterval,
		CheckpointDuration: &o.checkpointDuration,
		Dependencies:       o.dependencies,
	}
	if o.zone != "" {
		submission.Zone = &o.zone
	}
	if o.deadline > 0 {
		submission.Deadline = &o.deadline
	}
	return submission, nil
}

// parseChoice returns the value that choices has for the text of a flag. If choices does not have the
// text, the error lists the allowed texts.
func parseChoice[T any](flag, value string, choices map[string]T) (T, error) {
	chosen, ok := choices[value]
	if !ok {
		names := strings.Join(slices.Sorted(maps.Keys(choices)), ", ")
		return chosen, fmt.Errorf("--%s %q: must be one of %s", flag, value, names)
	}
	return chosen, nil
}

// taskCountField is the user API's field for the number of tasks.
const taskCountField = "pieces"

// readSubmission reads a submission from a JSON file. The fields are encoded and decoded as in a
// request, so that their names and types are those of the user API.
func readSubmission(file string) (*protocol.Submission, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	// JSON numbers decode as floats; the user API requires an integer for this field.
	if count, ok := fields[taskCountField].(float64); ok && count >= 0 && count == float64(uint64(count)) {
		fields[taskCountField] = uint64(count)
	}
	submission := &protocol.Submission{}
	if err := protocol.Decode(protocol.Encode(fields), submission); err != nil {
		return nil, fmt.Errorf("%s: a field has the wrong type: %w", file, err)
	}
	return submission, nil
}
