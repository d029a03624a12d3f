package app

import (
	"flag"
	"net/http"
	"net/url"
	"strings"
)

type withdrawAnswer struct {
	State  string
	Told   []string
	Untold []string
}

func withdrawCommand() command {
	return command{
		name: "withdraw", synopsis: "Withdraw a key for good, on all VMs at once.", args: "NAME",
		examples: []string{"cassiabridge withdraw schools-2025"},
		setup: clientSetup(func(flags *flag.FlagSet) clientRun {
			return func(c *client, args []string) error {
				if len(args) != 1 {
					return usageError("withdraw takes one key name")
				}
				var answer withdrawAnswer
				if err := c.call(http.MethodPost, "/v1/keys/"+url.PathEscape(args[0])+"/withdraw", nil, nil, &answer); err != nil {
					return err
				}
				row := []string{args[0], answer.State, strings.Join(answer.Told, ","), strings.Join(answer.Untold, ",")}
				return c.print(answer, []string{"KEY", "STATE", "TOLD", "UNTOLD"}, [][]string{row})
			}
		}),
	}
}
