package nomad

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "write the golden files and the table in docs/nomad.md anew")

func golden(t *testing.T, name, text string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if text != string(want) {
		t.Errorf("%s differs:\n%s", name, text)
	}
}

func testRules() Rules {
	r := DefaultRules()
	r.Classes["scan"] = Class{Estimate: 20, ImageGB: 0.9, Spot: true}
	return r
}

// TestHCLAndJSONAgree checks that the same job in both forms is the same native job.
func TestHCLAndJSONAgree(t *testing.T) {
	form := func(file string, in Inputs) string {
		src, err := os.ReadFile("testdata/taken/" + file)
		if err != nil {
			t.Fatal(err)
		}
		n, err := ReadAny(file, src, in)
		if err != nil {
			t.Fatal(err)
		}
		p, err := PlanJobs(n, testRules())
		if err != nil {
			t.Fatal(err)
		}
		b, _ := json.Marshal(p.Jobs[0].ProtocolFields())
		return string(b)
	}
	if a, b := form("scan.nomad", Inputs{Vars: []string{"zone=thies-hall"}}), form("scan.json", Inputs{}); a != b {
		t.Errorf("HCL  %s\nJSON %s", a, b)
	}
}

// TestAcceptedFiles compares the native jobs that files become, with all that was
// assumed, to the golden file.
func TestAcceptedFiles(t *testing.T) {
	files, _ := filepath.Glob("testdata/taken/*")
	var b strings.Builder
	for _, f := range files {
		in := []string{"zone=thies-hall"}
		if !strings.Contains(f, "scan.nomad") {
			in = nil
		}
		src, _ := os.ReadFile(f)
		n, err := ReadAny(filepath.Base(f), src, Inputs{Vars: in})
		if err != nil {
			t.Errorf("%s: %v", f, err)
			continue
		}
		p, err := PlanJobs(n, testRules())
		if err != nil {
			t.Errorf("%s: %v", f, err)
			continue
		}
		for _, j := range p.Jobs {
			if _, err := j.Job.Validate(); err != nil {
				t.Errorf("%s: the scheduler would refuse it: %v", f, err)
			}
			w, _ := json.MarshalIndent(struct {
				Job     map[string]any `json:"job"`
				Assumed []string       `json:"assumed"`
			}{j.ProtocolFields(), j.Assumed}, "", "  ")
			fmt.Fprintf(&b, "%s, group %s: %s\n", filepath.Base(f), j.Group, w)
		}
	}
	golden(t, "testdata/taken.golden", b.String())
}

// TestRefusedFiles compares the problems of files, all of them at once, each with its
// position and reason, to the golden file; they are found within bounded time.
func TestRefusedFiles(t *testing.T) {
	files, _ := filepath.Glob("testdata/refused/*")
	var b strings.Builder
	for _, f := range files {
		src, _ := os.ReadFile(f)
		began := time.Now()
		n, err := ReadAny(filepath.Base(f), src, Inputs{})
		if err == nil {
			_, err = PlanJobs(n, testRules())
		}
		if err == nil {
			t.Errorf("%s was taken", f)
		}
		if d := time.Since(began); d > 5*time.Second {
			t.Errorf("%s took %v", f, d)
		}
		fmt.Fprintf(&b, "%v\n\n", err)
	}
	golden(t, "testdata/refused.golden", b.String())
}

