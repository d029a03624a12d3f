package app

import (
	"flag"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cassiabridge/cassiabridge/resource"
)

func parseRef(args []string) (resource.Ref, error) {
	kind, name, ok := strings.Cut(strings.Join(args, " "), "/")
	if len(args) != 1 || !ok {
		return resource.Ref{}, usageError("one resource is needed, as KIND/NAME")
	}
	return resource.Ref{Kind: resource.Kind(kind), Name: name}, nil
}

type keyAnswer struct {
	Name    string
	Version uint64
	Secret  string
}

func keyCommand() command {
	return command{
		name: "key", synopsis: "Create a key for a client account and show its secret once.", args: "NAME",
		examples: []string{"cassiabridge key -account schools schools-2026"},
		setup: func(flags *flag.FlagSet) func(Common, []string) error {
			connect := clientFlags(flags)
			account := flags.String("account", "", "client account that the key acts for")
			return func(common Common, args []string) error {
				c, err := connect(common)
				if err != nil {
					return err
				}
				if len(args) != 1 || *account == "" {
					return usageError("key needs -account and one name")
				}
				var answer keyAnswer
				if err := c.call(http.MethodPost, "/v1/keys", nil, map[string]string{"Name": args[0], "Account": *account}, &answer); err != nil {
					return err
				}
				return c.print(answer, []string{"KEY", "VERSION", "SECRET"}, [][]string{{answer.Name, strconv.FormatUint(answer.Version, 10), answer.Secret}})
			}
		},
	}
}

type withdrawAnswer struct {
	State  string
	Told   []string
	Untold []string
}

func withdrawCommand() command {
	return command{
		name: "withdraw", synopsis: "Withdraw a key for good, on all VMs at once.", args: "NAME",
		examples: []string{"cassiabridge withdraw schools-2025"},
		setup: func(flags *flag.FlagSet) func(Common, []string) error {
			connect := clientFlags(flags)
			return func(common Common, args []string) error {
				c, err := connect(common)
				if err != nil {
					return err
				}
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
		},
	}
}
