package questionnaire

import (
	"fmt"
	"slices"
	"strings"
	"unicode"
)

// Bounds of the answers.
const (
	maxRevision      = 1<<31 - 1
	maxNameBytes     = 64
	maxTextBytes     = 1000
	maxLatencyUS     = 1_000_000
	maxDataCentres   = 64
	maxHosts         = 10_000
	maxCallers       = 10_000
	maxServices      = 4_000
	maxReplicas      = 1_000
	maxSlots         = 10_000
	maxConnections   = 1_000_000
	maxConnectMS     = 60_000
	maxShards        = 4_096
	maxShardReplicas = 16_384
	maxEndpoints     = 100_000
	maxShardUS       = 60_000_000
	maxVersions      = 16
	maxVersion       = 1<<31 - 1
	maxDeadlineMS    = 600_000
	maxDocuments     = 100_000
	maxPercent       = 100
	maxRate          = 1_000_000
	maxAtOnce        = 1_000_000
	maxPermitS       = 7 * 24 * 3600
	maxServiceCalls  = 200
)

func (c *checker) deployment() {
	q := c.q
	c.text("deployment", q.Deployment)
	c.within("revision", q.Revision, 1, maxRevision)
	c.within("network.between_data_centres_us", q.Network.BetweenDataCentresUS, 0, maxLatencyUS)
	c.within("network.to_callers_us", q.Network.ToCallersUS, 0, maxLatencyUS)
	c.count("data_centres", len(q.DataCentres), maxDataCentres)
	names := make([]string, len(q.DataCentres))
	for i, d := range q.DataCentres {
		path := fmt.Sprintf("data_centres[%d]", i)
		c.text(path+".name", d.Name)
		c.within(path+".hosts", d.Hosts, 1, maxHosts)
		names[i] = d.Name
	}
	c.unique("data_centres[%d].name", names)
	c.callers()
	c.count("services", len(q.Services), maxServices)
}

func (c *checker) callers() {
	c.count("callers", len(c.q.Callers), maxCallers)
	names := make([]string, len(c.q.Callers))
	for i, caller := range c.q.Callers {
		c.name(fmt.Sprintf("callers[%d].name", i), caller.Name)
		names[i] = caller.Name
	}
	c.unique("callers[%d].name", names)
}

// text checks a required text that people read.
func (c *checker) text(path, s string) {
	invalid := func(r rune) bool { return !unicode.IsPrint(r) }
	if c.required(path, "give a text") && (strings.TrimSpace(s) == "" || len(s) > maxNameBytes || strings.ContainsFunc(s, invalid)) {
		c.value(path, fmt.Sprintf("got %q", s), fmt.Sprintf("want 1 to %d bytes of printable text", maxNameBytes))
	}
}

// name checks a required name that requests carry.
func (c *checker) name(path, s string) {
	invalid := func(r rune) bool { return r != '-' && (r < '0' || r > '9') && (r < 'a' || r > 'z') }
	if !c.required(path, "give a name") {
		return
	}
	if s == "" || len(s) > maxNameBytes || strings.ContainsFunc(s, invalid) || s[0] == '-' {
		c.value(path, fmt.Sprintf("got %q", s), fmt.Sprintf("want 1 to %d of a-z, 0-9 and -, not beginning with -", maxNameBytes))
	}
}

// count checks the length of a required list.
func (c *checker) count(path string, n, most int) {
	if c.required(path, "give a list") && (n < 1 || n > most) {
		c.value(path, fmt.Sprintf("has %d entries", n), fmt.Sprintf("want 1 to %d", most))
	}
}

// unique checks that no name is given twice; pattern makes the path of an index.
func (c *checker) unique(pattern string, names []string) {
	first := make(map[string]int, len(names))
	for i, name := range names {
		if name == "" {
			continue
		}
		if other, ok := first[name]; ok {
			c.reference(fmt.Sprintf(pattern, i), fmt.Sprintf("%q is the name of entry %d already", name, other), "give each its own name")
			continue
		}
		first[name] = i
	}
}

// choice checks that a required answer is one of the words offered.
func (c *checker) choice(path, got string, want ...string) {
	if c.required(path, "want one of "+strings.Join(want, ", ")) && !slices.Contains(want, got) {
		c.value(path, fmt.Sprintf("got %q", got), "want one of "+strings.Join(want, ", "))
	}
}

func (c *checker) hasDataCentre(name string) bool {
	return slices.ContainsFunc(c.q.DataCentres, func(d DataCentre) bool { return d.Name == name })
}

// dataCentre checks a reference to a data centre.
func (c *checker) dataCentre(path, name string) {
	if c.required(path, "name a data centre") && !c.hasDataCentre(name) {
		c.reference(path, fmt.Sprintf("there is no data centre %q", name), "name one of data_centres")
	}
}
