package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
)

// Breach is one stream that broke a rule at its caller.
type Breach struct {
	Kind BreachKind
	// Route is the path prefix of the request.
	Route string
	// Attempts holds the IDs of the stream's attempts, and VMs those that they were sent to.
	Attempts, VMs []string
	// Detail describes the event, or the end.
	Detail string
}

// Report is what the callers of a run saw.
type Report struct {
	Seed uint64
	// Events is the number of events that were judged.
	Events int
	// Streams is the number of streams of which at least one event came, Completed of those that came whole.
	Streams, Completed int
	// Plain is the number of plain answers that came whole.
	Plain int
	// Broken is the number of answers that broke off, and Resumed of those that went on with a stream whose caller had some events.
	Broken, Resumed int
	// Abandoned is the number of streams that their callers gave up.
	Abandoned int
	// Refused is the number of answers by status that are no success.
	Refused map[int]int
	// Breaches holds the streams that broke a rule, and Counts their numbers by route and kind.
	Counts   map[string]int
	Breaches []Breach `json:"-"`
}

// results collects what the callers see. It is safe for concurrent use.
type results struct {
	mu sync.Mutex
	r  Report
}

func newResults() *results {
	return &results{r: Report{Refused: map[int]int{}, Counts: map[string]int{}}}
}

// update changes the report.
func (r *results) update(change func(*Report)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.r)
}

func (r *results) addBreach(b Breach) {
	r.update(func(report *Report) {
		report.Breaches = append(report.Breaches, b)
		report.Counts[b.Route+" "+string(b.Kind)]++
	})
}

func (r *results) report(opts Options) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.r.Seed = opts.Seed
	return r.r
}

// Print writes the report as JSON.
func (r Report) Print(w io.Writer) error {
	data, err := json.Marshal(r)
	if err != nil {
		return &Error{"print report", err}
	}
	fmt.Fprintln(w, string(data))
	return nil
}

const (
	// maxTraces is the number of breaches whose log lines are printed.
	maxTraces = 5
	// maxLineBytes is the length of the longest log line that is read.
	maxLineBytes = 1 << 20
)

// printTraces writes the breaches, and the log lines of the VMs for the first ones.
func printTraces(w io.Writer, dir string, breaches []Breach) {
	for n, b := range breaches {
		fmt.Fprintf(w, "breach: %s %s, attempts %v at %v: %s\n", b.Route, b.Kind, b.Attempts, b.VMs, b.Detail)
		if n < maxTraces {
			printLogLines(w, dir, b.Attempts)
		}
	}
}

// printLogLines writes the lines of all VMs' logs that name one of the attempts.
func printLogLines(w io.Writer, dir string, attempts []string) {
	logs, _ := filepath.Glob(logPath(dir, "vm-*"))
	for _, path := range logs {
		file, err := os.Open(path)
		if err != nil {
			fmt.Fprintln(w, err)
			continue
		}
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, maxLineBytes)
		for lines.Scan() {
			if slices.ContainsFunc(attempts, func(id string) bool { return strings.Contains(lines.Text(), id) }) {
				fmt.Fprintf(w, "  %s: %s\n", filepath.Base(path), lines.Text())
			}
		}
		_ = file.Close()
	}
}
