package app

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/cassiabridge/cassiabridge/catalog"
	"github.com/cassiabridge/cassiabridge/resource"
)

func watchCommand() command {
	return command{
		name: "watch", synopsis: "Print accepted changes of resources as they come into force.", args: "[KIND]",
		examples: []string{"cassiabridge watch", "cassiabridge watch -from 812 -count 1 Upstream"},
		setup: func(flags *flag.FlagSet) func(Common, []string) error {
			connect := clientFlags(flags)
			from := flags.Uint64("from", 0, "first version to show")
			count := flags.Int("count", 0, "stop after so many changes; 0 means never")
			return func(common Common, args []string) error {
				c, err := connect(common)
				if err != nil {
					return err
				}
				query := url.Values{"From": {strconv.FormatUint(*from, 10)}}
				if len(args) == 1 {
					query.Set("Kind", args[0])
				}
				return c.watch(query, *count)
			}
		},
	}
}

func (c *client) watch(query url.Values, count int) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	resp, err := c.open(ctx, http.MethodGet, "/v1/watch", query, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 4<<20)
	for seen := 0; (count == 0 || seen < count) && lines.Scan(); {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var change catalog.Change
		if err := json.Unmarshal(lines.Bytes(), &change); err != nil {
			return &Error{Op: "watch", Kind: "Failed", Err: err}
		}
		seen++
		if c.output == "json" {
			fmt.Fprintln(c.common.Stdout, lines.Text())
			continue
		}
		fmt.Fprintln(c.common.Stdout, changeLine(change))
	}
	if ctx.Err() != nil {
		return nil
	}
	return lines.Err()
}

func changeLine(change catalog.Change) string {
	return fmt.Sprintf("%s version=%d actor=%s action=%s resource=%s accepted=%t",
		change.At.Format(time.RFC3339), change.Offset, change.Actor, change.Action, change.Ref, change.Accepted)
}

type auditList struct{ Changes []catalog.Change }

func auditCommand() command {
	return command{
		name: "audit", synopsis: "Show who changed what and when, refused changes included.", args: "[KIND/NAME]",
		examples: []string{"cassiabridge audit", "cassiabridge audit -output json ClientAccount/schools"},
		setup: func(flags *flag.FlagSet) func(Common, []string) error {
			connect := clientFlags(flags)
			from := flags.Uint64("from", 0, "first version to show")
			return func(common Common, args []string) error {
				c, err := connect(common)
				if err != nil {
					return err
				}
				var ref resource.Ref
				if len(args) > 0 {
					if ref, err = parseRef(args); err != nil {
						return err
					}
				}
				return c.audit(*from, ref)
			}
		},
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
			change.Ref.String(), strconv.FormatBool(change.Accepted), specOf(change.Old), specOf(change.New), change.Reason})
	}
	return c.print(list, []string{"VERSION", "AT", "ACTOR", "VM", "ACTION", "RESOURCE", "ACCEPTED", "OLD", "NEW", "REASON"}, rows)
}

func specOf(doc *resource.Document) string {
	if doc == nil {
		return "-"
	}
	return string(doc.Spec)
}
