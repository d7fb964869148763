package settings

import (
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"curlewspool/internal/remotelease"
)

// Federation names this cluster to its partners; nil without a [federation]
// section.
type Federation struct {
	Cluster  string
	Listen   string // HOST:PORT of this controller's listener for partners
	CA       string // files; who signs partners' certificates
	Cert     string
	Key      string
	Partners []Partner // by name
}

// Partner is another cluster.
type Partner struct {
	Name      string
	Addresses []string // of its controllers' listeners
	Classes   []string // that may go there; "*": all
	Services  bool     // may go there
	Lends     float64  // share of this cluster's cores lent to it
	Term      time.Duration
	Lease     time.Duration // of its workers
	Ratio     float64       // home's wait over the wait there
	CA, Pins  string        // files; Pins lists the certificates served, if set
}

// Partner finds one.
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

// MayGo tells whether jobs of a class may go to the partner.
func (p *Partner) MayGo(class string) bool {
	for _, c := range p.Classes {
		if c == class || c == "*" {
			return true
		}
	}
	return false
}

// partnerSection starts the name of a partner's section: [partner east].
const partnerSection = "partner "

func federated(section string) bool {
	return section == "federation" || strings.HasPrefix(section, partnerSection)
}

// federation reads [federation] and [partner NAME]; files are beside dir.
func (s *Settings) federation(file *ini.File, dir string) error {
	var names []string
	for _, sec := range file.Sections() {
		if strings.HasPrefix(sec.Name(), partnerSection) {
			names = append(names, strings.TrimSpace(strings.TrimPrefix(sec.Name(), partnerSection)))
		}
	}
	if !file.HasSection("federation") {
		if len(names) > 0 {
			return errors.New("[partner ...] needs a [federation] section")
		}
		return nil
	}
	sort.Strings(names)
	r := &reader{sec: file.Section("federation"), dir: dir}
	f := &Federation{Cluster: r.text("cluster", ""), Listen: r.text("listen", ""), CA: r.file("ca", true), Cert: r.file("cert", true), Key: r.file("key", true)}
	if err := r.done(); err != nil {
		return err
	}
	if !remotelease.IsValidClusterName(f.Cluster) {
		return fmt.Errorf("[federation] cluster: %q must be 1 to 20 of a-z, 0-9 and -", f.Cluster)
	}
	host, _, _ := net.SplitHostPort(s.API)
	if strings.HasPrefix(f.Listen, ":") {
		f.Listen = host + f.Listen
	}
	if !address(f.Listen) {
		return fmt.Errorf("[federation] listen: %q must be HOST:PORT or :PORT", f.Listen)
	}
	for _, name := range names {
		p, err := s.partner(file.Section(partnerSection+name), name, dir)
		if err != nil {
			return fmt.Errorf("[partner %s] %w", name, err)
		}
		if name == f.Cluster || f.Partner(name) != nil {
			return fmt.Errorf("[partner %s] is this cluster itself, or there twice", name)
		}
		f.Partners = append(f.Partners, *p)
	}
	if len(f.Partners) == 0 {
		return errors.New("[federation] without any [partner NAME]")
	}
	s.Federation = f
	return nil
}

func (s *Settings) partner(sec *ini.Section, name, dir string) (*Partner, error) {
	if !remotelease.IsValidClusterName(name) {
		return nil, errors.New("a cluster's name is 1 to 20 of a-z, 0-9 and -")
	}
	r := &reader{sec: sec, dir: dir}
	p := &Partner{Name: name, Addresses: r.list("addresses"), Classes: r.list("classes"), Services: r.yes("services"),
		Lends: r.number("lends", 0, 0, 1), Ratio: r.number("ratio", 2, 1, 1000),
		Lease: seconds(r.number("lease_s", 0, 0, 3600)), Term: seconds(r.number("term_s", 3600, 1, 3600)),
		CA: r.file("ca", false), Pins: r.file("pins", false)}
	if err := r.done(); err != nil {
		return nil, err
	}
	if len(p.Addresses) == 0 {
		return nil, errors.New("addresses is missing")
	}
	for _, a := range p.Addresses {
		if !address(a) {
			return nil, fmt.Errorf("addresses: %q is not HOST:PORT", a)
		}
	}
	if len(p.Classes) > 0 {
		if p.Lease <= 0 {
			return nil, errors.New("lease_s, the lease of its workers, is missing")
		}
		// An abort must be over within cancel_s though the partner cannot be told.
		longest := remotelease.MaxTerm(seconds(s.Deployment.Workers.Cancel), p.Lease, Drift)
		p.Term = min(p.Term, longest)
		if least := seconds(2 * s.Deployment.Workers.Report); p.Term < least {
			return nil, fmt.Errorf("nothing can go there: cancel_s leaves a term of %v beside a lease of %v, at least %v is needed", longest, p.Lease, least)
		}
	}
	return p, nil
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

func address(s string) bool { _, err := net.ResolveTCPAddr("tcp4", s); return s != "" && err == nil }

// reader takes keys of a section and remembers what is wrong.
type reader struct {
	sec  *ini.Section
	dir  string
	seen map[string]bool
	err  error
}

func (r *reader) text(key, def string) string {
	if r.seen == nil {
		r.seen = map[string]bool{}
	}
	r.seen[key] = true
	if !r.sec.HasKey(key) {
		return def
	}
	return strings.TrimSpace(r.sec.Key(key).String())
}

func (r *reader) fail(key, why string) {
	if r.err == nil {
		r.err = fmt.Errorf("%s: %s", key, why)
	}
}

func (r *reader) file(key string, must bool) string {
	v := r.text(key, "")
	if v == "" {
		if must {
			r.fail(key, "is missing")
		}
		return ""
	}
	if !filepath.IsAbs(v) {
		v = filepath.Join(r.dir, v)
	}
	return v
}

func (r *reader) list(key string) (out []string) {
	for _, v := range strings.Split(r.text(key, ""), ",") {
		if v = strings.TrimSpace(v); v != "" {
			out = append(out, v)
		}
	}
	return out
}

func (r *reader) yes(key string) bool {
	switch v := r.text(key, "no"); v {
	case "yes":
		return true
	case "no":
	default:
		r.fail(key, strconv.Quote(v)+" must be yes or no")
	}
	return false
}

func (r *reader) number(key string, def, lo, hi float64) float64 {
	t := r.text(key, "")
	if t == "" {
		return def
	}
	v, err := strconv.ParseFloat(t, 64)
	if err != nil || !(v >= lo && v <= hi) {
		r.fail(key, fmt.Sprintf("%q must be a number from %v to %v", t, lo, hi))
		return def
	}
	return v
}

// done tells what was wrong, unknown keys included.
func (r *reader) done() error {
	for _, k := range r.sec.Keys() {
		if !r.seen[k.Name()] {
			r.fail(k.Name(), "unknown setting")
		}
	}
	return r.err
}
