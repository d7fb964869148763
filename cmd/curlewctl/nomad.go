package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"curlewspool/internal/nomad"
)

type nativeJSON struct {
	ID      string         `json:"id"`
	Group   string         `json:"group"`
	Job     map[string]any `json:"job"`
	Assumed []string       `json:"assumed"`
}

func nomadCommand() *cobra.Command {
	root := &cobra.Command{Use: "nomad", Short: "Job files of Nomad's format: what they would be here, or why not", Args: cobra.NoArgs, RunE: help}
	var rulesFile, team string
	var mhz float64
	in := nomad.Inputs{Env: os.Environ()}
	var asJSON bool
	load := func(name string) (*nomad.Plan, error) {
		st, err := os.Stat(name)
		if err != nil {
			return nil, err
		}
		if st.Size() > nomad.MaxSource {
			return nil, fmt.Errorf("%s: larger than %d bytes", name, nomad.MaxSource)
		}
		src, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		rules := nomad.DefaultRules()
		if rulesFile != "" {
			b, err := os.ReadFile(rulesFile)
			if err != nil {
				return nil, err
			}
			if rules, err = nomad.ReadRules(b); err != nil {
				return nil, fmt.Errorf("%s: %w", rulesFile, err)
			}
		}
		if mhz != 0 {
			if !(mhz >= 1 && mhz <= 1e9) {
				return nil, fmt.Errorf("--mhz %v: must be from 1 on", mhz)
			}
			rules.MHz = mhz
		}
		if team != "" {
			rules.Team = team
		}
		n, err := nomad.ReadAny(name, src, in)
		if err != nil {
			return nil, err
		}
		return nomad.PlanJobs(n, rules)
	}
	flags := func(c *cobra.Command) *cobra.Command {
		f := c.Flags()
		f.StringArrayVar(&in.Vars, "var", nil, "name=value of a variable")
		f.StringArrayVar(&in.Files, "var-file", nil, "file with values of variables")
		f.StringVar(&rulesFile, "rules", "", "operators' rules (INI, such as deploy/nomad.ini)")
		f.Float64Var(&mhz, "mhz", 0, "how many MHz are a core (default: by the rules, 2500)")
		f.StringVar(&team, "team", "", "team of jobs that name none (default: by the rules)")
		f.BoolVar(&asJSON, "json", false, "print JSON")
		return c
	}
	// A file that is refused ends with status 1 and a line for each reason.
	refused := func(c *cobra.Command, err error) error {
		var p nomad.Problems
		if !errors.As(err, &p) {
			return err
		}
		if asJSON {
			_ = show(c.OutOrStdout(), true, struct {
				Problems []string `json:"problems"`
			}{p}, nil)
		} else {
			for _, x := range p {
				c.PrintErrln(x)
			}
		}
		return fmt.Errorf("refused for %d reasons", len(p))
	}
	root.AddCommand(flags(&cobra.Command{Use: "validate FILE", Short: "Say whether a file is taken, or all that is wrong with it", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			p, err := load(args[0])
			if err != nil {
				return refused(c, err)
			}
			return show(c.OutOrStdout(), asJSON, struct {
				Jobs int `json:"jobs"`
			}{len(p.Jobs)}, func(w *bytes.Buffer) { fmt.Fprintf(w, "%s: taken, %d native jobs\n", args[0], len(p.Jobs)) })
		}}), flags(&cobra.Command{Use: "plan FILE", Short: "Show the native jobs that a file is, and what is assumed", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			p, err := load(args[0])
			if err != nil {
				return refused(c, err)
			}
			var out []nativeJSON
			for _, n := range p.Jobs {
				out = append(out, nativeJSON{*n.Job.ID, n.Group, n.ProtocolFields(), n.Assumed})
			}
			return show(c.OutOrStdout(), asJSON, out, func(w *bytes.Buffer) {
				for _, n := range p.Jobs {
					j := n.Job
					fmt.Fprintf(w, "group %s: %s %s of %d tasks, each %.4g cores, %.4g GPUs, %.4g GB; class %s, team %s, rank %s\n", n.Group, *j.Shape, *j.ID,
						*j.Tasks, *j.Cores, *j.GPUs, *j.MemoryGB, *j.Class, *j.Team, *j.Priority)
					for _, a := range n.Assumed {
						fmt.Fprintln(w, "  assumed:", a)
					}
				}
			})
		}}))
	return root
}
