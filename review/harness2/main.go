// Command harness2 runs the scripted cases of the second independent review.
//
// A case starts the router as the deploy file does, in processes of its own, beside a stand-in of the platform's store and stand-in
// replicas, sends requests as callers do, and judges what callers and replicas have seen. It exits with 1 if the rule was broken, with 0
// if it held, and with 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// maxCaseDuration is the time after which a case that is still running ends as not run.
	maxCaseDuration = 110 * time.Second
)

// errBroken means that a case has seen the rule broken.
var errBroken = errors.New("the rule was broken")

// cases holds the cases by name.
var cases = map[string]func(*site) error{}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "replica" {
		runReplica(os.Args[2:])
		return
	}
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	router := flag.String("router", "target/cassiabridge", "the router's program")
	flag.Parse()
	os.Exit(runCase(*name, *record, *router, os.Getenv("TROUBLE") != "0"))
}

// runCase runs a case and returns the exit code.
func runCase(name, recordPath, router string, trouble bool) int {
	run, exists := cases[name]
	if !exists {
		fmt.Fprintf(os.Stderr, "harness2: unknown case %q\n", name)
		return exitNotRun
	}
	s, closeSite, err := newSite(recordPath, router, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness2:", err)
		return exitNotRun
	}
	defer closeSite()
	s.note("case %s, trouble %t", name, trouble)
	done := make(chan error, 1)
	go func() { done <- run(s) }()
	select {
	case err = <-done:
	case <-time.After(maxCaseDuration):
		err = errors.New("the case took too long")
	}
	s.note("result: %v", resultOf(err))
	fmt.Println(resultOf(err))
	switch {
	case err == nil:
		return exitHeld
	case errors.Is(err, errBroken):
		return exitBroken
	}
	return exitNotRun
}

// resultOf describes the result of a case.
func resultOf(err error) string {
	switch {
	case err == nil:
		return "the rule held"
	case errors.Is(err, errBroken):
		return err.Error()
	}
	return "not run: " + err.Error()
}
