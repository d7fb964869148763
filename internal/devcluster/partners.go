package devcluster

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"curlewspool/internal/pki"
)

// Partners lets the clusters of a plan lend to each other: an authority and a
// certificate for each, and settings for each controller. lends is the share
// that each lends to each.
func (p *Plan) Partners(lends float64, certLife time.Duration) error {
	ca := filepath.Join(p.Dir, "ca")
	// A folder that was used before has one already.
	if err := pki.MakeCA(ca, "curlew dev", 24*time.Hour); err != nil && !os.IsExist(err) && !strings.Contains(err.Error(), "already") {
		return err
	}
	p.INI = func(c *Cluster, all []*Cluster) (string, error) {
		dir := filepath.Join(p.Dir, c.Name, "keys")
		if err := pki.MakeCert(dir, ca, c.Name, certLife); err != nil {
			return "", err
		}
		var b strings.Builder
		fmt.Fprintf(&b, "[dispatch]\nchunks_per_part = 3\n\n[federation]\ncluster = %s\nlisten = {listen}\nca = keys/%s\ncert = keys/%s\nkey = keys/%s\n",
			c.Name, pki.CAFile, pki.CertFile, pki.KeyFile)
		for _, o := range all {
			if o != c {
				fmt.Fprintf(&b, "\n[partner %s]\naddresses = %s\nclasses = *\nlends = %v\nlease_s = %v\n", o.Name, strings.Join(o.Peers, ", "), lends,
					o.Platform[0].Deployment.Workers.Lease)
			}
		}
		return b.String(), nil
	}
	return nil
}
