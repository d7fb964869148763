package settings

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"sort"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"curlewspool/internal/remotelease"
)

// Federation holds the settings for the communication with partner clusters, and those of each
// partner.
type Federation struct {
	Cluster  string    // name of this cluster
	Listen   string    // HOST:PORT on which this controller listens for partners
	CA       string    // file with the authority that signs the partners' certificates
	Cert     string    // file with this cluster's certificate
	Key      string    // file with the private key of that certificate
	Partners []Partner // sorted by name
}

// Partner holds the settings of one partner cluster.
type Partner struct {
	Name            string
	Addresses       []string      // HOST:PORT on which its controllers listen for partners
	Classes         []string      // job classes that may be offloaded to it; anyClass stands for all
	OffloadServices bool          // whether service jobs may be offloaded to it
	HostedShare     float64       // share of this cluster's cores that the partner's jobs may use
	Term            time.Duration // term of its remote leases
	MachineLease    time.Duration // length of a machine lease in its cluster
	MinWaitRatio    float64       // a job is offloaded if its expected wait here is more than this many times its expected wait there
	CA              string        // file with the authority that signs its certificates; "": Federation.CA
	Pins            string        // file with the fingerprints of its accepted certificates; "": all that the authority signed
}

// anyClass, as an element of Partner.Classes, stands for all classes.
const anyClass = "*"

// Partner returns the partner with the given name, or nil. A nil Federation has no partners.
func (f *Federation) Partner(name string) *Partner {
	if f == nil {
		return nil
	}
	for i := range f.Partners {
		if f.Partners[i].Name == name {
			return &f.Partners[i]
		}
	}
	return nil
}

// MayOffload reports whether jobs of a class may be offloaded to the partner.
func (p *Partner) MayOffload(class string) bool {
	return slices.Contains(p.Classes, class) || slices.Contains(p.Classes, anyClass)
}

const (
	federationSection = "federation"
	// partnerSectionPrefix starts the name of a partner's section: [partner east].
	partnerSectionPrefix = "partner "
)

// isFederationSection reports whether readFederation reads a section.
func isFederationSection(section string) bool {
	return section == federationSection || strings.HasPrefix(section, partnerSectionPrefix)
}

// partnerNames lists the partners that have a section, sorted by name.
func partnerNames(file *ini.File) []string {
	var names []string
	for _, section := range file.Sections() {
		if name, ok := strings.CutPrefix(section.Name(), partnerSectionPrefix); ok {
			names = append(names, strings.TrimSpace(name))
		}
	}
	sort.Strings(names)
	return names
}

// readFederation reads [federation] and each [partner NAME]. Relative paths in them are resolved
// against folder. Without a [federation] section there are no partners.
func (s *Settings) readFederation(file *ini.File, folder string) error {
	names := partnerNames(file)
	if !file.HasSection(federationSection) {
		if len(names) > 0 {
			return errors.New("[partner ...] needs a [federation] section")
		}
		return nil
	}
	federation, err := s.parseFederation(file.Section(federationSection), folder)
	if err != nil {
		return err
	}
	for _, name := range names {
		partner, err := s.parsePartner(file.Section(partnerSectionPrefix+name), name, folder)
		if err != nil {
			return fmt.Errorf("[partner %s] %w", name, err)
		}
		if name == federation.Cluster || federation.Partner(name) != nil {
			return fmt.Errorf("[partner %s] is this cluster itself, or declared twice", name)
		}
		federation.Partners = append(federation.Partners, *partner)
	}
	if len(federation.Partners) == 0 {
		return errors.New("[federation] without any [partner NAME]")
	}
	s.Federation = federation
	return nil
}

// parseFederation reads the [federation] section. It does not read the partners.
func (s *Settings) parseFederation(section *ini.Section, folder string) (*Federation, error) {
	r := newSectionReader(section, folder)
	federation := &Federation{
		Cluster: r.text("cluster", ""),
		Listen:  r.text("listen", ""),
		CA:      r.requiredFile("ca"),
		Cert:    r.requiredFile("cert"),
		Key:     r.requiredFile("key"),
	}
	if err := r.finish(); err != nil {
		return nil, err
	}
	if !remotelease.IsValidClusterName(federation.Cluster) {
		return nil, fmt.Errorf("[federation] cluster: %q must be 1 to 20 of a-z, 0-9 and -", federation.Cluster)
	}
	if strings.HasPrefix(federation.Listen, ":") {
		host, _, _ := net.SplitHostPort(s.API) // cannot fail: api_addr has been checked
		federation.Listen = host + federation.Listen
	}
	if !isAddress(federation.Listen) {
		return nil, fmt.Errorf("[federation] listen: %q must be HOST:PORT or :PORT", federation.Listen)
	}
	return federation, nil
}

// Limits and defaults of a partner's settings. Times are in seconds.
const (
	defaultRatio  = 2
	maxRatio      = 1000
	maxLease      = 3600
	maxRemoteTerm = 3600
)

// parsePartner reads and checks the section of the named partner.
func (s *Settings) parsePartner(section *ini.Section, name, folder string) (*Partner, error) {
	if !remotelease.IsValidClusterName(name) {
		return nil, errors.New("a cluster's name is 1 to 20 of a-z, 0-9 and -")
	}
	r := newSectionReader(section, folder)
	partner := &Partner{
		Name:            name,
		Addresses:       r.list("addresses"),
		Classes:         r.list("classes"),
		OffloadServices: r.flag("services"),
		HostedShare:     r.number("lends", 0, 0, 1),
		MinWaitRatio:    r.number("ratio", defaultRatio, 1, maxRatio),
		MachineLease:    seconds(r.number("lease_s", 0, 0, maxLease)),
		Term:            seconds(r.number("term_s", maxRemoteTerm, 1, maxRemoteTerm)),
		CA:              r.optionalFile("ca"),
		Pins:            r.optionalFile("pins"),
	}
	if err := r.finish(); err != nil {
		return nil, err
	}
	if len(partner.Addresses) == 0 {
		return nil, errors.New("addresses is missing")
	}
	for _, address := range partner.Addresses {
		if !isAddress(address) {
			return nil, fmt.Errorf("addresses: %q is not HOST:PORT", address)
		}
	}
	if len(partner.Classes) == 0 {
		return partner, nil // nothing is offloaded to it
	}
	return partner, s.limitTerm(partner)
}

// limitTerm shortens a partner's term so that a cancelled job ends there within cancel_s even if
// the partner cannot be notified. It returns an error if lease_s is missing, or if the term would
// be shorter than two report intervals.
func (s *Settings) limitTerm(partner *Partner) error {
	if partner.MachineLease <= 0 {
		return errors.New("lease_s, the length of its machine leases, is missing")
	}
	longest := remotelease.MaxTerm(seconds(s.Deployment.Workers.Cancel), partner.MachineLease, MaxClockDrift)
	partner.Term = min(partner.Term, longest)
	if shortest := seconds(2 * s.Deployment.Workers.Report); partner.Term < shortest {
		return fmt.Errorf("nothing can go there: cancel_s leaves a term of %v beside a lease of %v, at least %v is needed", longest, partner.MachineLease, shortest)
	}
	return nil
}

// seconds converts a number of seconds to a duration.
func seconds(number float64) time.Duration {
	return time.Duration(number * float64(time.Second))
}

// isAddress reports whether text is HOST:PORT with a host that resolves.
func isAddress(text string) bool {
	if text == "" {
		return false
	}
	_, err := net.ResolveTCPAddr("tcp4", text)
	return err == nil
}
