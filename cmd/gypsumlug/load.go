package main

import (
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gypsumlug/gypsumlug/internal/load"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

type loadCmd struct {
	Deployment  string        `help:"Workload: muscat, ferrando, fanout or desk." default:"fanout"`
	Faults      string        `help:"Faults joined by +, for example stragglers+shedding. A wrong name lists all." default:"none"`
	Seed        uint64        `help:"Seed of the workload and of the stand-ins." default:"1"`
	Warmup      time.Duration `help:"Time before measuring, without faults." default:"2s"`
	Duration    time.Duration `help:"Measured time." default:"10s"`
	Rate        float64       `help:"Requests a second of the open loop; 0 takes the workload's." default:"0"`
	Concurrency int           `help:"Closed loop of so many callers in place of the open loop." default:"0"`
	Hosts       int           `help:"Number of entry hosts to start." default:"3"`
	Scale       float64       `help:"Factor on the number of services." default:"1"`
	Baseline    bool          `help:"Also run the naive policy with the same seed."`
	Address     []string      `help:"Caller addresses (loopback IP and port) of running daemons, in place of embedded ones."`
	Service     string        `help:"Service to query, with --address."`
	Caller      string        `help:"Caller name, with --address."`
	Report      string        `help:"Also write an HTML report to this file." type:"path"`
}

// Run runs the load test and prints its report. It fails if a guarantee was violated, for
// example by an answer that reports a request as not run that did run.
func (c *loadCmd) Run(env *environment) error {
	options := c.options()
	if err := options.Validate(); err != nil {
		return err
	}
	report, err := load.Run(env.ctx, options, load.StartHosts, env.progressLine())
	if err != nil {
		return err
	}
	if err := c.writeReport(env, report); err != nil {
		return err
	}
	return report.Check()
}

func (c *loadCmd) options() load.Options {
	return load.Options{
		Deployment: c.Deployment, Faults: c.Faults, Seed: c.Seed, Warmup: c.Warmup, Duration: c.Duration,
		Rate: c.Rate, Concurrency: c.Concurrency, Hosts: c.Hosts, Scale: c.Scale, Baseline: c.Baseline,
		Addresses: c.Address, Service: c.Service, Caller: c.Caller,
	}
}

func (c *loadCmd) writeReport(env *environment, report *load.Report) error {
	if c.Report != "" {
		if err := writeHTMLReport(c.Report, report); err != nil {
			return err
		}
	}
	if env.output == outputJSON {
		return report.WriteJSON(env.stdout)
	}
	return report.WriteText(env.stdout)
}

func writeHTMLReport(path string, report *load.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return result.FieldErrorf(result.Usage, "--report", "%v", err)
	}
	if err := report.WriteHTML(file); err != nil {
		_ = file.Close()
		return eris.Wrap(err, "write the report")
	}
	return eris.Wrap(file.Close(), "write the report")
}

// progressLine returns a function that redraws a line of progress on standard error, or
// nil if that is not a terminal.
func (e *environment) progressLine() load.Progress {
	file, ok := e.stderr.(*os.File)
	if !ok {
		return nil
	}
	info, err := file.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(policy string, share float64, requests int64) {
		_, _ = fmt.Fprintf(file, "\r%-10s %3.0f%% %8d requests", policy, 100*share, requests)
		if share >= 1 {
			_, _ = fmt.Fprintln(file)
		}
	}
}
