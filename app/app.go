// Package app is the command line of cassiabridge and wires its parts.
package app

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Version is the version of the program.
const Version = "0.1.0"

// Error reports a command that failed.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func usageError(format string, args ...any) *Error {
	return &Error{Op: "parse arguments", Kind: "Usage", Err: fmt.Errorf(format, args...)}
}

// command is one subcommand. setup declares its flags and returns the function that runs it.
type command struct {
	name     string
	synopsis string
	args     string
	examples []string
	setup    func(flags *flag.FlagSet) func(common Common, args []string) error
}

// Common is what every command gets.
type Common struct {
	Stdout io.Writer
	Stderr io.Writer
}

func commands() []command {
	return []command{serveCommand(), checkCommand(), getCommand(), putCommand(), deleteCommand(), keyCommand(), withdrawCommand(),
		watchCommand(), auditCommand(), statusCommand(), operationsCommand(), settleCommand(), versionCommand()}
}

// Run runs the program and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	common := Common{Stdout: stdout, Stderr: stderr}
	if len(args) == 0 || args[0] == "-h" || args[0] == "--help" || args[0] == "help" {
		printUsage(stdout)
		if len(args) == 0 {
			return exitUsage
		}
		return exitOK
	}
	for _, cmd := range commands() {
		if cmd.name == args[0] {
			return runCommand(cmd, common, args[1:])
		}
	}
	fmt.Fprintf(stderr, "cassiabridge: command %q does not exist\n", args[0])
	printUsage(stderr)
	return exitUsage
}

func runCommand(cmd command, common Common, args []string) int {
	flags := flag.NewFlagSet(cmd.name, flag.ContinueOnError)
	flags.SetOutput(common.Stderr)
	run := cmd.setup(flags)
	flags.Usage = func() { printCommandUsage(cmd, flags) }
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitUsage
	}
	err := run(common, flags.Args())
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(common.Stderr, "cassiabridge:", err)
	var appErr *Error
	if errors.As(err, &appErr) && appErr.Kind == "Usage" {
		return exitUsage
	}
	return exitFailed
}

func printUsage(w io.Writer) {
	fmt.Fprintln(w, "cassiabridge routes language-model work to separate prefill and decode pools.")
	fmt.Fprintln(w, "\nCommands (each takes -h):")
	for _, cmd := range commands() {
		fmt.Fprintf(w, "  %-11s %s\n", cmd.name, cmd.synopsis)
	}
}

func printCommandUsage(cmd command, flags *flag.FlagSet) {
	w := flags.Output()
	fmt.Fprintf(w, "%s\n\nUsage: cassiabridge %s [flags] %s\n", cmd.synopsis, cmd.name, cmd.args)
	if len(cmd.examples) > 0 {
		fmt.Fprintf(w, "\nExamples:\n  %s\n", strings.Join(cmd.examples, "\n  "))
	}
	fmt.Fprintln(w, "\nFlags:")
	flags.PrintDefaults()
}
