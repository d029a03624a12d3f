// The run program measures the routing policies on simulated engines and prints the table.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"

	"github.com/cassiabridge/cassiabridge/trial"
)

func main() {
	seeds := flag.Int("seeds", 3, "runs for each row, with seeds from 1 on")
	user := flag.String("user", "", "zarqa or resham; empty means both")
	policy := flag.String("policy", "", "one policy only")
	jsonFile := flag.String("json", "", "file to write the results to")
	flag.Parse()
	policies := trial.Policies()
	if *policy != "" {
		policies = slices.DeleteFunc(policies, func(p trial.Policy) bool { return string(p) != *policy })
	}
	var results []trial.Result
	for _, u := range trial.Users() {
		if *user == "" || *user == u.Name {
			results = append(results, trial.Measure(u, policies, trial.Cases(), *seeds)...)
		}
	}
	if err := report(results, *jsonFile); err != nil {
		fmt.Fprintln(os.Stderr, "run:", err)
		os.Exit(1)
	}
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
