package main

import (
	"bytes"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"curlewspool/internal/pki"
	"curlewspool/internal/remotelease"
)

func keysCommand() *cobra.Command {
	root := &cobra.Command{Use: "keys", Short: "Make and read the certificates by which clusters know each other", Args: cobra.NoArgs, RunE: help}
	var dir, ca, cluster, name string
	var life time.Duration
	makeCA := &cobra.Command{Use: "ca", Short: "Make an authority", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := pki.MakeCA(dir, name, life); err != nil {
				return err
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "%s/%s is for all partners, %s/%s for nobody else\n", dir, pki.CAFile, dir, pki.CAKeyFile)
			return err
		}}
	makeCA.Flags().StringVar(&dir, "dir", "ca", "folder")
	makeCA.Flags().StringVar(&name, "name", "curlewspool partners", "the authority's name")
	makeCA.Flags().DurationVar(&life, "life", 5*365*24*time.Hour, "how long it is valid")
	makeCert := &cobra.Command{Use: "cert --cluster NAME", Short: "Make, or renew, a cluster's certificate; controllers take it without a restart", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if !remotelease.IsValidClusterName(cluster) {
				return fmt.Errorf("--cluster %q: must be 1 to 20 of a-z, 0-9 and -", cluster)
			}
			if err := pki.MakeCert(dir, ca, cluster, life); err != nil {
				return err
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "%s/%s and %s/%s are for the controllers of %s\n", dir, pki.CertFile, dir, pki.KeyFile, cluster)
			return err
		}}
	makeCert.Flags().StringVar(&dir, "dir", "keys", "folder")
	makeCert.Flags().StringVar(&ca, "ca", "ca", "folder of the authority")
	makeCert.Flags().StringVar(&cluster, "cluster", "", "the cluster's name")
	makeCert.Flags().DurationVar(&life, "life", 90*24*time.Hour, "how long it is valid")
	var asJSON bool
	shows := &cobra.Command{Use: "show FILE", Short: "Tell what a certificate says, with its fingerprint for a pins file", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			list, err := pki.ReadCertificates(args[0])
			if err != nil {
				return err
			}
			type certJSON struct {
				Name        string    `json:"name"`
				Until       time.Time `json:"until"`
				Fingerprint string    `json:"fingerprint"`
			}
			var out []certJSON
			for _, x := range list {
				out = append(out, certJSON{x.Subject.CommonName, x.NotAfter, pki.Fingerprint(x)})
			}
			return show(c.OutOrStdout(), asJSON, out, func(w *bytes.Buffer) {
				for _, x := range out {
					fmt.Fprintf(w, "%s until %s, in %.0f days\n%s\n", x.Name, x.Until.Format(time.RFC3339), time.Until(x.Until).Hours()/24, x.Fingerprint)
				}
			})
		}}
	shows.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	root.AddCommand(makeCA, makeCert, shows)
	return root
}
