package app

import (
	"encoding/json"
	"flag"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"

	"github.com/tailscale/hujson"

	"github.com/cassiabridge/cassiabridge/resource"
)

type declarations struct {
	Resources []resource.Document
}

type versionResponse struct{ Version uint64 }

func putCommand() command {
	return command{
		name: "put", synopsis: "Create or change resources from a file of declarations; unchanged resources are skipped.", args: "",
		examples: []string{"cassiabridge put -f declarations.jsonc -dry-run", "cassiabridge put -f declarations.jsonc"},
		setup: clientSetup(func(flags *flag.FlagSet) clientFunc {
			file := flags.String("f", "", `file with {"Resources": [{"Kind", "Name", "Spec"}]} in JSON with comments`)
			dryRun := flags.Bool("dry-run", false, "show what would change without changing it")
			return func(c *client, args []string) error {
				if *file == "" || len(args) > 0 {
					return usageError("put needs -f FILE")
				}
				docs, err := readDeclarations(*file)
				if err != nil {
					return err
				}
				return c.put(docs, *dryRun)
			}
		}),
	}
}

// readDeclarations reads and checks the resources in the file at path. It returns them ordered by kind, so that
// resources come after those that they refer to.
func readDeclarations(path string) ([]resource.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Op: "read declarations", Kind: "Usage", Err: err}
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return nil, &Error{Op: "parse " + path, Kind: "Usage", Err: err}
	}
	var file declarations
	if err := json.Unmarshal(standard, &file); err != nil {
		return nil, &Error{Op: "parse " + path, Kind: "Usage", Err: err}
	}
	for _, doc := range file.Resources {
		if err := resource.Check(doc); err != nil {
			return nil, &Error{Op: "check " + path, Kind: "Usage", Err: err}
		}
	}
	slices.SortStableFunc(file.Resources, func(a, b resource.Document) int {
		return slices.Index(resource.Kinds(), a.Kind) - slices.Index(resource.Kinds(), b.Kind)
	})
	return file.Resources, nil
}

type putResult struct {
	Resource string
	Action   string
	Version  uint64
}

func (c *client) put(docs []resource.Document, dryRun bool) error {
	list, err := c.list("")
	if err != nil {
		return err
	}
	current := map[resource.Ref]resource.Document{}
	for _, doc := range list.Resources {
		current[doc.Ref()] = doc
	}
	var results []putResult
	var rows [][]string
	for _, doc := range docs {
		result, err := c.putOne(doc, current[doc.Ref()], dryRun)
		if err != nil {
			return err
		}
		results = append(results, result)
		rows = append(rows, []string{result.Resource, result.Action, strconv.FormatUint(result.Version, 10)})
	}
	return c.print(results, []string{"RESOURCE", "ACTION", "VERSION"}, rows)
}

func (c *client) putOne(doc, old resource.Document, dryRun bool) (putResult, error) {
	result := putResult{Resource: doc.Ref().String(), Action: "created", Version: old.Version}
	switch {
	case old.Version != 0 && doc.SameSpec(old):
		result.Action = "unchanged"
		return result, nil
	case old.Version != 0:
		result.Action = "changed"
	}
	if dryRun {
		result.Action += " (dry run)"
		return result, nil
	}
	var response versionResponse
	query := url.Values{"Expect": {strconv.FormatUint(old.Version, 10)}}
	err := c.call(http.MethodPut, resourcePath(string(doc.Kind), doc.Name), query, doc.Spec, &response)
	result.Version = response.Version
	return result, err
}
