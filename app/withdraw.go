package app

import (
	"flag"
	"net/http"
	"net/url"
	"strings"
)

type withdrawResponse struct {
	State  string
	Told   []string
	Untold []string
}

func withdrawCommand() command {
	return command{
		name: "withdraw", synopsis: "Withdraw a key permanently on all VMs.", args: "NAME",
		examples: []string{"cassiabridge withdraw schools-2025"},
		setup: clientSetup(func(flags *flag.FlagSet) clientFunc {
			return func(c *client, args []string) error {
				if len(args) != 1 {
					return usageError("withdraw takes one key name")
				}
				var response withdrawResponse
				if err := c.call(http.MethodPost, "/v1/keys/"+url.PathEscape(args[0])+"/withdraw", nil, nil, &response); err != nil {
					return err
				}
				row := []string{args[0], response.State, strings.Join(response.Told, ","), strings.Join(response.Untold, ",")}
				return c.print(response, []string{"KEY", "STATE", "TOLD", "UNTOLD"}, [][]string{row})
			}
		}),
	}
}
