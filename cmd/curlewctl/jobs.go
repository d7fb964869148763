package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"curlewspool/internal/client"
	"curlewspool/internal/protocol"
)

// stateJSON is a job's state as printed.
type stateJSON struct {
	ID      string             `json:"id"`
	Status  protocol.JobStatus `json:"status"`
	Done    *int               `json:"done,omitempty"`
	Running *int               `json:"running,omitempty"`
	// Elsewhere is what is at partner clusters, and why.
	Elsewhere []protocol.RemoteTasks `json:"elsewhere,omitempty"`
	// Awaits is what it waits for, Cause the job with whose cancellation it was withdrawn.
	Awaits []string `json:"awaits,omitempty"`
	Cause  string   `json:"cause,omitempty"`
}

type asker struct {
	to       string
	json     bool
	patience time.Duration
}

func (a *asker) flags(c *cobra.Command) {
	c.Flags().StringVar(&a.to, "to", os.Getenv("CURLEW_TO"), "the cluster: HOST:PORT, several with commas (default $CURLEW_TO)")
	c.Flags().BoolVar(&a.json, "json", false, "print JSON")
	c.Flags().DurationVar(&a.patience, "patience", time.Minute, "how long a question is repeated")
}

// client makes one that says on errs, every few seconds, why it still waits.
func (a *asker) client(errs io.Writer) (*client.Client, error) {
	c, err := client.New(a.to)
	if err != nil {
		return nil, err
	}
	c.Patience = a.patience
	said, first := "", time.Time{}
	c.Again = func(why string, left time.Duration) {
		if why != said || time.Since(first) > 5*time.Second {
			said, first = why, time.Now()
			_, _ = fmt.Fprintf(errs, "%s; asking again for up to %v\n", why, left.Round(time.Second))
		}
	}
	return c, nil
}

func (a *asker) print(out io.Writer, s *protocol.JobState) error {
	state := &stateJSON{s.ID, s.Status, s.Done, s.Running, s.Remote, s.PendingDependencies, s.CancelledBy}
	return show(out, a.json, state, func(w *bytes.Buffer) { fmt.Fprintln(w, client.Line(s)) })
}

func jobCommands() []*cobra.Command {
	return []*cobra.Command{submitCommand(), statusCommand(), abortCommand(), waitCommand()}
}

// words of users for what the outer protocol spells differently.
var (
	shapes = map[string]protocol.JobShape{
		"array":   protocol.ShapeArray,
		"gang":    protocol.ShapeGang,
		"service": protocol.ShapeService,
	}
	ranks = map[string]string{
		"prod":   "prod",
		"high":   "high",
		"normal": "standard",
		"low":    "best_effort",
	}
)

// choice returns what a flag's value stands for.
func choice[T any](flag, value string, choices map[string]T) (T, error) {
	chosen, ok := choices[value]
	if ok {
		return chosen, nil
	}
	return chosen, fmt.Errorf("--%s %q: must be one of %s", flag, value, strings.Join(slices.Sorted(maps.Keys(choices)), ", "))
}

