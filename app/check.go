package app

import (
	"flag"
	"fmt"

	"github.com/cassiabridge/cassiabridge/settings"
)

func checkCommand() command {
	return command{
		name: "check", synopsis: "Check a settings file, or print the documentation of the settings.", args: "SETTINGS",
		examples: []string{"cassiabridge check settings.jsonc", "cassiabridge check -page > docs/SETTINGS.md"},
		setup: func(flags *flag.FlagSet) func(Output, []string) error {
			page := flags.Bool("page", false, "print docs/SETTINGS.md")
			return func(out Output, args []string) error {
				if *page {
					_, err := fmt.Fprint(out.Stdout, settings.Page())
					return err
				}
				if len(args) != 1 {
					return usageError("check takes one settings file")
				}
				if _, err := settings.Load(args[0]); err != nil {
					return err
				}
				_, err := fmt.Fprintln(out.Stdout, "ok")
				return err
			}
		},
	}
}
