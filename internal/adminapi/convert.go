package adminapi

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/gypsumlug/gypsumlug/api/admin"
	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/control"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

func reasonOf(code result.Code, detail string) admin.Reason {
	entry, _ := result.Lookup(code)
	return admin.Reason{Code: int(code), Name: code.String(), Meaning: entry.Meaning, Detail: detail}
}

func configurationOf(s control.Status, v *view.View) admin.Configuration {
	c := s.Configuration
	out := admin.Configuration{
		Revision:     uint64(c.Revision),
		ManifestHash: c.ManifestHash,
		Candidate:    uint64(c.Candidate),
		Missing:      c.Missing,
		Watching:     s.Watching,
		PlatformUp:   s.PlatformUp,
		Refusals:     make([]admin.Refusal, 0, len(c.Refusals)),
		Fleet:        countHostsByRevision(s),
		Services:     slices.Sorted(maps.Keys(v.Bundle.Services())),
		Spread:       admin.DistributionCounters(s.Counts),
	}
	if out.Services == nil {
		out.Services = []string{}
	}
	for _, r := range c.Refusals {
		out.Refusals = append(out.Refusals, admin.Refusal{Reason: reasonOf(r.Code, ""), Count: r.Count})
	}
	if c.LastRefusal != nil {
		last := reasonOf(c.LastRefusal.Code, c.LastRefusal.Error())
		out.LastRefusal = &last
	}
	return out
}

// countHostsByRevision returns the number of live hosts on each revision, including
// this host, the highest revision first.
func countHostsByRevision(s control.Status) []admin.FleetRevision {
	counts := map[config.Revision]int{s.Configuration.Revision: 1}
	for _, h := range s.Hosts {
		if h.Alive {
			counts[h.Host.Revision]++
		}
	}
	out := make([]admin.FleetRevision, 0, len(counts))
	for revision, n := range counts {
		out = append(out, admin.FleetRevision{Revision: uint64(revision), Hosts: n})
	}
	slices.SortFunc(out, func(a, b admin.FleetRevision) int { return cmp.Compare(b.Revision, a.Revision) })
	return out
}

func hostsOf(s control.Status) admin.Hosts {
	self := hostOf(s.Self)
	self.Self = true
	self.Alive = true
	self.Revision = uint64(s.Configuration.Revision)
	out := admin.Hosts{Hosts: []admin.Host{self}}
	for _, e := range s.Hosts {
		h := hostOf(e.Host)
		h.Alive = e.Alive
		h.Seed = e.Seed
		h.AgeMS = -1
		if e.HasHeartbeat {
			h.AgeMS = e.Age.Milliseconds()
		}
		out.Hosts = append(out.Hosts, h)
	}
	return out
}

func hostOf(h view.Host) admin.Host {
	return admin.Host{
		Address:    h.Incarnation.Address,
		DataCentre: h.DataCentre,
		State:      stateName(h.State),
		Start:      strconv.FormatUint(h.Incarnation.Start, 16),
		Revision:   uint64(h.Revision),
	}
}

func stateName(s view.HostState) string {
	switch s {
	case view.HostReady:
		return "ready"
	case view.HostLeaving:
		return "leaving"
	default:
		return "starting"
	}
}

func endpointsOf(s control.Status, v *view.View, restrictions []EndpointRestriction) admin.Endpoints {
	reasons := outReasons(s, restrictions)
	out := admin.Endpoints{Endpoints: make([]admin.Endpoint, 0, len(v.Bundle.Endpoints()))}
	for _, id := range slices.Sorted(maps.Keys(v.Bundle.Endpoints())) {
		e := v.Bundle.Endpoint(id)
		out.Endpoints = append(out.Endpoints, admin.Endpoint{
			ID:             id,
			Service:        v.Bundle.EndpointService(id),
			DataCentre:     e.DataCentre,
			Address:        e.Address,
			Slots:          e.Slots,
			MaxConnections: e.MaxConnections,
			Out:            append([]admin.OutReason{}, reasons[id]...),
			Relays:         append([]string{}, v.Relays[id]...),
			Share:          v.ConnectionShares[id],
		})
	}
	return out
}

// outReasons returns, by endpoint ID, the reasons why endpoints get less work or
// none.
func outReasons(s control.Status, restrictions []EndpointRestriction) map[string][]admin.OutReason {
	out := make(map[string][]admin.OutReason)
	for _, l := range s.Leaving {
		reason := admin.OutReason{Reason: reasonOf(result.EndpointLeaving, ""), TTLMS: l.TTL.Milliseconds()}
		out[l.Endpoint] = append(out[l.Endpoint], reason)
	}
	for _, r := range restrictions {
		reason := admin.OutReason{Reason: reasonOf(r.Code, r.Detail), TTLMS: r.TTL.Milliseconds()}
		out[r.Endpoint] = append(out[r.Endpoint], reason)
	}
	return out
}

func quarantineOf(s control.Status) admin.Quarantine {
	out := admin.Quarantine{Requests: make([]admin.Suspect, 0, len(s.Suspects))}
	for _, r := range s.Suspects {
		degree := "suspected"
		if r.Degree == view.Quarantined {
			degree = "quarantined"
		}
		out.Requests = append(out.Requests, admin.Suspect{Fingerprint: strconv.FormatUint(uint64(r.Fingerprint), 16), Degree: degree})
	}
	return out
}

func readinessOf(s control.Status) admin.Readiness {
	out := admin.Readiness{Ready: s.Ready, Alone: s.Alone}
	if !s.Ready {
		reason := reasonOf(s.Reason, "")
		out.Reason = &reason
	}
	return out
}
