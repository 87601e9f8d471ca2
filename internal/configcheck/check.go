// Package configcheck checks a configuration of routes and services before it is sent, and
// compares it with the one in force.
//
// The load that it answers: an operator's change of hundreds of routes, of which one is wrong.
// Invariant: a configuration without an error has a service for each request that it matches.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/gypsumlug/gypsumlug/internal/routing"
)

// Severity says what a finding means.
type Severity string

// The severities.
const (
	// Error means that the configuration must not be sent.
	Error Severity = "error"
	// NeverMatches means that an entry has no effect.
	NeverMatches Severity = "never-matches"
	// Contradiction means that two limits cannot both be reached.
	Contradiction Severity = "contradiction"
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Entry names the entry, for example `route "a"`.
	Entry  string `json:"entry"`
	Reason string `json:"reason"`
	Remedy string `json:"remedy"`
}

// maxHeaderBytes is what a host reads of a head whatever the limit is.
const maxHeaderBytes = 256 << 10

// checker collects findings.
type checker struct {
	config   *routing.Config
	findings []Finding
}

// Check returns the findings in a configuration, in the order of its entries.
func Check(c *routing.Config) []Finding {
	k := &checker{config: c}
	if c.Version == 0 {
		k.add(Error, "version", "the version is missing or 0", "give a version above the one in force")
	}
	k.checkLimits()
	k.checkServices()
	for i := range c.Routes {
		k.checkRoute(&c.Routes[i])
	}
	k.checkDuplicateNames()
	k.checkShadowedRoutes()
	return k.findings
}

// HasErrors reports whether a finding forbids to send the configuration.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == Error })
}

func (k *checker) add(s Severity, entry, reason, remedy string) {
	k.findings = append(k.findings, Finding{Severity: s, Entry: entry, Reason: reason, Remedy: remedy})
}

func (k *checker) checkLimits() {
	l := k.config.Limits
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		k.add(Error, "limits", "a limit is below 0", "leave the limit out, or give a positive one")
	}
	if l.HeaderBytes > maxHeaderBytes {
		k.add(Contradiction, "limits", fmt.Sprintf("heads of up to %d bytes are allowed, and hosts read %d", l.HeaderBytes, maxHeaderBytes), "lower the limit of heads")
	}
	if l.HeaderTimeout > 0 && l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		k.add(Contradiction, "limits", fmt.Sprintf("a head may take %v, and a connection may be idle for %v", l.HeaderTimeout, l.IdleTimeout), "raise the idle timeout")
	}
}

// checkServices finds services that no route names.
func (k *checker) checkServices() {
	named := make(map[string]bool)
	for i := range k.config.Routes {
		for _, service := range servicesOf(&k.config.Routes[i]) {
			named[service] = true
		}
	}
	for _, name := range sortedNames(k.config.Services) {
		entry := fmt.Sprintf("service %q", name)
		if !named[name] {
			k.add(NeverMatches, entry, "no route names the service", "add a route to it, or remove it")
		}
		if k.config.Services[name].MaxConnections < 0 {
			k.add(Error, entry, "the number of connections is below 0", "give a positive number")
		}
	}
}

// servicesOf returns the services that a route names.
func servicesOf(r *routing.Route) []string {
	out := slices.Clone(r.Shards)
	for _, p := range r.Parts {
		out = append(out, p.Service)
	}
	return out
}

// checkDuplicateNames finds routes with the name of an earlier one.
func (k *checker) checkDuplicateNames() {
	seen := make(map[string]bool)
	for i := range k.config.Routes {
		name := k.config.Routes[i].Name
		if seen[name] {
			k.add(Error, entryOf(&k.config.Routes[i]), "two routes have the name", "give each route a name of its own")
		}
		seen[name] = true
	}
}

// entryOf returns the name of a route in findings.
func entryOf(r *routing.Route) string { return fmt.Sprintf("route %q", r.Name) }

// sortedNames returns the keys of a map, sorted.
func sortedNames[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for name := range m {
		out = append(out, name)
	}
	slices.SortFunc(out, cmp.Compare[string])
	return out
}
