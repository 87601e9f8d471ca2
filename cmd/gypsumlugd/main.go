// Command gypsumlugd is the daemon that runs on every entry host.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/version"
)

// Exit statuses of gypsumlugd.
const (
	exitFailure = 1
	exitUsage   = 2
)

type cli struct {
	Run     runCmd     `cmd:"" default:"withargs" help:"Run the daemon until SIGTERM or SIGINT."`
	Check   checkCmd   `cmd:"" help:"Check a settings file and exit."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run() error {
	fmt.Println(version.String())
	return nil
}

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("gypsumlugd"), kong.Description("Query tier host daemon."), kong.UsageOnError())
	context, err := parser.Parse(os.Args[1:])
	if err != nil {
		exitWithError(result.Errorf(result.Usage, "%v", err), exitUsage)
	}
	if err := context.Run(); err != nil {
		exitWithError(err, exitFailure)
	}
}

// exitWithError prints err and exits with status, or with exitUsage if err is a usage
// error.
func exitWithError(err error, status int) {
	var coded *result.Error
	if errors.As(err, &coded) && coded.Code == result.Usage {
		status = exitUsage
	}
	fmt.Fprintln(os.Stderr, "gypsumlugd:", err)
	os.Exit(status)
}
