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
)

func watchCommand() command {
	return command{
		name: "watch", synopsis: "Print accepted changes to resources as they take effect.", args: "[KIND]",
		examples: []string{"cassiabridge watch", "cassiabridge watch -from 812 -count 1 Upstream"},
		setup: clientSetup(func(flags *flag.FlagSet) clientFunc {
			from := flags.Uint64("from", 0, "first version to show")
			count := flags.Int("count", 0, "stop after this many changes; 0 means never")
			return func(c *client, args []string) error {
				query := url.Values{"From": {strconv.FormatUint(*from, 10)}}
				if len(args) == 1 {
					query.Set("Kind", args[0])
				}
				return c.watch(query, *count)
			}
		}),
	}
}

func (c *client) watch(query url.Values, count int) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	resp, err := c.send(ctx, http.MethodGet, "/v1/watch", query, nil)
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
		if c.format == "json" {
			fmt.Fprintln(c.out.Stdout, lines.Text())
			continue
		}
		fmt.Fprintln(c.out.Stdout, formatChange(change))
	}
	if ctx.Err() != nil {
		return nil
	}
	return lines.Err()
}

func formatChange(change catalog.Change) string {
	return fmt.Sprintf("%s version=%d actor=%s action=%s resource=%s accepted=%t",
		change.At.Format(time.RFC3339), change.Offset, change.Actor, change.Action, change.Ref, change.Accepted)
}
