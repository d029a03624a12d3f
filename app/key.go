package app

import (
	"flag"
	"net/http"
	"strconv"
	"strings"

	"github.com/cassiabridge/cassiabridge/resource"
)

func parseRef(args []string) (resource.Ref, error) {
	kind, name, ok := strings.Cut(strings.Join(args, " "), "/")
	if len(args) != 1 || !ok {
		return resource.Ref{}, usageError("exactly one resource is required, as KIND/NAME")
	}
	return resource.Ref{Kind: resource.Kind(kind), Name: name}, nil
}

type keyResponse struct {
	Name    string
	Version uint64
	Secret  string
}

func keyCommand() command {
	return command{
		name: "key", synopsis: "Create a key for a client account and show its secret once.", args: "NAME",
		examples: []string{"cassiabridge key -account schools schools-2026"},
		setup: clientSetup(func(flags *flag.FlagSet) clientFunc {
			account := flags.String("account", "", "client account that the key belongs to")
			return func(c *client, args []string) error {
				if len(args) != 1 || *account == "" {
					return usageError("key needs -account and one name")
				}
				var response keyResponse
				if err := c.call(http.MethodPost, "/v1/keys", nil, map[string]string{"Name": args[0], "Account": *account}, &response); err != nil {
					return err
				}
				return c.print(response, []string{"KEY", "VERSION", "SECRET"}, [][]string{{response.Name, strconv.FormatUint(response.Version, 10), response.Secret}})
			}
		}),
	}
}
