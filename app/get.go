package app

import (
	"flag"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/cassiabridge/cassiabridge/resource"
)

type resourceList struct {
	Version   uint64
	Resources []resource.Document
}

// resourceResponse is a resource with the VMs on which its version is in force, and those that are behind.
type resourceResponse struct {
	resource.Document
	Status struct {
		InForceOn []string
		Behind    []string
	}
}

func getCommand() command {
	return command{
		name: "get", synopsis: "Show resources.", args: "[KIND | KIND/NAME]",
		examples: []string{"cassiabridge get", "cassiabridge get Upstream", "cassiabridge get -output json Route/notes"},
		setup: clientSetup(func(flags *flag.FlagSet) clientFunc {
			return func(c *client, args []string) error {
				if len(args) > 1 {
					return usageError("get takes at most one kind or resource")
				}
				return c.get(strings.Join(args, ""))
			}
		}),
	}
}

func (c *client) get(target string) error {
	kind, name, single := strings.Cut(target, "/")
	if single {
		var found resourceResponse
		if err := c.call(http.MethodGet, resourcePath(kind, name), nil, nil, &found); err != nil {
			return err
		}
		row := append(resourceRow(found.Document), strings.Join(found.Status.InForceOn, ","), strings.Join(found.Status.Behind, ","))
		return c.print(found, append(slices.Clone(resourceHeader), "IN FORCE ON", "BEHIND"), [][]string{row})
	}
	list, err := c.list(kind)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, doc := range list.Resources {
		rows = append(rows, resourceRow(doc))
	}
	return c.print(list, resourceHeader, rows)
}

func (c *client) list(kind string) (resourceList, error) {
	var list resourceList
	err := c.call(http.MethodGet, "/v1/resources", url.Values{"Kind": {kind}}, nil, &list)
	return list, err
}

var resourceHeader = []string{"KIND", "NAME", "VERSION", "SPEC"}

func resourceRow(doc resource.Document) []string {
	return []string{string(doc.Kind), doc.Name, strconv.FormatUint(doc.Version, 10), string(doc.Spec)}
}

func resourcePath(kind, name string) string {
	return "/v1/resources/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}
