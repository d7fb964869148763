package main

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"curlewspool/internal/client"
	"curlewspool/internal/devcluster"
	"curlewspool/internal/historycheck"
	"curlewspool/internal/protocol"
	"curlewspool/internal/simulator"
)

// devOptions are the flags of curlewctl dev.
type devOptions struct {
	plan      devcluster.Plan
	kills     []string
	stopAfter time.Duration // 0: at an interrupt
	asJSON    bool
	lendShare float64 // of its cores that each cluster lends to each other one
	load      sampleLoad
}

func devCommand() *cobra.Command {
	options := &devOptions{}
	c := &cobra.Command{
		Use:   "dev",
		Short: "Run whole clusters on this machine until Ctrl-C",
		Long: "Starts stand-ins for the state service, the cloud and the machines, and real controllers,\n" +
			"all on the loopback, and prints how to speak to them. Ctrl-C ends all of it, and nothing else.",
		Example: "  curlewctl dev --sample 6          # start, run sample jobs, show them done, end\n" +
			"  curlewctl dev --clusters 2 --kill east/@30s",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return options.run(c) },
	}
	f := c.Flags()
	f.IntVar(&options.plan.Controllers, "controllers", 3, "controllers of each cluster")
	f.IntVar(&options.plan.Machines, "machines", 8, "machines of each cluster that are up at the start")
	f.IntVar(&options.plan.Rentable, "rentable", 4, "machines of each type, zone and kind that the cloud has more")
	f.IntVar(&options.plan.Zones, "zones", 2, "zones")
	f.IntVar(&options.plan.Clusters, "clusters", 1, "clusters")
	f.Float64Var(&options.lendShare, "lends", 0.8, "with several clusters: the share of its cores that each lends to each other one (0: no partners)")
	f.DurationVar(&options.stopAfter, "for", 0, "end after this time (0: at Ctrl-C)")
	f.StringVar(&options.plan.Dir, "dir", "", "folder for settings and logs (default: a new one)")
	f.StringArrayVar(&options.kills, "kill", nil, "[CLUSTER/][HOST]@TIME[+TIME]: a controller, or all of a cluster, to die then, and to be back later")
	f.IntVar(&options.load.jobs, "sample", 0, "submit this many sample jobs to each cluster, show them done, and end")
	f.StringVar(&options.plan.Program, "program", "", "the controller's program (default: beside this one, else built from source)")
	f.StringVar(&options.plan.Old, "old", "", "a program of another version with which all controllers begin; those that --kill has back come with --program")
	f.StringVar(&options.plan.LogLevel, "log-level", "info", "the controllers' LOG_LEVEL: error, info or debug")
	f.IntVar(&options.load.tasks, "sample-tasks", 8, "tasks of each sample array")
	f.Float64Var(&options.load.seconds, "sample-seconds", 4, "expected run time of the samples' tasks")
	f.StringVar(&options.load.only, "sample-to", "", "submit the samples to this cluster only")
	f.BoolVar(&options.asJSON, "json", false, "print addresses, and the samples' result, as JSON")
	return c
}

// run starts the clusters that the options describe and returns when they have ended.
func (o *devOptions) run(c *cobra.Command) error {
	for _, text := range o.kills {
		kill, err := devcluster.ParseKill(text)
		if err != nil {
			return err
		}
		o.plan.Kills = append(o.plan.Kills, kill)
	}
	if o.plan.Dir == "" {
		dir, err := os.MkdirTemp("", "curlew-dev-")
		if err != nil {
			return err
		}
		o.plan.Dir = dir
	}
	if o.plan.Clusters > 1 && o.lendShare > 0 {
		if err := o.plan.Partners(o.lendShare, 24*time.Hour); err != nil {
			return err
		}
	}
	out := c.OutOrStdout()
	messages := out
	if o.asJSON {
		messages = c.ErrOrStderr()
	}
	o.plan.Say = lineWriter(messages)
	ctx, done := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
	defer done()
	if o.stopAfter > 0 {
		var cancel func()
		ctx, cancel = context.WithTimeout(ctx, o.stopAfter)
		defer cancel()
	}
	return runDev(ctx, o.plan, o.load, o.asJSON, out)
}

// lineWriter writes whole lines, also when several goroutines call it. A message that
// cannot be written is lost: what it tells of goes on.
func lineWriter(out io.Writer) func(format string, a ...any) {
	var mu sync.Mutex
	return func(format string, a ...any) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = fmt.Fprintf(out, format+"\n", a...)
	}
}

type clusterJSON struct {
	Name        string   `json:"name"`
	Users       string   `json:"users"`
	Controllers []string `json:"controllers"`
}

// sampleLoad is what --sample submits.
type sampleLoad struct {
	jobs, tasks int
	seconds     float64
	only        string
}

