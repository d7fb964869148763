package main

import (
	"bytes"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"curlewspool/internal/pki"
	"curlewspool/internal/remotelease"
)

// Default validity of the certificates of authorities and of clusters.
const (
	defaultAuthorityValidity   = 5 * 365 * 24 * time.Hour
	defaultCertificateValidity = 90 * 24 * time.Hour
)

// keysCommand makes the command that groups the subcommands for certificates.
func keysCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "keys",
		Short: "Create and show the TLS certificates with which partner clusters authenticate each other",
		Args:  cobra.NoArgs,
		RunE:  printHelp,
	}
	command.AddCommand(authorityCommand(), certificateCommand(), showCertificateCommand())
	return command
}

// authorityCommand makes the command that creates a certificate authority.
func authorityCommand() *cobra.Command {
	var folder, name string
	var validity time.Duration
	command := &cobra.Command{
		Use:   "ca",
		Short: "Create a certificate authority; an existing one is not replaced",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := pki.MakeCA(folder, name, validity); err != nil {
				return err
			}
			_, err := fmt.Fprintf(command.OutOrStdout(), "%s/%s is for all partners, %s/%s for nobody else\n", folder, pki.CAFile, folder, pki.CAKeyFile)
			return err
		},
	}
	flags := command.Flags()
	flags.StringVar(&folder, "dir", "ca", "folder to write the authority to")
	flags.StringVar(&name, "name", "curlewspool partners", "name of the authority")
	flags.DurationVar(&validity, "life", defaultAuthorityValidity, "how long the authority is valid")
	return command
}

// certificateCommand makes the command that issues the certificate of a cluster.
func certificateCommand() *cobra.Command {
	var folder, authorityFolder, cluster string
	var validity time.Duration
	command := &cobra.Command{
		Use:   "cert --cluster NAME",
		Short: "Create or renew the certificate of a cluster; controllers load a new one without a restart",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if !remotelease.IsValidClusterName(cluster) {
				return fmt.Errorf("--cluster %q: must be 1 to 20 characters of a-z, 0-9 and -", cluster)
			}
			if err := pki.MakeCert(folder, authorityFolder, cluster, validity); err != nil {
				return err
			}
			_, err := fmt.Fprintf(command.OutOrStdout(), "%s/%s and %s/%s are for the controllers of %s\n", folder, pki.CertFile, folder, pki.KeyFile, cluster)
			return err
		},
	}
	flags := command.Flags()
	flags.StringVar(&folder, "dir", "keys", "folder to write the certificate and its key to")
	flags.StringVar(&authorityFolder, "ca", "ca", "folder of the certificate authority")
	flags.StringVar(&cluster, "cluster", "", "name of the cluster")
	flags.DurationVar(&validity, "life", defaultCertificateValidity, "how long the certificate is valid")
	return command
}

// certificateJSON is a certificate as --json prints it.
type certificateJSON struct {
	Name        string    `json:"name"`
	Until       time.Time `json:"until"`
	Fingerprint string    `json:"fingerprint"`
}

// showCertificateCommand makes the command that shows the certificates in a file.
func showCertificateCommand() *cobra.Command {
	var asJSON bool
	command := &cobra.Command{
		Use:   "show FILE",
		Short: "Show name, expiry and fingerprint (for a pins file) of the certificates in a file",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return showCertificates(command.OutOrStdout(), args[0], asJSON)
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return command
}

// showCertificates prints the certificates in a PEM file.
func showCertificates(out io.Writer, file string, asJSON bool) error {
	certificates, err := pki.ReadCertificates(file)
	if err != nil {
		return err
	}
	var printed []certificateJSON
	for _, certificate := range certificates {
		printed = append(printed, certificateJSON{
			Name:        certificate.Subject.CommonName,
			Until:       certificate.NotAfter,
			Fingerprint: pki.Fingerprint(certificate),
		})
	}
	return printResult(out, asJSON, printed, func(text *bytes.Buffer) {
		for _, certificate := range printed {
			daysLeft := time.Until(certificate.Until).Hours() / 24
			fmt.Fprintf(text, "%s until %s, in %.0f days\n%s\n", certificate.Name, certificate.Until.Format(time.RFC3339), daysLeft, certificate.Fingerprint)
		}
	})
}
