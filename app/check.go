package app

import (
	"flag"
	"fmt"

	"github.com/cassiabridge/cassiabridge/settings"
)

func checkCommand() command {
	return command{
		name: "check", synopsis: "Check a settings file, or print the page that documents the settings.", args: "SETTINGS",
		examples: []string{"cassiabridge check settings.jsonc", "cassiabridge check -page > docs/SETTINGS.md"},
		setup: func(flags *flag.FlagSet) func(Common, []string) error {
			page := flags.Bool("page", false, "print docs/SETTINGS.md")
			return func(common Common, args []string) error {
				if *page {
					_, err := fmt.Fprint(common.Stdout, settings.Page())
					return err
				}
				if len(args) != 1 {
					return usageError("check takes one settings file")
				}
				if _, err := settings.Load(args[0]); err != nil {
					return err
				}
				_, err := fmt.Fprintln(common.Stdout, "ok")
				return err
			}
		},
	}
}
