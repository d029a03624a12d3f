// Package soak runs a site of real processes under random faults and judges every byte of every stream that its callers get.
//
// The VMs are processes of the built program, the replicas are processes of their own, and a proxy on the loopback interface harms the
// connections between them. Callers resume broken streams at other VMs. Each event names its stream, the software version of its replica
// and its number, so the callers know which event must follow. A seed fixes the plan of the faults.
package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// settleDelay is the time between the start of a site and its first requests, in which the VMs read the list of replicas.
const settleDelay = 1500 * time.Millisecond

// Options configures a run.
type Options struct {
	// Seed fixes the plan of the faults.
	Seed uint64
	// Duration is how long callers send requests.
	Duration time.Duration
	// VMs, Replicas and Callers are the numbers of processes and of concurrent callers.
	VMs, Replicas, Callers int
	// Faults holds the kinds of faults that are injected.
	Faults Kinds
	// Direct lists replicas at their own addresses, without proxies. Faults of the network are left out then.
	Direct bool
	// Fronts puts a forwarder before each VM, which passes a reset on as an orderly end.
	Fronts bool
	// RestartDelay is the time after which an ended replica starts again, or 0 for that of the fault.
	RestartDelay time.Duration
	// WithoutResumes has callers resume with Last-Event-Id alone.
	WithoutResumes bool
	// layout is what the site consists of, by default that of defaultLayout.
	layout *layout
	// Binaries holds the paths of the programs under test: the first VM runs the first one, and so on, and from the start again.
	Binaries []string
	// Dir is a folder for settings and logs.
	Dir string
	// Out receives the plan and the traces of a run with breaches.
	Out io.Writer
}

// Error is an error of a run that says nothing of the program under test.
type Error struct {
	// Op is the operation that failed.
	Op  string
	Err error
}

// Error implements error.
func (e *Error) Error() string { return "soak: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Run runs a site with the faults of the plan and returns what its callers saw. It prints the plan and the log lines of the streams that
// broke a rule to opts.Out.
func Run(ctx context.Context, opts Options) (Report, error) {
	if opts.layout == nil {
		opts.layout = defaultLayout()
	}
	plan := NewPlan(opts)
	s, stop, err := startSite(opts, plan)
	defer stop()
	if err != nil {
		return Report{}, err
	}
	if err := s.awaitReady(ctx); err != nil {
		return Report{}, err
	}
	sleep(ctx, settleDelay)
	results := newResults()
	ctx, cancel := context.WithTimeout(ctx, opts.Duration)
	defer cancel()
	var wg sync.WaitGroup
	s.inject(ctx, plan, &wg)
	for n := range opts.Callers {
		wg.Go(func() { newCaller(n, s, results).run(ctx) })
	}
	wg.Wait()
	report := results.report(opts)
	if len(report.Breaches) > 0 {
		plan.print(opts.Out)
		printTraces(opts.Out, opts.Dir, report.Breaches)
	}
	return report, nil
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// createLog opens the log file of a process for appending.
func createLog(dir, name string) (*os.File, error) {
	file, err := os.OpenFile(logPath(dir, name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, &Error{"create log", err}
	}
	return file, nil
}

func logPath(dir, name string) string { return filepath.Join(dir, name+".log") }

func vmName(n int) string      { return fmt.Sprint("vm-", n) }
func replicaName(n int) string { return fmt.Sprint("replica-", n) }
