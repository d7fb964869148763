package devcluster

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"curlewspool/internal/pki"
)

const (
	authorityName     = "curlew dev"
	authorityValidity = 24 * time.Hour
	keysFolder        = "keys" // in the folder of a cluster's settings
)

// ConfigurePartners makes the clusters of a plan partners of each other: it creates a certificate
// authority and sets OperatorSettings to return the settings of each cluster. offloadShare is the
// share of its cores that each cluster offers to each of the others.
func (p *Plan) ConfigurePartners(offloadShare float64, certificateValidity time.Duration) error {
	authority := filepath.Join(p.Dir, "ca")
	err := pki.MakeCA(authority, authorityName, authorityValidity)
	// If the folder already has an authority from an earlier run, that authority is used again.
	if err != nil && !os.IsExist(err) && !strings.Contains(err.Error(), "already") {
		return err
	}
	p.OperatorSettings = func(cluster *Cluster, all []*Cluster) (string, error) {
		folder := filepath.Join(p.Dir, cluster.Name, keysFolder)
		if err := pki.MakeCert(folder, authority, cluster.Name, certificateValidity); err != nil {
			return "", err
		}
		return partnerSettings(cluster, all, offloadShare), nil
	}
	return nil
}

// partnerSettings returns the operators' settings of a cluster that has all others as partners.
func partnerSettings(cluster *Cluster, all []*Cluster, offloadShare float64) string {
	var text strings.Builder
	fmt.Fprintf(&text, "[dispatch]\nchunks_per_part = 3\n\n[federation]\ncluster = %s\nlisten = %s\nca = %s/%s\ncert = %s/%s\nkey = %s/%s\n",
		cluster.Name, listenPlaceholder, keysFolder, pki.CAFile, keysFolder, pki.CertFile, keysFolder, pki.KeyFile)
	for _, other := range all {
		if other == cluster {
			continue
		}
		fmt.Fprintf(&text, "\n[partner %s]\naddresses = %s\nclasses = *\nlends = %v\nlease_s = %v\n",
			other.Name, strings.Join(other.PartnerAddresses, ", "), offloadShare, other.Platform[0].Deployment.Workers.Lease)
	}
	return text.String()
}
