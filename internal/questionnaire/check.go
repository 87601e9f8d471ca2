package questionnaire

import (
	"fmt"
	"slices"
	"strings"
	"unicode"
)

// Limits of the answers. maxPerGroup limits both the services of a group and the
// callers of a service.
const (
	maxRevision           = 1<<31 - 1
	maxNameBytes          = 64
	maxTextBytes          = 1000
	maxLatencyUS          = 1_000_000
	maxDataCentres        = 64
	maxHosts              = 10_000
	maxCallers            = 10_000
	maxServices           = 4_000
	maxReplicas           = 1_000
	maxSlots              = 10_000
	maxConnections        = 1_000_000
	maxConnectMS          = 60_000
	maxShards             = 4_096
	maxShardReplicas      = 16_384
	maxEndpoints          = 100_000
	maxShardUS            = 60_000_000
	maxVersions           = 16
	maxVersion            = 1<<31 - 1
	maxDeadlineMS         = 600_000
	maxDocuments          = 100_000
	maxPercent            = 100
	maxRate               = 1_000_000
	maxConcurrentRequests = 1_000_000
	maxPermitSeconds      = 7 * 24 * 3600
	maxPerGroup           = 200
)

func (c *checker) checkDeployment() {
	q := c.q
	c.checkText("deployment", q.Deployment)
	c.checkRange("revision", q.Revision, 1, maxRevision)
	c.checkRange("network.between_data_centres_us", q.Network.BetweenDataCentresUS, 0, maxLatencyUS)
	c.checkRange("network.to_callers_us", q.Network.ToCallersUS, 0, maxLatencyUS)
	c.checkLength("data_centres", len(q.DataCentres), maxDataCentres)
	names := make([]string, len(q.DataCentres))
	for i, d := range q.DataCentres {
		path := fmt.Sprintf("data_centres[%d]", i)
		c.checkText(path+".name", d.Name)
		c.checkRange(path+".hosts", d.Hosts, 1, maxHosts)
		names[i] = d.Name
	}
	c.checkDuplicates("data_centres[%d].name", names)
	c.checkCallers()
	c.checkLength("services", len(q.Services), maxServices)
}

func (c *checker) checkCallers() {
	c.checkLength("callers", len(c.q.Callers), maxCallers)
	names := make([]string, len(c.q.Callers))
	for i, caller := range c.q.Callers {
		c.checkName(fmt.Sprintf("callers[%d].name", i), caller.Name)
		names[i] = caller.Name
	}
	c.checkDuplicates("callers[%d].name", names)
}

// checkText checks a required human-readable text.
func (c *checker) checkText(path, text string) {
	unprintable := func(r rune) bool { return !unicode.IsPrint(r) }
	if c.checkPresent(path, "give a text") && (strings.TrimSpace(text) == "" || len(text) > maxNameBytes || strings.ContainsFunc(text, unprintable)) {
		c.addValueFault(path, fmt.Sprintf("got %q", text), fmt.Sprintf("want 1 to %d bytes of printable text", maxNameBytes))
	}
}

// checkName checks a required name that is used in requests.
func (c *checker) checkName(path, name string) {
	invalidRune := func(r rune) bool { return r != '-' && (r < '0' || r > '9') && (r < 'a' || r > 'z') }
	if !c.checkPresent(path, "give a name") {
		return
	}
	if name == "" || len(name) > maxNameBytes || strings.ContainsFunc(name, invalidRune) || name[0] == '-' {
		c.addValueFault(path, fmt.Sprintf("got %q", name), fmt.Sprintf("want 1 to %d of a-z, 0-9 and -, not beginning with -", maxNameBytes))
	}
}

// checkLength checks the length of a required list.
func (c *checker) checkLength(path string, length, maxLength int) {
	if c.checkPresent(path, "give a list") && (length < 1 || length > maxLength) {
		c.addValueFault(path, fmt.Sprintf("has %d entries", length), fmt.Sprintf("want 1 to %d", maxLength))
	}
}

// checkDuplicates checks that names are unique. pattern is the format of the path
// of a name, with its position as the argument.
func (c *checker) checkDuplicates(pattern string, names []string) {
	positionByName := make(map[string]int, len(names))
	for i, name := range names {
		if name == "" {
			continue
		}
		if firstPosition, ok := positionByName[name]; ok {
			c.addReferenceFault(fmt.Sprintf(pattern, i), fmt.Sprintf("%q is the name of entry %d already", name, firstPosition), "give each its own name")
			continue
		}
		positionByName[name] = i
	}
}

// checkChoice checks that a required answer is one of the allowed values.
func (c *checker) checkChoice(path, got string, allowed ...string) {
	if c.checkPresent(path, "want one of "+strings.Join(allowed, ", ")) && !slices.Contains(allowed, got) {
		c.addValueFault(path, fmt.Sprintf("got %q", got), "want one of "+strings.Join(allowed, ", "))
	}
}

func (c *checker) hasDataCentre(name string) bool {
	return slices.ContainsFunc(c.q.DataCentres, func(d DataCentre) bool { return d.Name == name })
}

// checkDataCentre checks a required reference to a data centre.
func (c *checker) checkDataCentre(path, name string) {
	if c.checkPresent(path, "name a data centre") && !c.hasDataCentre(name) {
		c.addReferenceFault(path, fmt.Sprintf("there is no data centre %q", name), "name one of data_centres")
	}
}
