package app

import (
	"flag"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cassiabridge/cassiabridge/catalog"
	"github.com/cassiabridge/cassiabridge/resource"
)

type auditList struct{ Changes []catalog.Change }

func auditCommand() command {
	return command{
		name: "audit", synopsis: "Show who changed what and when, refused changes included.", args: "[KIND/NAME]",
		examples: []string{"cassiabridge audit", "cassiabridge audit -output json ClientAccount/schools"},
		setup: clientSetup(func(flags *flag.FlagSet) clientFunc {
			from := flags.Uint64("from", 0, "first version to show")
			return func(c *client, args []string) error {
				if len(args) == 0 {
					return c.audit(*from, resource.Ref{})
				}
				ref, err := parseRef(args)
				if err != nil {
					return err
				}
				return c.audit(*from, ref)
			}
		}),
	}
}

func (c *client) audit(from uint64, ref resource.Ref) error {
	var list auditList
	query := url.Values{"From": {strconv.FormatUint(from, 10)}, "Kind": {string(ref.Kind)}, "Name": {ref.Name}}
	if err := c.call(http.MethodGet, "/v1/audit", query, nil, &list); err != nil {
		return err
	}
	var rows [][]string
	for _, change := range list.Changes {
		rows = append(rows, []string{strconv.FormatUint(change.Offset, 10), change.At.Format(time.RFC3339), change.Actor, change.VM, change.Action,
			change.Ref.String(), strconv.FormatBool(change.Accepted), formatSpec(change.Old), formatSpec(change.New), change.Reason})
	}
	return c.print(list, []string{"VERSION", "AT", "ACTOR", "VM", "ACTION", "RESOURCE", "ACCEPTED", "OLD", "NEW", "REASON"}, rows)
}

func formatSpec(doc *resource.Document) string {
	if doc == nil {
		return "-"
	}
	return string(doc.Spec)
}
