package app

import (
	"flag"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

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
		setup: clientSetup(func(flags *flag.FlagSet) clientFunc {
			phase := flags.String("phase", "Begun", "Begun, Done or NotRun")
			return func(c *client, _ []string) error {
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
		}),
	}
}

func settleCommand() command {
	return command{
		name: "settle", synopsis: "Record whether an operation in doubt has run.", args: "OPERATION Done|NotRun",
		examples: []string{"cassiabridge settle schools/release/job-17 NotRun"},
		setup: clientSetup(func(flags *flag.FlagSet) clientFunc {
			return func(c *client, args []string) error {
				if len(args) != 2 {
					return usageError("settle takes an operation and Done or NotRun")
				}
				body := map[string]string{"Operation": args[0], "Outcome": args[1]}
				var response versionResponse
				if err := c.call(http.MethodPost, "/v1/operations/settle", nil, body, &response); err != nil {
					return err
				}
				return c.print(response, []string{"OPERATION", "OUTCOME"}, [][]string{{args[0], strings.TrimSpace(args[1])}})
			}
		}),
	}
}
