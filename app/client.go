package app

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	envServer   = "CASSIABRIDGE_SERVER"
	envToken    = "CASSIABRIDGE_TOKEN"
	callTimeout = 30 * time.Second
)

// client calls the resource API.
type client struct {
	server string
	token  string
	output string
	common Common
}

// clientRun runs a command that calls the resource API.
type clientRun func(c *client, args []string) error

// clientSetup returns the setup of a command that calls the resource API. declare declares the flags of
// the command's own.
func clientSetup(declare func(flags *flag.FlagSet) clientRun) func(flags *flag.FlagSet) func(Common, []string) error {
	return func(flags *flag.FlagSet) func(Common, []string) error {
		connect := clientFlags(flags)
		run := declare(flags)
		return func(common Common, args []string) error {
			c, err := connect(common)
			if err != nil {
				return err
			}
			return run(c, args)
		}
	}
}

// clientFlags declares the flags that all client commands share.
func clientFlags(flags *flag.FlagSet) func(common Common) (*client, error) {
	server := flags.String("server", envOr(envServer, "http://127.0.0.1:8081"), "base URL of a VM's operator port, or "+envServer)
	token := flags.String("token", os.Getenv(envToken), "operator's token, or "+envToken)
	output := flags.String("output", "table", "table or json")
	return func(common Common) (*client, error) {
		if *output != "table" && *output != "json" {
			return nil, usageError("-output is %q, not table or json", *output)
		}
		return &client{server: strings.TrimSuffix(*server, "/"), token: *token, output: *output, common: common}, nil
	}
}

func envOr(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

type apiError struct {
	Kind    string
	Message string
}

// open sends a call and returns the open answer.
func (c *client) open(ctx context.Context, method, path string, query url.Values, body any) (*http.Response, error) {
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, &Error{Op: method + " " + path, Kind: "Usage", Err: err}
		}
		payload = bytes.NewReader(data)
	}
	target := c.server + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, payload)
	if err != nil {
		return nil, &Error{Op: method + " " + path, Kind: "Usage", Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if payload != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, &Error{Op: method + " " + path, Kind: "Unreachable", Err: err}
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	var refusal apiError
	if json.NewDecoder(resp.Body).Decode(&refusal) != nil || refusal.Kind == "" {
		refusal = apiError{Kind: "Failed", Message: resp.Status}
	}
	return nil, &Error{Op: method + " " + path, Kind: refusal.Kind, Err: fmt.Errorf("%s", refusal.Message)}
}

// call sends a call and decodes the whole answer.
func (c *client) call(method, path string, query url.Values, body, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := c.open(ctx, method, path, query, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return &Error{Op: method + " " + path, Kind: "Failed", Err: err}
	}
	return nil
}

// print writes a value as JSON, or as a table with a header.
func (c *client) print(value any, header []string, rows [][]string) error {
	if c.output == "json" {
		encoder := json.NewEncoder(c.common.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table := tabwriter.NewWriter(c.common.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return table.Flush()
}
