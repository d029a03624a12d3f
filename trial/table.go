package trial

import (
	"fmt"
	"io"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"
)

// Case is a combination of load and fault, with one row in the table for each policy.
type Case struct {
	Load  float64
	Fault Fault
}

// Cases returns the cases that are measured.
func Cases() []Case {
	return []Case{
		{0.5, FaultNone}, {0.9, FaultNone}, {0.95, FaultNone}, {1.1, FaultNone}, {1.5, FaultNone},
		{0.7, FaultFlood}, {0.8, FaultSlow}, {0.8, FaultKilled}, {0.6, FaultZone},
	}
}

// Measure runs every case with every policy for a deployment and returns the means over the seeds.
func Measure(deployment Deployment, policies []Policy, cases []Case, seeds int) []Result {
	results := make([]Result, len(policies)*len(cases))
	var group errgroup.Group
	group.SetLimit(4)
	for i, c := range cases {
		for j, policy := range policies {
			group.Go(func() error {
				var runs []Result
				for seed := range seeds {
					runs = append(runs, Run(Plan{Deployment: deployment, Policy: policy, Load: c.Load, Fault: c.Fault, Seed: uint64(seed + 1)}))
				}
				results[i*len(policies)+j] = mean(runs)
				return nil
			})
		}
	}
	_ = group.Wait()
	return results
}

// Print writes the results to w as a table.
func Print(w io.Writer, results []Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "USER\tLOAD\tFAULT\tPOLICY\tGOODPUT\tBOUND\tOF BOUND\tWASTED\tWORST ACCOUNT\tREFUSED\tLOST\tFIRST TOKEN P95 S\tMESSAGES")
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%.2f\t%s\t%s\t%.3f\t%.3f\t%.3f\t%.2f%%\t%.3f\t%.2f%%\t%.2f%%\t%.2f\t%.1f\n", r.User, r.Load, r.Fault, r.Policy,
			r.Goodput, r.Bound, r.Goodput/r.Bound, 100*r.Wasted, r.Worst, 100*r.Refused, 100*r.Lost, r.FirstTokenP95, r.MessagesPerRequest)
	}
	return table.Flush()
}
