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

// client is a client of the resource API. format is "table" or "json".
type client struct {
	server string
	token  string
	format string
	out    Output
}

// clientFunc runs a command with a client of the resource API.
type clientFunc func(c *client, args []string) error

// clientSetup returns the setup function of a command that calls the resource API. defineFlags defines the flags that
// are specific to the command.
func clientSetup(defineFlags func(flags *flag.FlagSet) clientFunc) func(flags *flag.FlagSet) func(Output, []string) error {
	return func(flags *flag.FlagSet) func(Output, []string) error {
		newClient := clientFlags(flags)
		run := defineFlags(flags)
		return func(out Output, args []string) error {
			c, err := newClient(out)
			if err != nil {
				return err
			}
			return run(c, args)
		}
	}
}

// clientFlags defines the flags that all client commands share, and returns a function that creates a client from them.
func clientFlags(flags *flag.FlagSet) func(out Output) (*client, error) {
	server := flags.String("server", envOr(envServer, "http://127.0.0.1:8081"), "base URL of a VM's operator port, or "+envServer)
	token := flags.String("token", os.Getenv(envToken), "operator's token, or "+envToken)
	output := flags.String("output", "table", "table or json")
	return func(out Output) (*client, error) {
		if *output != "table" && *output != "json" {
			return nil, usageError("-output is %q, not table or json", *output)
		}
		return &client{server: strings.TrimSuffix(*server, "/"), token: *token, format: *output, out: out}, nil
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

// send sends a request and returns the response, whose body the caller must close. A status other than 200 is returned
// as an *Error.
func (c *client) send(ctx context.Context, method, path string, query url.Values, body any) (*http.Response, error) {
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
	var apiErr apiError
	if json.NewDecoder(resp.Body).Decode(&apiErr) != nil || apiErr.Kind == "" {
		apiErr = apiError{Kind: "Failed", Message: resp.Status}
	}
	return nil, &Error{Op: method + " " + path, Kind: apiErr.Kind, Err: fmt.Errorf("%s", apiErr.Message)}
}

// call sends a request with callTimeout and decodes the JSON response into out.
func (c *client) call(method, path string, query url.Values, body, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := c.send(ctx, method, path, query, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return &Error{Op: method + " " + path, Kind: "Failed", Err: err}
	}
	return nil
}

// print writes value as JSON, or header and rows as a table, depending on the output format.
func (c *client) print(value any, header []string, rows [][]string) error {
	if c.format == "json" {
		encoder := json.NewEncoder(c.out.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table := tabwriter.NewWriter(c.out.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return table.Flush()
}
