package site

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Verdict is the result of a case.
type Verdict bool

// Verdicts.
const (
	Held   Verdict = false
	Broken Verdict = true
)

// Trouble reports whether the case plays its disruption, which TROUBLE=0 leaves out.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs the case in review/name and ends the process with its exit code. play gets an empty site whose record is the
// file record.txt of that folder.
func Main(name string, play func(*Site) (Verdict, error)) {
	code, err := run(name, play)
	if err != nil {
		fmt.Fprintln(os.Stderr, "case", name, "could not run:", err)
	}
	os.Exit(code)
}

// maxCaseTime is the time after which a case is given up.
const maxCaseTime = 115 * time.Second

// guardProcesses ends everything that the site started, and the case, if a signal ends it or it takes too long. The
// returned function ends the guard.
func guardProcesses(closeSite func()) func() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	timer := time.AfterFunc(maxCaseTime, func() { signals <- syscall.SIGTERM })
	go func() {
		<-signals
		closeSite()
		os.Exit(exitNotRun)
	}()
	return func() {
		timer.Stop()
		signal.Stop(signals)
	}
}

func run(name string, play func(*Site) (Verdict, error)) (int, error) {
	record, closeRecord, err := NewRecord(filepath.Join("review", name, "record.txt"))
	if err != nil {
		return exitNotRun, err
	}
	defer closeRecord()
	s, closeSite, err := newSite(record)
	if err != nil {
		return exitNotRun, err
	}
	defer closeSite()
	stopGuard := guardProcesses(closeSite)
	defer stopGuard()
	record.Sayf("case %s, trouble %t", name, Trouble())
	verdict, err := play(s)
	switch {
	case err != nil:
		return exitNotRun, err
	case verdict == Broken:
		record.Sayf("the rule was broken")
		return exitBroken, nil
	}
	record.Sayf("the rule held")
	return exitHeld, nil
}
