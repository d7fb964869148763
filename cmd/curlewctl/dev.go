package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"curlewspool/internal/devcluster"
	"curlewspool/internal/historycheck"
)

const (
	readyTimeout        = time.Minute
	certificateValidity = 24 * time.Hour // the clusters exist only while this process runs, which is assumed to be shorter
)

// devOptions holds the flags of curlewctl dev.
type devOptions struct {
	plan         devcluster.Plan
	kills        []string
	stopAfter    time.Duration // 0: run until an interrupt
	asJSON       bool
	offloadShare float64 // share of its cores that each cluster offers to each of the others
	load         sampleLoad
}

// devCommand makes the command that runs clusters on this machine.
func devCommand() *cobra.Command {
	options := &devOptions{}
	command := &cobra.Command{
		Use:   "dev",
		Short: "Run whole clusters on this machine until Ctrl-C",
		Long: "Starts real controllers against a simulated key-value store, cloud and machines, all on the loopback\n" +
			"interface, and prints their addresses. Ctrl-C stops all processes that it started, and no others.",
		Example: "  curlewctl dev --sample 6          # start, run sample jobs, show their result, stop\n" +
			"  curlewctl dev --clusters 2 --kill east/@30s",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return options.run(command) },
	}
	options.registerClusters(command)
	options.registerRun(command)
	return command
}

// registerClusters adds the flags that define the clusters.
func (o *devOptions) registerClusters(command *cobra.Command) {
	flags := command.Flags()
	flags.IntVar(&o.plan.Clusters, "clusters", 1, "number of clusters")
	flags.IntVar(&o.plan.Controllers, "controllers", 3, "number of controllers of each cluster")
	flags.IntVar(&o.plan.Machines, "machines", 8, "number of machines of each cluster that run from the start")
	flags.IntVar(&o.plan.Rentable, "rentable", 4, "number of machines that the cloud can add, for each machine type, zone and kind (on-demand or spot)")
	flags.IntVar(&o.plan.Zones, "zones", 2, "number of zones of each cluster")
	flags.Float64Var(&o.offloadShare, "lends", 0.8, "with several clusters: share of its cores that each offers to each of the others (0: they are not partners)")
	flags.StringVar(&o.plan.Dir, "dir", "", "folder for settings, logs and observations (default: a new temporary folder)")
	flags.StringVar(&o.plan.Program, "program", "", "program of the controllers (default: curlewspool in the folder of this program, otherwise built from source)")
	flags.StringVar(&o.plan.OldProgram, "old", "", "start all controllers with this program of another version; those that --kill restarts use --program (rolling upgrade)")
	flags.StringVar(&o.plan.LogLevel, "log-level", "info", "LOG_LEVEL of the controllers: error, info or debug")
}

// registerRun adds the flags that control what happens while the clusters run.
func (o *devOptions) registerRun(command *cobra.Command) {
	flags := command.Flags()
	flags.DurationVar(&o.stopAfter, "for", 0, "stop after this time (0: at Ctrl-C)")
	flags.StringArrayVar(&o.kills, "kill", nil, "[CLUSTER/][HOST]@TIME[+TIME]: kill a controller, or all controllers of a cluster, after the first time, and restart them after the second (repeatable)")
	flags.IntVar(&o.load.jobs, "sample", 0, "submit this many sample jobs to each cluster, show their result, and stop")
	flags.IntVar(&o.load.tasks, "sample-tasks", 8, "number of tasks of each sample job array")
	flags.Float64Var(&o.load.seconds, "sample-seconds", 4, "expected run time of the sample tasks in seconds")
	flags.StringVar(&o.load.cluster, "sample-to", "", "submit the sample jobs to this cluster only")
	flags.BoolVar(&o.asJSON, "json", false, "print addresses and the result of the sample jobs as JSON")
}

