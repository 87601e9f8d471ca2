// Package load runs a seeded workload against gypsumlug while it injects faults,
// and measures tail latency, coverage and extra load.
//
// An embedded run starts stand-in endpoints, a stand-in platform and hosts in
// one process, on loopback. The answers are checked against what the stand-ins
// hold and record, see [Violations]: a submit that ran twice under one permit, a
// request that ran although its caller was told that it did not, an answer that
// mixes snapshots, or a coverage that does not match the hits.
//
// In an open loop, latency is measured from the time at which a request was
// scheduled to start. A slow target therefore cannot hide its delays by slowing
// the load down (coordinated omission).
package load

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Upper limits of the options of a run.
const (
	maxDuration    = time.Hour
	maxRate        = 100_000
	maxHosts       = 32
	maxConcurrency = 4096
	maxScale       = 4
)

// Options describes a run.
type Options struct {
	// Deployment names the workload, see [Deployments].
	Deployment string `json:"deployment"`
	// Faults names faults joined by "+", see [FaultNames].
	Faults string `json:"faults"`
	Seed   uint64 `json:"seed"`
	// Warmup is how long the workload runs before the measurement, without faults.
	Warmup   time.Duration `json:"warmup"`
	Duration time.Duration `json:"duration"`
	// Rate is the number of requests a second of an open loop; zero takes the
	// workload's default.
	Rate float64 `json:"rate"`
	// Concurrency is the number of callers of a closed loop; zero selects an open
	// loop.
	Concurrency int `json:"concurrency"`
	Hosts       int `json:"hosts"`
	// Scale multiplies the number of services of each group that has more than one
	// service.
	Scale float64 `json:"scale"`
	// Baseline also measures the naive policy, with the same seed.
	Baseline bool `json:"baseline"`
	// Addresses are the caller addresses of running daemons; empty starts
	// embedded hosts.
	Addresses []string `json:"addresses,omitempty"`
	// Service and Caller are required with Addresses and otherwise unused.
	Service string `json:"service,omitempty"`
	Caller  string `json:"caller,omitempty"`
}

// Validate sets the default rate and checks every option. The error is a
// *result.Error with code 630 (result.Usage) whose field is the flag.
func (o *Options) Validate() error {
	w, ok := workloads[o.Deployment]
	if !ok {
		return usageError("deployment", "got %q, want one of %s", o.Deployment, strings.Join(Deployments(), ", "))
	}
	if o.Rate == 0 {
		o.Rate = w.rate
	}
	if _, err := parseFaults(o.Faults); err != nil {
		return err
	}
	if err := o.validateNumbers(); err != nil {
		return err
	}
	return o.validateAddresses()
}

func (o *Options) validateNumbers() error {
	switch {
	case o.Duration <= 0 || o.Duration > maxDuration:
		return usageError("duration", "got %s, want more than 0 and at most %s", o.Duration, maxDuration)
	case o.Warmup < 0 || o.Warmup > maxDuration:
		return usageError("warmup", "got %s, want 0 to %s", o.Warmup, maxDuration)
	case o.Rate <= 0 || o.Rate > maxRate:
		return usageError("rate", "got %g, want more than 0 and at most %d a second", o.Rate, maxRate)
	case o.Concurrency < 0 || o.Concurrency > maxConcurrency:
		return usageError("concurrency", "got %d, want 0 to %d", o.Concurrency, maxConcurrency)
	case o.Hosts < 1 || o.Hosts > maxHosts:
		return usageError("hosts", "got %d, want 1 to %d", o.Hosts, maxHosts)
	case o.Scale <= 0 || o.Scale > maxScale:
		return usageError("scale", "got %g, want more than 0 and at most %d", o.Scale, maxScale)
	default:
		return nil
	}
}

// validateAddresses checks the options of a run against running daemons.
func (o *Options) validateAddresses() error {
	if len(o.Addresses) == 0 {
		return nil
	}
	for _, a := range o.Addresses {
		address, err := netip.ParseAddrPort(a)
		if err != nil {
			return usageError("address", "%q is not an IP address and port", a)
		}
		if !address.Addr().IsLoopback() {
			return usageError("address", "%s is not a loopback address; load is sent to loopback only", a)
		}
	}
	switch {
	case o.Service == "" || o.Caller == "":
		return usageError("service", "--service and --caller are needed with --address")
	case o.Faults != "" && o.Faults != faultNone:
		return usageError("faults", "faults need embedded stand-ins and cannot be used with --address")
	case o.Baseline:
		return usageError("baseline", "the baseline needs embedded stand-ins and cannot be used with --address")
	default:
		return nil
	}
}

// Deployments returns the names of the workloads.
func Deployments() []string {
	names := make([]string, 0, len(workloads))
	for name := range workloads {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// usageError returns an error with code 630 (result.Usage) for a flag.
func usageError(flag, format string, args ...any) error {
	return result.FieldErrorf(result.Usage, "--"+flag, format, args...)
}
