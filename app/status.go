package app

import (
	"flag"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

type statusAnswer struct {
	VM            string
	Incarnation   string
	Ready         bool
	Fresh         bool
	Draining      bool
	ConfigVersion uint64
	InForceOn     []string
	Behind        []string
	VMs           []vmStatus
	Slots         map[string]int
	InDoubt       int
}

type vmStatus struct {
	VM               string
	AvailabilityZone string
	Alive            bool
	Next             uint64
	LogAgeMillis     int64
	HeardMillisAgo   int64
}

func statusCommand() command {
	return command{
		name: "status", synopsis: "Show the VMs, and where the configuration is in force.", args: "",
		examples: []string{"cassiabridge status", "cassiabridge status -output json"},
		setup: func(flags *flag.FlagSet) func(Common, []string) error {
			connect := clientFlags(flags)
			return func(common Common, _ []string) error {
				c, err := connect(common)
				if err != nil {
					return err
				}
				return c.status()
			}
		},
	}
}

func (c *client) status() error {
	var answer statusAnswer
	if err := c.call(http.MethodGet, "/v1/status", nil, nil, &answer); err != nil {
		return err
	}
	var rows [][]string
	for _, vm := range answer.VMs {
		inForce := strconv.FormatBool(vm.Next > answer.ConfigVersion)
		rows = append(rows, []string{vm.VM, vm.AvailabilityZone, strconv.FormatBool(vm.Alive), strconv.FormatUint(vm.Next, 10), inForce,
			strconv.FormatInt(vm.LogAgeMillis, 10), strconv.FormatInt(vm.HeardMillisAgo, 10), strconv.Itoa(answer.Slots[vm.VM])})
	}
	return c.print(answer, []string{"VM", "ZONE", "ALIVE", "OFFSET", "IN FORCE", "LOG AGE MS", "HEARD MS AGO", "SLOTS"}, rows)
}

type operationList struct{ Operations []operationStatus }

type operationStatus struct {
	Operation string
	Attempt   int
	Phase     string
	Writer    string
	BegunAt   string
}

func operationsCommand() command {
	return command{
		name: "operations", synopsis: "List operations in doubt, or in another phase.", args: "",
		examples: []string{"cassiabridge operations", "cassiabridge operations -phase Done"},
		setup: func(flags *flag.FlagSet) func(Common, []string) error {
			connect := clientFlags(flags)
			phase := flags.String("phase", "Begun", "Begun, Done or NotRun")
			return func(common Common, _ []string) error {
				c, err := connect(common)
				if err != nil {
					return err
				}
				var list operationList
				if err := c.call(http.MethodGet, "/v1/operations", url.Values{"Phase": {*phase}}, nil, &list); err != nil {
					return err
				}
				var rows [][]string
				for _, op := range list.Operations {
					rows = append(rows, []string{op.Operation, strconv.Itoa(op.Attempt), op.Phase, op.Writer, op.BegunAt})
				}
				return c.print(list, []string{"OPERATION", "ATTEMPT", "PHASE", "WRITER", "BEGUN AT"}, rows)
			}
		},
	}
}

func settleCommand() command {
	return command{
		name: "settle", synopsis: "Record whether an operation in doubt has run.", args: "OPERATION Done|NotRun",
		examples: []string{"cassiabridge settle schools/release/job-17 NotRun"},
		setup: func(flags *flag.FlagSet) func(Common, []string) error {
			connect := clientFlags(flags)
			return func(common Common, args []string) error {
				c, err := connect(common)
				if err != nil {
					return err
				}
				if len(args) != 2 {
					return usageError("settle takes an operation and Done or NotRun")
				}
				body := map[string]string{"Operation": args[0], "Outcome": args[1]}
				var answer versionAnswer
				if err := c.call(http.MethodPost, "/v1/operations/settle", nil, body, &answer); err != nil {
					return err
				}
				return c.print(answer, []string{"OPERATION", "OUTCOME"}, [][]string{{args[0], strings.TrimSpace(args[1])}})
			}
		},
	}
}
