// Command gypsumlug is the command-line tool of operators and callers.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"reflect"

	"github.com/alecthomas/kong"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

// cli has one field for each subcommand. Every subcommand is implemented in a file of
// its own and has a method Run(*environment) error.
type cli struct {
	Output outputFormat `help:"Format of the output: table or json." enum:"table,json" default:"table" short:"o"`

	Demo          demoCmd          `cmd:"" help:"Show the main job in one process: queries, a reservation, a lost shard, a straggler."`
	Query         queryCmd         `cmd:"" help:"Query a service."`
	Explain       explainCmd       `cmd:"" help:"Print the story of one request from the logs of hosts."`
	Submit        submitCmd        `cmd:"" help:"Run a request at most once, under a permit."`
	Questionnaire questionnaireCmd `cmd:"" help:"Check, generate, explain and compare questionnaires."`
	Config        configCmd        `cmd:"" help:"Show the configuration in force, or check one before it is sent."`
	Fleet         fleetCmd         `cmd:"" help:"Show the hosts that a host knows."`
	Endpoints     endpointsCmd     `cmd:"" help:"Show the endpoints and why one is out."`
	Quarantine    quarantineCmd    `cmd:"" help:"Show the requests that crashed endpoints."`
	Permits       permitsCmd       `cmd:"" help:"Show a host's permits in numbers."`
	Load          loadCmd          `cmd:"" help:"Measure latency, coverage and extra load under faults, on loopback."`
	Standin       standinCmd       `cmd:"" help:"Start a platform and endpoints on loopback, for experiments."`
	Capacity      capacityCmd      `cmd:"" help:"Work out what each role of a host needs at a size, from measured slopes."`
	Codes         codesCmd         `cmd:"" help:"List the result codes."`
	Version       versionCmd       `cmd:"" help:"Print the version."`
}

const description = `Query services, submit requests that may run only once, work on the questionnaire, and look at hosts.

The exit code is 0 if the result is complete, else the class of its result code: 2 partial, 3 not run, 4 unknown, 5 failed, 6 a fault in a file, an address or the command line. See "gypsumlug codes".`

// environment is the context, the output streams and the output format of a subcommand.
type environment struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
	output outputFormat
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes a command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var c cli
	env := &environment{ctx: ctx, stdout: stdout, stderr: stderr, output: outputTable}
	parser, err := kong.New(&c, kong.Name("gypsumlug"), kong.Description(description), kong.Writers(stdout, stderr))
	if err != nil {
		return env.reportError(result.Errorf(result.Internal, "%v", err))
	}
	command, err := parser.Parse(args)
	if err != nil {
		return env.reportError(result.Errorf(result.Usage, "%v", err))
	}
	if err := rejectEmptyFlags(command); err != nil {
		return env.reportError(err)
	}
	env.output = c.Output
	return env.reportError(command.Run(env))
}

// rejectEmptyFlags rejects a flag that was given an empty value, for example from an
// unset variable in a script. The subcommands would treat it as not given: submit with
// an empty --permit would request a new permit.
func rejectEmptyFlags(command *kong.Context) error {
	for _, step := range command.Path {
		flag := step.Flag
		if flag != nil && flag.Target.Kind() == reflect.String && flag.Target.String() == "" {
			return result.Errorf(result.Usage, "--%s has an empty value", flag.Name)
		}
	}
	return nil
}
