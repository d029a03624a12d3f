// Command run runs the fault soak: real VMs and replicas under random faults, and callers that judge every byte of every stream.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cassiabridge/cassiabridge/soak"
)

func main() {
	soak.ServeReplica()
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run runs one soak and returns an error if a stream broke a rule.
func run() error {
	var opts soak.Options
	flag.Uint64Var(&opts.Seed, "seed", 1, "seed that fixes the plan of the faults")
	flag.DurationVar(&opts.Duration, "for", 20*time.Second, "how long callers send requests")
	flag.IntVar(&opts.VMs, "vms", 3, "number of VMs")
	flag.IntVar(&opts.Replicas, "replicas", 8, "number of replicas; of each four, one prefills, two decode and one is of a plain service")
	flag.IntVar(&opts.Callers, "callers", 16, "number of concurrent callers")
	flag.BoolVar(&opts.Direct, "direct", false, "list replicas at their own addresses, without proxies and their faults of the network")
	flag.BoolVar(&opts.Fronts, "fronts", false, "put a forwarder before each VM, which passes a reset on as an orderly end")
	flag.DurationVar(&opts.RestartDelay, "restart", 0, "time after which an ended replica starts again; 0: that of the fault, up to 2.5s")
	flag.BoolVar(&opts.WithoutResumes, "no-resumes", false, "callers resume with Last-Event-Id alone")
	site := flag.String("site", "", "site file of the bench, in TOML, whose VMs, replicas and requests are played in place of -vms and -replicas")
	binaries := flag.String("binary", "", "paths of the cassiabridge programs that VMs run in turn, separated by commas; empty: the program is built")
	faults := flag.String("faults", soak.AllKinds.String(), "kinds of faults, separated by commas")
	keep := flag.Bool("keep", false, "keep the logs of a run without breaches too")
	flag.Parse()
	var err error
	if opts.Faults, err = soak.ParseKinds(*faults); err != nil {
		return err
	}
	if *site != "" {
		if opts, err = opts.WithSite(*site); err != nil {
			return err
		}
	}
	if opts.Dir, err = os.MkdirTemp("", "soak"); err != nil {
		return err
	}
	if *binaries == "" {
		*binaries = filepath.Join(opts.Dir, "cassiabridge")
		if err := soak.Build(*binaries); err != nil {
			return err
		}
	}
	opts.Binaries = strings.Split(*binaries, ",")
	opts.Out = os.Stdout
	report, err := soak.Run(context.Background(), opts)
	if err != nil {
		return fmt.Errorf("%w; logs are in %s", err, opts.Dir)
	}
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	if len(report.Breaches) > 0 {
		return fmt.Errorf("seed %d: %d streams broke a rule; logs are in %s", opts.Seed, len(report.Breaches), opts.Dir)
	}
	if *keep {
		fmt.Println("logs are in", opts.Dir)
		return nil
	}
	return os.RemoveAll(opts.Dir)
}
