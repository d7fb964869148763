package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

var cases = map[string]func(rec *recorder, trouble bool){}

const maxSeconds = 117

// started lists the clusters whose processes are ended at the end.
var started []*cluster

// num reads a number from the environment, for runs by hand.
func num(name string, otherwise int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return otherwise
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig CASE, from the repository's root")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1]))
}

// play runs one case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
func play(name string) (code int) {
	trouble := os.Getenv("TROUBLE") != "0"
	rec := newRecorder(recordPath(name))
	rec.logf("case %s, trouble %v", name, trouble)
	finished := make(chan int, 1)
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		result := 0
		defer func() {
			if failure := recover(); failure != nil {
				if known, ok := failure.(cannotRunError); ok {
					rec.logf("could not run: %s", known.text)
					fmt.Println("could not run:", known.text)
					result = 2
				} else {
					fmt.Println("failed:", failure)
					result = 2
					rec.logf("failed: %v", failure)
				}
			}
			if len(rec.broken) > 0 {
				result = 1
			}
			finished <- result
		}()
		cases[name](rec, trouble)
	}()
	select {
	case code = <-finished:
	case <-ends:
		code = 2
	case <-time.After(maxSeconds * time.Second):
		rec.logf("could not run: no end within %d s", maxSeconds)
		code = 2
	}
	for _, c := range started {
		c.stop()
	}
	rec.logf("result %d", code)
	return code
}

// recordPath is where the record of a case goes; REVIEW_RECORD names another file.
func recordPath(name string) string {
	if path := os.Getenv("REVIEW_RECORD"); path != "" {
		return path
	}
	if _, err := os.Stat(filepath.Join("review", name)); err != nil {
		return filepath.Join(os.TempDir(), "review-rig-"+name+".txt") // a play without a folder
	}
	return filepath.Join("review", name, "record.txt")
}
