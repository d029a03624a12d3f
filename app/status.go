package app

import (
	"flag"
	"net/http"
	"strconv"
)

type statusResponse struct {
	VM            string
	Incarnation   string
	Ready         bool
	Fresh         bool
	Draining      bool
	ConfigVersion uint64
	InForceOn     []string
	Behind        []string
	VMs           []vmStatus
	Slots         map[string]int
	InDoubt       int
}

type vmStatus struct {
	VM               string
	AvailabilityZone string
	Alive            bool
	Next             uint64
	LogAgeMillis     int64
	HeardMillisAgo   int64
}

func statusCommand() command {
	return command{
		name: "status", synopsis: "Show the VMs and whether the newest configuration is in force on them.", args: "",
		examples: []string{"cassiabridge status", "cassiabridge status -output json"},
		setup: clientSetup(func(flags *flag.FlagSet) clientFunc {
			return func(c *client, _ []string) error {
				return c.status()
			}
		}),
	}
}

func (c *client) status() error {
	var response statusResponse
	if err := c.call(http.MethodGet, "/v1/status", nil, nil, &response); err != nil {
		return err
	}
	var rows [][]string
	for _, vm := range response.VMs {
		inForce := strconv.FormatBool(vm.Next > response.ConfigVersion)
		rows = append(rows, []string{vm.VM, vm.AvailabilityZone, strconv.FormatBool(vm.Alive), strconv.FormatUint(vm.Next, 10), inForce,
			strconv.FormatInt(vm.LogAgeMillis, 10), strconv.FormatInt(vm.HeardMillisAgo, 10), strconv.Itoa(response.Slots[vm.VM])})
	}
	return c.print(response, []string{"VM", "ZONE", "ALIVE", "OFFSET", "IN FORCE", "LOG AGE MS", "HEARD MS AGO", "SLOTS"}, rows)
}
