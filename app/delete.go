package app

import (
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
)

func deleteCommand() command {
	return command{
		name: "delete", synopsis: "Delete a resource.", args: "KIND/NAME",
		examples: []string{"cassiabridge delete Upstream/decode-3", "cassiabridge delete -expect 812 Route/notes"},
		setup: clientSetup(func(flags *flag.FlagSet) clientFunc {
			expect := flags.Uint64("expect", 0, "version to delete; 0 means the one in force")
			return func(c *client, args []string) error {
				ref, err := parseRef(args)
				if err != nil {
					return err
				}
				query := url.Values{}
				if *expect > 0 {
					query.Set("Expect", strconv.FormatUint(*expect, 10))
				}
				var response versionResponse
				if err := c.call(http.MethodDelete, resourcePath(string(ref.Kind), ref.Name), query, nil, &response); err != nil {
					return err
				}
				return c.print(response, []string{"RESOURCE", "ACTION", "VERSION"}, [][]string{{ref.String(), "deleted", fmt.Sprint(response.Version)}})
			}
		}),
	}
}