// TestVariables checks the order of sources of variables: a flag goes before a file, a file before the environment.
func TestVariables(t *testing.T) {
	src := "variable \"a\" {\n  default = \"d\"\n}\nvariable \"l\" {\n  type = list(string)\n  default = []\n}\njob \"j\" {\n  name = \"${var.a}-${length(var.l)}\"\n}\n"
	file := filepath.Join(t.TempDir(), "v.hcl")
	if err := os.WriteFile(file, []byte("a = \"f\"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		in   Inputs
		want string
	}{
		{Inputs{}, "d-0"},
		{Inputs{Env: []string{"NOMAD_VAR_a=e"}}, "e-0"},
		{Inputs{Env: []string{"NOMAD_VAR_a=e"}, Files: []string{file}}, "f-0"},
		{Inputs{Files: []string{file}, Vars: []string{"a=v", `l=["x","y"]`}}, "v-2"},
		{Inputs{Vars: []string{"b=v"}}, `there is no variable "b"`},
		{Inputs{Vars: []string{"l=["}}, "is no value"},
	} {
		t.Run(c.want, func(t *testing.T) {
			got := ""
			if n, err := Read("t", []byte(src), c.in); err != nil {
				got = err.Error()
			} else {
				got = n.Attributes["name"].Value.AsString()
			}
			if !strings.Contains(got, c.want) {
				t.Errorf("%+v: %q, want %q", c.in, got, c.want)
			}
		})
	}
}

// TestSourceBounds checks that large, deep and long files end in time with one clear line.
func TestSourceBounds(t *testing.T) {
	deep := "job \"j\" {\n  x = " + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + "\n}\n"
	long := "job \"j\" {\n  type = \"batch\"\n  group \"g\" {\n    task \"t\" {\n      driver = \"exec\"\n      env {\n"
	for i := range 10000 {
		long += fmt.Sprintf("        K%d = \"v\"\n", i)
	}
	long += "      }\n    }\n  }\n}\n"
	for _, c := range []struct{ name, src, want string }{
		{"deep", deep, "deep"},
		{"large", strings.Repeat("# x\n", MaxSource), "larger than"},
		{"many blocks", "job \"j\" {\n" + strings.Repeat("  meta {\n  }\n", maxNodes+10) + "}\n", "more than"},
		{"10,000 lines", long, ""},
		{"huge count", "job \"j\" {\n  type = \"batch\"\n  group \"g\" {\n    count = 1e300\n    task \"t\" {\n      driver = \"exec\"\n    }\n  }\n}\n", "count"},
		{"many copies", "job \"j\" {\n  dynamic \"group\" {\n    for_each = range(1000000)\n    content {\n    }\n  }\n}\n", "larger than"},
	} {
		t.Run(c.name, func(t *testing.T) {
			began := time.Now()
			n, err := Read("t", []byte(c.src), Inputs{})
			if err == nil {
				_, err = PlanJobs(n, testRules())
			}
			if got := fmt.Sprint(err); c.want == "" && err != nil || !strings.Contains(got, c.want) {
				t.Errorf("%.200s, want %q", got, c.want)
			}
			if d := time.Since(began); d > 5*time.Second {
				t.Errorf("took %v", d)
			}
		})
	}
}

// checkConvertible reads a file of any content; what is converted must be valid.
func checkConvertible(t *testing.T, source []byte) {
	t.Helper()
	job, err := ReadAny("f", source, Inputs{})
	if err != nil {
		return
	}
	plan, err := PlanJobs(job, testRules())
	if err != nil {
		return
	}
	for _, native := range plan.Jobs {
		if _, err := native.Job.Validate(); err != nil {
			t.Errorf("taken, but the scheduler would refuse it: %v", err)
		}
	}
}

// FuzzRead checks that no input makes the reader panic or holds it for long.
func FuzzRead(f *testing.F) {
	files, _ := filepath.Glob("testdata/*/*")
	for _, name := range files {
		if b, err := os.ReadFile(name); err == nil {
			f.Add(b)
		}
	}
	f.Fuzz(func(t *testing.T, src []byte) {
		if len(src) > 1<<16 {
			return
		}
		began := time.Now()
		checkConvertible(t, src)
		if d := time.Since(began); d > 10*time.Second {
			t.Errorf("took %v", d)
		}
	})
}

// TestFieldTableInDocs checks that the table in docs/nomad.md is made from Fields.
func TestFieldTableInDocs(t *testing.T) {
	var b strings.Builder
	for _, f := range Fields {
		kind, path := "", f.Path
		if strings.HasSuffix(path, "/") {
			kind, path = "block ", strings.TrimSuffix(path, "/")
		}
		fmt.Fprintf(&b, "| %s`%s` | %s | %s |\n", kind, path, f.Standing, f.Note)
	}
	const from, to = "<!-- table -->\n", "<!-- end of table -->"
	name := "../../docs/nomad.md"
	doc, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	i, k := strings.Index(string(doc), from), strings.Index(string(doc), to)
	if i < 0 || k < i {
		t.Fatal("docs/nomad.md has no place for the table")
	}
	table := "| field | | as what, or why |\n| --- | --- | --- |\n" + b.String()
	if *update {
		if err := os.WriteFile(name, []byte(string(doc[:i])+from+table+string(doc[k:])), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if string(doc[i+len(from):k]) != table {
		t.Error("the table in docs/nomad.md is not that of Fields: run with -update")
	}
}

// TestReadRules reads the example of deploy/, and mistakes in it.
func TestReadRules(t *testing.T) {
	b, err := os.ReadFile("../../deploy/nomad.ini")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, now, want string }{
		{"", "", ""},
		{"mhz = 2500", "mhz = fast", "must be a number"},
		{"mhz = 2500", "mhz = 0", "must be a number"},
		{"team =", "crew =", "unknown setting crew"},
		{"[class agency-sync]", "[klass agency-sync]", "unknown section"},
		{"class = renewal-batch", "class = print", "there is no [class print]"},
		{"spot = yes", "spot = 1", "must be yes or no"},
	} {
		t.Run(c.now, func(t *testing.T) {
			r, err := ReadRules([]byte(strings.Replace(string(b), c.old, c.now, 1)))
			if got := fmt.Sprint(err); c.want == "" && err != nil || c.want != "" && !strings.Contains(got, c.want) {
				t.Errorf("%q for %q: %v, want %q", c.now, c.old, err, c.want)
			}
			if c.want == "" && (r.MHz != 2500 || r.Class != "renewal-batch" || r.Classes["agency-sync"] != (Class{120, 30, 2.5, false})) {
				t.Errorf("read as %+v", r)
			}
		})
	}
}