// run starts the clusters that the options describe and returns when they have stopped.
func (o *devOptions) run(command *cobra.Command) error {
	if err := o.completePlan(); err != nil {
		return err
	}
	out := command.OutOrStdout()
	messages := out
	if o.asJSON {
		messages = command.ErrOrStderr()
	}
	o.plan.Logf = lineWriter(messages)
	ctx, stop := signal.NotifyContext(command.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if o.stopAfter > 0 {
		var cancel func()
		ctx, cancel = context.WithTimeout(ctx, o.stopAfter)
		defer cancel()
	}
	return o.runClusters(ctx, out)
}

// completePlan sets the kills, the folder and the partner settings of the plan from the flags.
func (o *devOptions) completePlan() error {
	for _, text := range o.kills {
		kill, err := devcluster.ParseKill(text)
		if err != nil {
			return err
		}
		o.plan.Kills = append(o.plan.Kills, kill)
	}
	if o.plan.Dir == "" {
		folder, err := os.MkdirTemp("", "curlew-dev-")
		if err != nil {
			return err
		}
		o.plan.Dir = folder
	}
	if o.plan.Clusters > 1 && o.offloadShare > 0 {
		return o.plan.ConfigurePartners(o.offloadShare, certificateValidity)
	}
	return nil
}

// lineWriter returns a function that writes whole lines and is safe for concurrent use. It ignores
// write errors, since a message that cannot be written must not stop the clusters.
func lineWriter(out io.Writer) func(format string, args ...any) {
	var mu sync.Mutex
	return func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = fmt.Fprintf(out, format+"\n", args...)
	}
}

// runClusters starts the clusters and stops them when the context is done or the sample jobs have
// finished. It returns an error if the simulated machines detected a violated invariant.
func (o *devOptions) runClusters(ctx context.Context, out io.Writer) (err error) {
	if err := o.resolvePrograms(); err != nil {
		return err
	}
	dev, err := devcluster.Start(o.plan)
	if err != nil {
		return err
	}
	defer func() {
		dev.Stop()
		if violations := dev.Network.Violations(); err == nil && len(violations) > 0 {
			err = fmt.Errorf("%d invariant violations, the first: %s", len(violations), violations[0])
		}
	}()
	readyContext, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := dev.Ready(readyContext); err != nil {
		if ctx.Err() != nil {
			return nil // the run was stopped by the user or by --for, which is not an error
		}
		return err
	}
	clusters := o.logAddresses(dev)
	if o.load.jobs > 0 {
		return o.runSamples(ctx, dev, clusters, out)
	}
	if o.asJSON {
		if err := printJSON(out, clusters); err != nil {
			return err
		}
	}
	<-ctx.Done()
	o.plan.Logf("ending")
	return nil
}

// resolvePrograms replaces the program names in the plan with the paths of the programs.
func (o *devOptions) resolvePrograms() error {
	program, err := devcluster.Program(o.plan.Program, o.plan.Dir, o.plan.Logf)
	if err != nil {
		return err
	}
	o.plan.Program = program
	if o.plan.OldProgram == "" {
		return nil
	}
	o.plan.OldProgram, err = exec.LookPath(o.plan.OldProgram)
	return err
}

// devClusterJSON holds the addresses of a running cluster as --json prints them.
type devClusterJSON struct {
	Name        string   `json:"name"`
	UserAddress string   `json:"users"`
	Controllers []string `json:"controllers"`
}

// logAddresses logs the addresses of the clusters and examples of commands, and returns the
// addresses.
func (o *devOptions) logAddresses(dev *devcluster.Environment) []devClusterJSON {
	var clusters []devClusterJSON
	for _, cluster := range dev.Clusters {
		printed := devClusterJSON{Name: cluster.Name, UserAddress: cluster.Address()}
		for i := range cluster.Platform {
			printed.Controllers = append(printed.Controllers, cluster.Platform[i].API)
		}
		clusters = append(clusters, printed)
		prefix := ""
		if cluster.Name != "" {
			prefix = "cluster " + cluster.Name + ": "
		}
		o.plan.Logf("%sready for users at %s; controllers at %v", prefix, printed.UserAddress, printed.Controllers)
	}
	o.plan.Logf("settings, logs and what the machines saw: %s", o.plan.Dir)
	o.plan.Logf("try:  curlewctl submit --to %s --tasks 20 --estimate 5 --wait", clusters[0].UserAddress)
	o.plan.Logf("      curlewctl status --to %s JOB", clusters[0].UserAddress)
	return clusters
}

// samplesJSON holds the addresses of the clusters and the report on the sample jobs as --json prints
// them.
type samplesJSON struct {
	Clusters []devClusterJSON     `json:"clusters"`
	Observed *historycheck.Report `json:"seen"`
}

// runSamples runs the sample jobs and, with --json, prints the addresses of the clusters and the
// report on the jobs.
func (o *devOptions) runSamples(ctx context.Context, dev *devcluster.Environment, clusters []devClusterJSON, out io.Writer) error {
	report, err := o.load.run(ctx, dev, o.plan.Logf)
	if err != nil || !o.asJSON {
		return err
	}
	return printJSON(out, samplesJSON{clusters, report})
}
