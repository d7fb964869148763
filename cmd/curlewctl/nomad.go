package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"curlewspool/internal/nomad"
)

// nomadCommand makes the command that groups the subcommands for Nomad job files.
func nomadCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "nomad",
		Short: "Check HashiCorp Nomad job files and show the native jobs that they are converted to",
		Args:  cobra.NoArgs,
		RunE:  printHelp,
	}
	command.AddCommand(nomadValidateCommand(), nomadPlanCommand())
	return command
}

// nomadOptions holds the flags of the nomad subcommands.
type nomadOptions struct {
	inputs    nomad.Inputs
	rulesFile string
	coreMHz   float64 // 0: use the value in the rules
	team      string  // "": use the value in the rules
	asJSON    bool
}

// register adds the flags to a command.
func (o *nomadOptions) register(command *cobra.Command) {
	o.inputs.Env = os.Environ()
	flags := command.Flags()
	flags.StringArrayVar(&o.inputs.Vars, "var", nil, "set a variable, as name=value (repeatable; overrides files and environment)")
	flags.StringArrayVar(&o.inputs.Files, "var-file", nil, "read variables from this file (repeatable; overrides the environment, NOMAD_VAR_name)")
	flags.StringVar(&o.rulesFile, "rules", "", "operators' defaults for properties that job files leave out (INI, such as deploy/nomad.ini)")
	flags.Float64Var(&o.coreMHz, "mhz", 0, "MHz that count as one core (default: the value in the rules, otherwise 2500)")
	flags.StringVar(&o.team, "team", "", "team of jobs that name none (default: the value in the rules)")
	flags.BoolVar(&o.asJSON, "json", false, "print JSON")
}

// nomadValidateCommand makes the command that checks a job file.
func nomadValidateCommand() *cobra.Command {
	options := &nomadOptions{}
	command := &cobra.Command{
		Use:   "validate FILE",
		Short: "Check whether a job file is accepted, and list its problems if it is not",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			plan, err := options.plan(command, args[0])
			if err != nil {
				return err
			}
			result := struct {
				Jobs int `json:"jobs"`
			}{len(plan.Jobs)}
			return printResult(command.OutOrStdout(), options.asJSON, result, func(text *bytes.Buffer) {
				fmt.Fprintf(text, "%s: taken, %d native jobs\n", args[0], len(plan.Jobs))
			})
		},
	}
	options.register(command)
	return command
}

// nomadPlanCommand makes the command that shows the native jobs of a job file.
func nomadPlanCommand() *cobra.Command {
	options := &nomadOptions{}
	command := &cobra.Command{
		Use:   "plan FILE",
		Short: "Show the native jobs that a job file is converted to, and the assumptions for what it leaves out",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			plan, err := options.plan(command, args[0])
			if err != nil {
				return err
			}
			return printResult(command.OutOrStdout(), options.asJSON, nativeJobsJSON(plan.Jobs), func(text *bytes.Buffer) {
				for _, native := range plan.Jobs {
					describeNativeJob(text, native)
				}
			})
		},
	}
	options.register(command)
	return command
}

// plan reads and converts a job file. For a refused file it prints the problems and returns an
// error with their number.
func (o *nomadOptions) plan(command *cobra.Command, file string) (*nomad.Plan, error) {
	plan, err := o.convert(file)
	var problems nomad.Problems
	if !errors.As(err, &problems) {
		return plan, err
	}
	if o.asJSON {
		_ = printJSON(command.OutOrStdout(), problemsJSON{problems}) // the error below is returned in any case
	} else {
		for _, problem := range problems {
			command.PrintErrln(problem)
		}
	}
	return nil, fmt.Errorf("refused for %d reasons", len(problems))
}

// convert reads a job file and converts it to native jobs according to the rules.
func (o *nomadOptions) convert(file string) (*nomad.Plan, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if info.Size() > nomad.MaxSourceSize {
		return nil, fmt.Errorf("%s: larger than %d bytes", file, nomad.MaxSourceSize)
	}
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	rules, err := o.rules()
	if err != nil {
		return nil, err
	}
	job, err := nomad.ReadAny(file, source, o.inputs)
	if err != nil {
		return nil, err
	}
	return nomad.PlanJobs(job, rules)
}

// rules returns the rules from the file that --rules names, or the default rules. The flags --mhz
// and --team override their values.
func (o *nomadOptions) rules() (nomad.Rules, error) {
	rules := nomad.DefaultRules()
	if o.rulesFile != "" {
		text, err := os.ReadFile(o.rulesFile)
		if err != nil {
			return rules, err
		}
		if rules, err = nomad.ReadRules(text); err != nil {
			return rules, fmt.Errorf("%s: %w", o.rulesFile, err)
		}
	}
	if o.coreMHz != 0 {
		if !(o.coreMHz >= 1 && o.coreMHz <= 1e9) { // the negation also refuses NaN
			return rules, fmt.Errorf("--mhz %v: must be between 1 and 1e9", o.coreMHz)
		}
		rules.CoreMHz = o.coreMHz
	}
	if o.team != "" {
		rules.Team = o.team
	}
	return rules, nil
}

// problemsJSON holds the problems of a refused file as --json prints them.
type problemsJSON struct {
	Problems []string `json:"problems"`
}

// nativeJobJSON is a native job as plan --json prints it.
type nativeJobJSON struct {
	ID      string         `json:"id"`
	Group   string         `json:"group"`
	Job     map[string]any `json:"job"`
	Assumed []string       `json:"assumed"`
}

// nativeJobsJSON returns native jobs as plan --json prints them.
func nativeJobsJSON(jobs []nomad.NativeJob) []nativeJobJSON {
	var printed []nativeJobJSON
	for _, native := range jobs {
		printed = append(printed, nativeJobJSON{
			ID:      *native.Job.ID,
			Group:   native.Group,
			Job:     native.ProtocolFields(),
			Assumed: native.Assumed,
		})
	}
	return printed
}

// describeNativeJob writes a native job and the assumptions made for it as text.
func describeNativeJob(text *bytes.Buffer, native nomad.NativeJob) {
	job := native.Job
	fmt.Fprintf(text, "group %s: %s %s of %d tasks, each %.4g cores, %.4g GPUs, %.4g GB; class %s, team %s, rank %s\n",
		native.Group, *job.Shape, *job.ID, *job.Tasks, *job.Cores, *job.GPUs, *job.MemoryGB, *job.Class, *job.Team, *job.Priority)
	for _, assumption := range native.Assumed {
		fmt.Fprintln(text, "  assumed:", assumption)
	}
}
