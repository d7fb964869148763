package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// run gives what a command prints, and its error.
func run(args ...string) (string, string) {
	c := rootCommand()
	var out, errs bytes.Buffer
	c.SetOut(&out)
	c.SetErr(&errs)
	c.SetArgs(args)
	if err := c.Execute(); err != nil {
		return out.String(), err.Error()
	}
	return out.String(), ""
}

// Bad input ends with one clear line, before anything is started or asked.
func TestBadInput(t *testing.T) {
	t.Setenv("CURLEW_TO", "")
	for _, c := range []struct{ args, want string }{
		{"submit", "no address of a cluster"},
		{"status --to x wk-1", "\"x\" is no address of a cluster"},
		{"wait --to 127.0.0.1:0 wk-1", "is no address of a cluster"},
		{"submit --to 127.0.0.1:1 --shape tree", "must be one of array, gang, service"},
		{"submit --to 127.0.0.1:1 --rank top", "must be one of high, low, normal, prod"},
		{"submit --to 127.0.0.1:1 --id x", "the job is not valid: id"},
		{"submit --to 127.0.0.1:1 --tasks 0", "the job is not valid: pieces"},
		{"submit --to 127.0.0.1:1 --awaits wk-1,x", "the job is not valid: awaits"},
		{"submit --to 127.0.0.1:1 --file nothing.json", "nothing.json"},
		{"status --to 127.0.0.1:1", "requires at least 1 arg"},
		{"dev --controllers 0", "out of range"},
		{"dev --kill n1", "--kill"},
		{"dev --old nothing", "nothing"},
		{"audit nothing.jsonl", "nothing.jsonl"},
		{"keys cert --cluster West", "must be 1 to 20"},
		{"keys show nothing.pem", "nothing.pem"},
		{"trace 127.0.0.1:1", "--file FILE"},
		{"nomad validate nothing.nomad", "nothing.nomad"},
		{"nomad plan --mhz -1 ../../internal/nomad/testdata/taken/bench.nomad", "--mhz"},
		{"nomad plan --rules nothing.ini ../../internal/nomad/testdata/taken/bench.nomad", "nothing.ini"},
		{"fly", "unknown command"},
		{"nomad run x", "unknown command"},
		{"keys make", "unknown command"},
	} {
		args := strings.Fields(c.args)
		if args[0] == "dev" {
			args = append(args, "--program", os.Args[0], "--dir", t.TempDir())
		}
		if _, err := run(args...); !strings.Contains(err, c.want) || strings.Contains(err, "\n") {
			t.Errorf("%s: %q, want %q", c.args, err, c.want)
		}
	}
}

// Who waits for a cluster that does not answer is told so meanwhile.
func TestWaitingIsTold(t *testing.T) {
	c := rootCommand()
	var errs bytes.Buffer
	c.SetErr(&errs)
	c.SetOut(&errs)
	c.SetArgs([]string{"status", "--to", "127.0.0.1:1", "--patience", "1500ms", "wk-000001"})
	if err := c.Execute(); err == nil || !strings.Contains(err.Error(), "given up after 1.5s: no answer from 127.0.0.1:1") {
		t.Errorf("ended with %v", err)
	}
	if !strings.Contains(errs.String(), "no answer from 127.0.0.1:1; asking again") {
		t.Errorf("nothing was said meanwhile: %q", errs.String())
	}
}

// Keys are made, shown, and not overwritten; what machines saw is judged, and a
// refused file is told with its reasons, for people and as JSON.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	ca, own := filepath.Join(dir, "ca"), filepath.Join(dir, "west")
	for _, args := range [][]string{{"keys", "ca", "--dir", ca}, {"keys", "cert", "--ca", ca, "--dir", own, "--cluster", "west"}, {"keys", "cert", "--ca", ca, "--dir", own, "--cluster", "west"}} {
		if _, err := run(args...); err != "" {
			t.Fatalf("%v: %s", args, err)
		}
	}
	if _, err := run("keys", "ca", "--dir", ca); !strings.Contains(err, "is there already") {
		t.Errorf("an authority was replaced: %q", err)
	}
	if out, err := run("keys", "show", filepath.Join(own, "cert.pem")); err != "" || !strings.HasPrefix(out, "west until ") {
		t.Errorf("%q %s", out, err)
	}
	file := filepath.Join(dir, "machines.jsonl")
	lines := `{"at":1,"machine":"i-1","task":"wk-1/0","try":1,"what":"start"}` + "\n" + `{"at":2,"machine":"i-2","task":"wk-1/0","try":2,"what":"start"}` + "\n"
	if err := os.WriteFile(file, []byte(lines), 0o644); err != nil {
		t.Fatal(err)
	}
	if out, err := run("audit", file); !strings.Contains(out, "WRONG at 2.000 wk-1/0 starts on i-2 while it is on i-1") || err == "" {
		t.Errorf("%q %s", out, err)
	}
	out, err := run("nomad", "validate", "--json", "../../internal/nomad/testdata/refused/one-of-many.nomad")
	var got struct{ Problems []string }
	if json.Unmarshal([]byte(out), &got) != nil || len(got.Problems) != 1 || err != "refused for 1 reasons" {
		t.Errorf("%q %s", out, err)
	}
}
