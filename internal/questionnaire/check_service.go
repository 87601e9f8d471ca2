package questionnaire

import (
	"fmt"
	"net/netip"
)

func (c *checker) service(path string, s *Service) {
	c.name(path+".name", s.Name)
	if c.doc.HasField(path + ".description") {
		c.description(path+".description", s.Description)
	}
	if !c.doc.HasField(path + ".count") {
		s.Count = 1
	}
	if s.Count < 1 || s.Count > maxServiceCalls {
		c.value(path+".count", fmt.Sprintf("got %d", s.Count), fmt.Sprintf("want 1 to %d", maxServiceCalls))
	}
	if s.Shape != nil {
		c.shape(path+".shape", s.Shape)
		c.versions(path+".index_versions", s)
		c.addresses(path+".addresses", s)
	}
	c.answers(path, s)
	c.serviceCallers(path+".callers", s)
}

func (c *checker) description(path, s string) {
	if len(s) > maxTextBytes {
		c.value(path, fmt.Sprintf("has %d bytes", len(s)), fmt.Sprintf("want at most %d", maxTextBytes))
	}
}

func (c *checker) answers(path string, s *Service) {
	c.choice(path+".urgency", s.Urgency, "urgent", "normal", "archive")
	c.choice(path+".first", s.First, "latency", "coverage")
	c.required(path+".may_be_repeated", "want true or false")
	c.within(path+".deadline_ms", s.DeadlineMS, 1, maxDeadlineMS)
	c.within(path+".answer_within_ms", s.AnswerWithinMS, 1, maxDeadlineMS)
	c.within(path+".most_documents", s.MostDocuments, 1, maxDocuments)
	c.within(path+".fresh_versions", s.FreshVersions, 1, maxVersions)
	c.within(path+".extra_load.usual_percent", s.ExtraLoad.UsualPercent, 0, maxPercent)
	c.within(path+".extra_load.in_trouble_percent", s.ExtraLoad.InTroublePercent, 0, maxPercent)
	c.within(path+".limits.requests_per_second", s.Limits.RequestsPerSecond, 1, maxRate)
	c.within(path+".limits.requests_at_once", s.Limits.RequestsAtOnce, 1, maxAtOnce)
	c.permits(path, s)
}

func (c *checker) permits(path string, s *Service) {
	switch {
	case s.MayBeRepeated && s.Permits != nil:
		c.value(path+".permits", "requests that may be repeated need no permits", "remove it or set may_be_repeated to false")
	case !s.MayBeRepeated && s.Permits == nil && c.doc.HasField(path+".may_be_repeated"):
		c.value(path+".permits", "the answer is missing", "requests that may not be repeated run under permits")
	case !s.MayBeRepeated && s.Permits != nil:
		c.within(path+".permits.valid_s", s.Permits.ValidS, 1, maxPermitS)
		c.within(path+".permits.outcome_kept_s", s.Permits.OutcomeKeptS, 1, maxPermitS)
	}
}

func (c *checker) serviceCallers(path string, s *Service) {
	c.count(path, len(s.Callers), maxServiceCalls)
	known := make(map[string]bool, len(c.q.Callers))
	for _, caller := range c.q.Callers {
		known[caller.Name] = true
	}
	names := make([]string, len(s.Callers))
	for i, u := range s.Callers {
		at := fmt.Sprintf("%s[%d]", path, i)
		if c.required(at+".name", "name a caller") && !known[u.Name] {
			c.reference(at+".name", fmt.Sprintf("there is no caller %q", u.Name), "name one of callers")
		}
		c.within(at+".requests_per_second", u.RequestsPerSecond, 1, maxRate)
		c.within(at+".burst", u.Burst, 0, maxRate)
		c.within(at+".requests_at_once", u.RequestsAtOnce, 1, maxAtOnce)
		names[i] = u.Name
	}
	c.unique(path+"[%d].name", names)
}

func (c *checker) versions(path string, s *Service) {
	c.count(path, len(s.IndexVersions), maxVersions)
	last := 0
	for i := range s.IndexVersions {
		v := &s.IndexVersions[i]
		at := fmt.Sprintf("%s[%d]", path, i)
		c.within(at+".version", v.Version, 1, maxVersion)
		if v.Version <= last {
			c.value(at+".version", fmt.Sprintf("%d does not follow %d", v.Version, last), "list each version once, the oldest first")
		}
		last = v.Version
		if c.doc.HasField(at + ".shards") {
			c.within(at+".shards", v.Shards, 1, maxShards)
		} else {
			v.Shards = s.Shape.Shards
		}
	}
}

func (c *checker) addresses(path string, s *Service) {
	a := &s.Addresses
	switch {
	case len(a.Ranges) > 0 && len(a.List) > 0:
		c.value(path+".list", "ranges are given too", "give one of the two")
	case len(a.Ranges) == 0 && len(a.List) == 0:
		c.value(path, "the answer is missing", "give ranges or list")
	}
	if a.Next == "" {
		a.Next = nextIP
	}
	if a.Next != nextIP && a.Next != nextPort {
		c.value(path+".next", fmt.Sprintf("got %q", a.Next), "want ip or port")
	}
	for i, r := range a.Ranges {
		at := fmt.Sprintf("%s.ranges[%d]", path, i)
		c.dataCentre(at+".data_centre", r.DataCentre)
		c.address(at+".first", r.First)
	}
	if want := s.Count * s.Shape.Replicas; len(a.List) > 0 && len(a.List) != want {
		c.value(path+".list", fmt.Sprintf("has %d entries", len(a.List)), fmt.Sprintf("%d services of %d replicas need %d", s.Count, s.Shape.Replicas, want))
	}
	for i, e := range a.List {
		at := fmt.Sprintf("%s.list[%d]", path, i)
		c.dataCentre(at+".data_centre", e.DataCentre)
		c.address(at+".address", e.Address)
	}
}

func (c *checker) address(path, text string) {
	if !c.required(path, "give an IP and a port") {
		return
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().Zone() != "" {
		c.value(path, fmt.Sprintf("got %q", text), "want an IP and a port, such as 10.1.0.1:9000")
	}
}
