package site

import (
	"fmt"
	"os"
	"path/filepath"
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
