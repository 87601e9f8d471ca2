package questionnaire

import (
	"fmt"
	"net/netip"
)

// checkService checks the answers about a service or group of services, and fills
// in their defaults.
func (c *checker) checkService(path string, s *Service) {
	c.checkName(path+".name", s.Name)
	if c.doc.HasField(path + ".description") {
		c.checkDescription(path+".description", s.Description)
	}
	if !c.doc.HasField(path + ".count") {
		s.Count = 1
	}
	if s.Count < 1 || s.Count > maxPerGroup {
		c.addValueFault(path+".count", fmt.Sprintf("got %d", s.Count), fmt.Sprintf("want 1 to %d", maxPerGroup))
	}
	if s.Shape != nil {
		c.checkShape(path+".shape", s.Shape)
		c.checkIndexVersions(path+".index_versions", s)
		c.checkAddresses(path+".addresses", s)
	}
	c.checkAnswers(path, s)
	c.checkServiceCallers(path+".callers", s)
}

func (c *checker) checkDescription(path, text string) {
	if len(text) > maxTextBytes {
		c.addValueFault(path, fmt.Sprintf("has %d bytes", len(text)), fmt.Sprintf("want at most %d", maxTextBytes))
	}
}

func (c *checker) checkAnswers(path string, s *Service) {
	c.checkChoice(path+".urgency", s.Urgency, "urgent", "normal", "archive")
	c.checkChoice(path+".first", s.First, "latency", "coverage")
	c.checkPresent(path+".may_be_repeated", "want true or false")
	c.checkRange(path+".deadline_ms", s.DeadlineMS, 1, maxDeadlineMS)
	c.checkRange(path+".answer_within_ms", s.AnswerWithinMS, 1, maxDeadlineMS)
	c.checkRange(path+".most_documents", s.MostDocuments, 1, maxDocuments)
	c.checkRange(path+".fresh_versions", s.FreshVersions, 1, maxVersions)
	c.checkRange(path+".extra_load.usual_percent", s.ExtraLoad.UsualPercent, 0, maxPercent)
	c.checkRange(path+".extra_load.in_trouble_percent", s.ExtraLoad.InTroublePercent, 0, maxPercent)
	c.checkRange(path+".limits.requests_per_second", s.Limits.RequestsPerSecond, 1, maxRate)
	c.checkRange(path+".limits.requests_at_once", s.Limits.RequestsAtOnce, 1, maxConcurrentRequests)
	c.checkPermits(path, s)
}

func (c *checker) checkPermits(path string, s *Service) {
	switch {
	case s.MayBeRepeated && s.Permits != nil:
		c.addValueFault(path+".permits", "requests that may be repeated need no permits", "remove it or set may_be_repeated to false")
	case !s.MayBeRepeated && s.Permits == nil && c.doc.HasField(path+".may_be_repeated"):
		c.addValueFault(path+".permits", "the answer is missing", "requests that may not be repeated run under permits")
	case !s.MayBeRepeated && s.Permits != nil:
		c.checkRange(path+".permits.valid_s", s.Permits.ValidS, 1, maxPermitSeconds)
		c.checkRange(path+".permits.outcome_kept_s", s.Permits.OutcomeKeptS, 1, maxPermitSeconds)
	}
}

func (c *checker) checkServiceCallers(path string, s *Service) {
	c.checkLength(path, len(s.Callers), maxPerGroup)
	known := make(map[string]bool, len(c.q.Callers))
	for _, caller := range c.q.Callers {
		known[caller.Name] = true
	}
	names := make([]string, len(s.Callers))
	for i, use := range s.Callers {
		entryPath := fmt.Sprintf("%s[%d]", path, i)
		if c.checkPresent(entryPath+".name", "name a caller") && !known[use.Name] {
			c.addReferenceFault(entryPath+".name", fmt.Sprintf("there is no caller %q", use.Name), "name one of callers")
		}
		c.checkRange(entryPath+".requests_per_second", use.RequestsPerSecond, 1, maxRate)
		c.checkRange(entryPath+".burst", use.Burst, 0, maxRate)
		c.checkRange(entryPath+".requests_at_once", use.RequestsAtOnce, 1, maxConcurrentRequests)
		names[i] = use.Name
	}
	c.checkDuplicates(path+"[%d].name", names)
}

func (c *checker) checkIndexVersions(path string, s *Service) {
	c.checkLength(path, len(s.IndexVersions), maxVersions)
	previous := 0
	for i := range s.IndexVersions {
		v := &s.IndexVersions[i]
		versionPath := fmt.Sprintf("%s[%d]", path, i)
		c.checkRange(versionPath+".version", v.Version, 1, maxVersion)
		if v.Version <= previous {
			c.addValueFault(versionPath+".version", fmt.Sprintf("%d does not follow %d", v.Version, previous), "list each version once, the oldest first")
		}
		previous = v.Version
		if c.doc.HasField(versionPath + ".shards") {
			c.checkRange(versionPath+".shards", v.Shards, 1, maxShards)
		} else {
			v.Shards = s.Shape.Shards
		}
	}
}

func (c *checker) checkAddresses(path string, s *Service) {
	a := &s.Addresses
	switch {
	case len(a.Ranges) > 0 && len(a.List) > 0:
		c.addValueFault(path+".list", "ranges are given too", "give one of the two")
	case len(a.Ranges) == 0 && len(a.List) == 0:
		c.addValueFault(path, "the answer is missing", "give ranges or list")
	}
	if a.Next == "" {
		a.Next = nextIP
	}
	if a.Next != nextIP && a.Next != nextPort {
		c.addValueFault(path+".next", fmt.Sprintf("got %q", a.Next), "want ip or port")
	}
	for i, r := range a.Ranges {
		entryPath := fmt.Sprintf("%s.ranges[%d]", path, i)
		c.checkDataCentre(entryPath+".data_centre", r.DataCentre)
		c.checkAddress(entryPath+".first", r.First)
	}
	if endpoints := s.Count * s.Shape.Replicas; len(a.List) > 0 && len(a.List) != endpoints {
		c.addValueFault(path+".list", fmt.Sprintf("has %d entries", len(a.List)), fmt.Sprintf("%d services of %d replicas need %d", s.Count, s.Shape.Replicas, endpoints))
	}
	for i, e := range a.List {
		entryPath := fmt.Sprintf("%s.list[%d]", path, i)
		c.checkDataCentre(entryPath+".data_centre", e.DataCentre)
		c.checkAddress(entryPath+".address", e.Address)
	}
}

func (c *checker) checkAddress(path, text string) {
	if !c.checkPresent(path, "give an IP and a port") {
		return
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().Zone() != "" {
		c.addValueFault(path, fmt.Sprintf("got %q", text), "want an IP and a port, such as 10.1.0.1:9000")
	}
}
