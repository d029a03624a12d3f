package app

import (
	"flag"
	"fmt"
)

func versionCommand() command {
	return command{
		name: "version", synopsis: "Print the version.",
		setup: func(*flag.FlagSet) func(Output, []string) error {
			return func(out Output, _ []string) error {
				_, err := fmt.Fprintln(out.Stdout, "cassiabridge", Version)
				return err
			}
		},
	}
}
