// Command review-standin runs one case of the review: it starts the controllers with the command of
// the deploy file, plays the state service, the cloud, the machines and the users, causes the case's
// disruption, and judges what clients, machines and the platform saw.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxDuration ends a case in any event.
const maxDuration = 119 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]].run == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(2)
	}
	current := cases[os.Args[1]]
	c := newCluster(current.site(), os.Args[2])
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxDuration):
		}
		c.inconclusive("ended before it was judged")
	}()
	current.run(c, os.Getenv("TROUBLE") != "0")
	c.jobsMu.Lock()
	broken := c.broken
	c.jobsMu.Unlock()
	c.stop()
	if len(broken) > 0 {
		fmt.Println("the rule was broken:", broken[0])
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
