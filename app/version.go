package app

import (
	"flag"
	"fmt"
)

func versionCommand() command {
	return command{
		name: "version", synopsis: "Print the version.",
		setup: func(*flag.FlagSet) func(Common, []string) error {
			return func(common Common, _ []string) error {
				_, err := fmt.Fprintln(common.Stdout, "cassiabridge", Version)
				return err
			}
		},
	}
}