func runDev(ctx context.Context, p devcluster.Plan, load sampleLoad, asJSON bool, out io.Writer) (err error) {
	if p.Program, err = devcluster.Program(p.Program, p.Dir, p.Say); err != nil {
		return err
	}
	if p.Old != "" {
		if p.Old, err = exec.LookPath(p.Old); err != nil {
			return err
		}
	}
	d, err := devcluster.Start(p)
	if err != nil {
		return err
	}
	defer func() {
		d.Stop()
		if broken := d.Live.Violations(); err == nil && len(broken) > 0 {
			err = fmt.Errorf("%d rules were seen broken, the first: %s", len(broken), broken[0])
		}
	}()
	wait, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	if err := d.Ready(wait); err != nil {
		if ctx.Err() != nil {
			return nil // it was to end
		}
		return err
	}
	var list []clusterJSON
	for _, c := range d.Clusters {
		j := clusterJSON{Name: c.Name, Users: c.Address()}
		for i := range c.Platform {
			j.Controllers = append(j.Controllers, c.Platform[i].API)
		}
		list = append(list, j)
		name := ""
		if c.Name != "" {
			name = "cluster " + c.Name + ": "
		}
		p.Say("%sready for users at %s; controllers at %v", name, j.Users, j.Controllers)
	}
	p.Say("settings, logs and what the machines saw: %s", p.Dir)
	p.Say("try:  curlewctl submit --to %s --tasks 20 --estimate 5 --wait", list[0].Users)
	p.Say("      curlewctl status --to %s JOB", list[0].Users)
	if load.jobs > 0 {
		r, err := samples(ctx, d, load, p.Say)
		if err != nil {
			return err
		}
		if asJSON {
			return show(out, true, struct {
				Clusters []clusterJSON        `json:"clusters"`
				Seen     *historycheck.Report `json:"seen"`
			}{list, r}, nil)
		}
		return nil
	}
	if asJSON {
		if err := show(out, true, list, nil); err != nil {
			return err
		}
	}
	<-ctx.Done()
	p.Say("ending")
	return nil
}

// samples submits arrays and gangs, waits until all are done, and has what the
// machines saw judged.
func samples(ctx context.Context, d *devcluster.Dev, load sampleLoad, say func(string, ...any)) (*historycheck.Report, error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed error
	tasks := map[string]int{}
	begun := time.Now()
	for _, c := range d.Clusters {
		if load.only != "" && load.only != c.Name {
			continue
		}
		for i := 0; i < load.jobs; i++ {
			id := fmt.Sprintf("wk-sample-%s%d", c.Name, i+1)
			sub := simulator.NewSubmission(id, protocol.ShapeArray, load.tasks, 1, load.seconds, nil)
			if i%3 == 2 {
				sub = simulator.NewSubmission(id, protocol.ShapeGang, 3, 2, load.seconds, nil)
			}
			*sub.Class = "sample"
			tasks[id] = int(*sub.Tasks)
			cl, err := client.New(c.Address())
			if err != nil {
				return nil, err
			}
			cl.Pause, cl.Patience = time.Second/2, 10*time.Minute
			wg.Add(1)
			go func() {
				defer wg.Done()
				_, err := cl.Submit(ctx, sub)
				if err == nil {
					_, err = cl.Wait(ctx, id, func(s *protocol.JobState) { say("%s", client.Line(s)) })
				}
				if err != nil {
					mu.Lock()
					failed = fmt.Errorf("%s: %w", id, err)
					mu.Unlock()
				}
			}()
		}
	}
	wg.Wait()
	if failed != nil {
		return nil, failed
	}
	r, err := auditFile(filepath.Join(d.Dir(), "machines.jsonl"))
	if err != nil {
		return nil, err
	}
	for id, want := range tasks {
		if r.Jobs[id] != want {
			r.Violations = append(r.Violations, fmt.Sprintf("%s is done, machines finished %d of its %d tasks", id, r.Jobs[id], want))
		}
	}
	say("%d jobs done in %.0f s; machines saw %d tasks start %d times, %d finished once (%s), %d started again with their result kept", len(tasks), time.Since(begun).Seconds(),
		r.Tasks, r.Starts, r.Finished, places(r.ByCluster), r.ResultsReused)
	if len(r.Violations) > 0 {
		return r, errors.New(r.Violations[0])
	}
	return r, nil
}

func auditFile(name string) (*historycheck.Report, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // read only
	r, err := historycheck.Check(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return r, nil
}

func auditCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use: "audit FILE", Short: "Judge what machines saw: each task finished once, none in two places",
		Long: "FILE is the machines.jsonl that `curlewctl dev` leaves in its folder.", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			r, err := auditFile(args[0])
			if err != nil {
				return err
			}
			if err := show(c.OutOrStdout(), asJSON, r, func(w *bytes.Buffer) {
				fmt.Fprintf(w, "%d tasks of %d jobs, %d starts: %d finished once, %d started again with their result kept, %d still there, %d lost and not run again\n",
					r.Tasks, len(r.Jobs), r.Starts, r.Finished, r.ResultsReused, r.Running, r.Lost)
				for _, c := range slices.Sorted(maps.Keys(r.ByCluster)) {
					fmt.Fprintf(w, "finished in %s: %d\n", cmp.Or(c, "the cluster"), r.ByCluster[c])
				}
				for _, x := range r.Violations {
					fmt.Fprintln(w, "WRONG", x)
				}
			}); err != nil {
				return err
			}
			if len(r.Violations) > 0 {
				return fmt.Errorf("%d things were wrong", len(r.Violations))
			}
			return nil
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// places tells how many tasks finished in each cluster.
func places(by map[string]int) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(by)) {
		n := name
		if n == "" {
			n = "here"
		}
		out = append(out, fmt.Sprintf("%s %d", n, by[name]))
	}
	return strings.Join(out, ", ")
}
