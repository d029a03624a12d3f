// Package app implements the command line of cassiabridge and assembles the router from its packages.
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

// Version is the program's version, without the prefix "v".
const Version = "0.1.0"

// Error reports a failed command. Kind "Usage" makes the program exit with code 2.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error returns a message with the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func usageError(format string, args ...any) *Error {
	return &Error{Op: "parse arguments", Kind: "Usage", Err: fmt.Errorf(format, args...)}
}

// command is a subcommand. setup defines its flags and returns the function that runs it.
type command struct {
	name     string
	synopsis string
	args     string
	examples []string
	setup    func(flags *flag.FlagSet) func(out Output, args []string) error
	// handlesHangup is whether the command handles SIGHUP itself.
	handlesHangup bool
}

// Output holds the streams that a command writes to.
type Output struct {
	Stdout io.Writer
	Stderr io.Writer
}

func commands() []command {
	return []command{serveCommand(), checkCommand(), getCommand(), putCommand(), deleteCommand(), keyCommand(), withdrawCommand(),
		watchCommand(), auditCommand(), statusCommand(), operationsCommand(), settleCommand(), versionCommand()}
}

// Run runs the command in args, which excludes the program's name, and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	out := Output{Stdout: stdout, Stderr: stderr}
	if len(args) == 0 || args[0] == "-h" || args[0] == "--help" || args[0] == "help" {
		printUsage(stdout)
		if len(args) == 0 {
			return exitUsage
		}
		return exitOK
	}
	for _, cmd := range commands() {
		if cmd.name == args[0] {
			return runCommand(cmd, out, args[1:])
		}
	}
	fmt.Fprintf(stderr, "cassiabridge: command %q does not exist\n", args[0])
	printUsage(stderr)
	return exitUsage
}

func runCommand(cmd command, out Output, args []string) int {
	if !cmd.handlesHangup {
		restoreHangup()
	}
	flags := flag.NewFlagSet(cmd.name, flag.ContinueOnError)
	flags.SetOutput(out.Stderr)
	run := cmd.setup(flags)
	flags.Usage = func() { printCommandUsage(cmd, flags) }
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitUsage
	}
	err := run(out, flags.Args())
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(out.Stderr, "cassiabridge:", err)
	var appErr *Error
	if errors.As(err, &appErr) && appErr.Kind == "Usage" {
		return exitUsage
	}
	return exitFailed
}

func printUsage(w io.Writer) {
	fmt.Fprintln(w, "cassiabridge routes language-model requests to separate prefill and decode pools.")
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