func submitCommand() *cobra.Command {
	a := &asker{}
	var id, shape, rank, class, team, image, zone, file string
	var tasks uint64
	var cores, gpus, memory, imageGb, estimate, mark, save, due float64
	var types, awaits []string
	var oneZone, spread, ordinary, wait bool
	c := &cobra.Command{
		Use: "submit", Short: "Submit a job", Args: cobra.NoArgs,
		Example: "  curlewctl submit --to 127.0.0.1:8080 --tasks 20 --cores 1 --estimate 5 --wait",
		RunE: func(c *cobra.Command, _ []string) error {
			cl, err := a.client(c.ErrOrStderr())
			if err != nil {
				return err
			}
			sub := &protocol.Submission{}
			if file != "" {
				if sub, err = fromFile(file); err != nil {
					return err
				}
			} else {
				w, err := choice("shape", shape, shapes)
				if err != nil {
					return err
				}
				r, err := choice("rank", rank, ranks)
				if err != nil {
					return err
				}
				if id == "" {
					id = "wk-" + uuid.NewString()
				}
				spot := !ordinary
				sub = &protocol.Submission{ID: &id, Class: &class, Team: &team, Shape: &w, Priority: &r, Tasks: &tasks, Cores: &cores, GPUs: &gpus,
					MemoryGB: &memory, Image: &image, ImageGB: &imageGb, MachineTypes: types, SingleZone: &oneZone, SpreadZones: &spread, AllowSpot: &spot,
					Estimate: &estimate, CheckpointInterval: &mark, CheckpointDuration: &save}
				if zone != "" {
					sub.Zone = &zone
				}
				if due > 0 {
					sub.Deadline = &due
				}
				sub.Dependencies = awaits
			}
			var invalid *protocol.FieldError
			if _, err := sub.Validate(); errors.As(err, &invalid) {
				return fmt.Errorf("the job is not valid: %s", invalid.Field)
			}
			s, err := cl.Submit(c.Context(), sub)
			if err == nil && wait {
				if err = a.print(c.ErrOrStderr(), s); err == nil {
					s, err = cl.Wait(c.Context(), *sub.ID, nil)
				}
			}
			if err != nil {
				return err
			}
			return a.print(c.OutOrStdout(), s)
		},
	}
	a.flags(c)
	f := c.Flags()
	f.StringVar(&file, "file", "", "the job as JSON in the outer protocol's words, instead of flags")
	f.StringVar(&id, "id", "", "the job's id, wk-...; the same id is the same job (default: a new one)")
	f.StringVar(&shape, "shape", "array", "array, gang or service")
	f.StringVar(&rank, "rank", "normal", "prod, high, normal or low")
	f.StringVar(&class, "class", "sample", "class of jobs")
	f.StringVar(&team, "team", "red", "team")
	f.StringVar(&image, "image", "img-sample", "image")
	f.Float64Var(&imageGb, "image-gb", 0.1, "its size in GB")
	f.StringVar(&zone, "zone", "", "the only zone allowed")
	f.StringSliceVar(&types, "types", nil, "machine types allowed (default: all)")
	f.StringSliceVar(&awaits, "awaits", nil, "ids of jobs that must be done before any task starts, with commas")
	f.Uint64Var(&tasks, "tasks", 1, "number of tasks")
	f.Float64Var(&cores, "cores", 1, "cores of a task")
	f.Float64Var(&gpus, "gpus", 0, "accelerators of a task")
	f.Float64Var(&memory, "memory", 1, "memory of a task in GB")
	f.Float64Var(&estimate, "estimate", 10, "expected run time of a task in seconds")
	f.Float64Var(&mark, "checkpoint", 0, "seconds of progress between checkpoints (0: none)")
	f.Float64Var(&save, "save", 0, "seconds that saving takes")
	f.Float64Var(&due, "due", 0, "deadline in seconds from now (0: none)")
	f.BoolVar(&oneZone, "one-zone", false, "all tasks in one zone")
	f.BoolVar(&spread, "spread", false, "at most half of the tasks in one zone")
	f.BoolVar(&ordinary, "no-spot", false, "not on spot machines")
	f.BoolVar(&wait, "wait", false, "wait until the job is over")
	return c
}

func fromFile(name string) (*protocol.Submission, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	var m map[string]any
	if err := json.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if n, ok := m["pieces"].(float64); ok && n >= 0 && n == float64(uint64(n)) {
		m["pieces"] = uint64(n)
	}
	s := &protocol.Submission{}
	if err := protocol.Decode(protocol.Encode(m), s); err != nil {
		return nil, fmt.Errorf("%s: a field has the wrong type: %w", name, err)
	}
	return s, nil
}

// each asks for every job named and prints the answers in order.
func each(a *asker, use, short string, ask func(*cobra.Command, *client.Client, string) (*protocol.JobState, error)) *cobra.Command {
	c := &cobra.Command{Use: use + " JOB...", Short: short, Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, ids []string) error {
			cl, err := a.client(c.ErrOrStderr())
			if err != nil {
				return err
			}
			for _, id := range ids {
				s, err := ask(c, cl, id)
				if err != nil {
					return fmt.Errorf("%s: %w", id, err)
				}
				if err := a.print(c.OutOrStdout(), s); err != nil {
					return err
				}
			}
			return nil
		}}
	a.flags(c)
	return c
}

func statusCommand() *cobra.Command {
	return each(&asker{}, "status", "Tell the state of jobs", func(c *cobra.Command, cl *client.Client, id string) (*protocol.JobState, error) {
		return cl.Status(c.Context(), id)
	})
}

func abortCommand() *cobra.Command {
	return each(&asker{}, "abort", "Cancel jobs", func(c *cobra.Command, cl *client.Client, id string) (*protocol.JobState, error) {
		return cl.Abort(c.Context(), id)
	})
}

func waitCommand() *cobra.Command {
	a := &asker{}
	return each(a, "wait", "Wait until jobs are over; exit status 1 if one was cancelled", func(c *cobra.Command, cl *client.Client, id string) (*protocol.JobState, error) {
		s, err := cl.Wait(c.Context(), id, func(s *protocol.JobState) {
			if !client.Over(s) {
				c.PrintErrln(client.Line(s))
			}
		})
		if err == nil && s.Status == protocol.JobCancelled {
			err = errors.New("was cancelled")
		}
		return s, err
	})
}
