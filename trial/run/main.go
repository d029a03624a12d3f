// Command run measures the routing policies on simulated engines and prints the results as a table.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/cassiabridge/cassiabridge/trial"
)

func main() {
	seeds := flag.Int("seeds", 3, "number of runs for each row, with seeds counted from 1")
	user := flag.String("user", "", "deployment to simulate, zarqa or resham (default both)")
	policy := flag.String("policy", "", "policy to measure (default all)")
	jsonFile := flag.String("json", "", "file to write the results to as JSON")
	plotDir := flag.String("plot", "", "directory for one plot of each deployment; requires all policies")
	flag.Parse()
	policies := trial.Policies()
	if *policy != "" {
		policies = slices.DeleteFunc(policies, func(p trial.Policy) bool { return string(p) != *policy })
	}
	var results []trial.Result
	for _, u := range trial.Deployments() {
		if *user == "" || *user == u.Name {
			results = append(results, trial.Measure(u, policies, trial.Cases(), *seeds)...)
		}
	}
	if err := errors.Join(report(results, *jsonFile), plots(results, *plotDir)); err != nil {
		fmt.Fprintln(os.Stderr, "run:", err)
		os.Exit(1)
	}
}

func plots(results []trial.Result, dir string) error {
	if dir == "" {
		return nil
	}
	for _, u := range trial.Deployments() {
		if err := trial.Plot(filepath.Join(dir, "goodput-"+u.Name+".svg"), u.Name, results); err != nil {
			return err
		}
	}
	return nil
}

func report(results []trial.Result, jsonFile string) error {
	if err := trial.Print(os.Stdout, results); err != nil {
		return err
	}
	if jsonFile == "" {
		return nil
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(jsonFile, data, 0o644)
}
