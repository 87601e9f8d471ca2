package configcheck

import (
	"fmt"
	"slices"

	"github.com/gypsumlug/gypsumlug/internal/routing"
)

// ChangeKind says what happens to an entry.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is a difference between two configurations.
type Change struct {
	Kind  ChangeKind `json:"kind"`
	Entry string     `json:"entry"`
	// Field, From and To are set for a changed field.
	Field string `json:"field,omitempty"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
}

// Against returns the findings in a configuration that follow from the one in force.
func Against(inForce, c *routing.Config) []Finding {
	if c.Version > inForce.Version {
		return nil
	}
	return []Finding{{
		Severity: Error, Entry: "version",
		Reason: fmt.Sprintf("version %d is not above version %d, which is in force, so that no host takes it", c.Version, inForce.Version),
		Remedy: fmt.Sprintf("give a version above %d", inForce.Version),
	}}
}

// Diff returns what changes if a configuration takes the place of the one in force: limits,
// services, then routes, each sorted by name.
func Diff(inForce, c *routing.Config) []Change {
	out := changedFields("limits", limitFields(&inForce.Limits), limitFields(&c.Limits))
	out = append(out, diffEntries("service", inForce.Services, c.Services, serviceFields)...)
	return append(out, diffEntries("route", routesByName(inForce), routesByName(c), routeFields)...)
}

// field is a field of an entry as text.
type field struct{ name, value string }

// diffEntries compares the entries of one kind by name.
func diffEntries[V any](kind string, before, after map[string]V, fields func(V) []field) []Change {
	var out []Change
	names := append(sortedNames(before), sortedNames(after)...)
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		entry := fmt.Sprintf("%s %q", kind, name)
		old, had := before[name]
		changed, has := after[name]
		switch {
		case !had:
			out = append(out, Change{Kind: Added, Entry: entry})
		case !has:
			out = append(out, Change{Kind: Removed, Entry: entry})
		default:
			out = append(out, changedFields(entry, fields(old), fields(changed))...)
		}
	}
	return out
}

// changedFields compares the fields of an entry, which come in the same order.
func changedFields(entry string, before, after []field) []Change {
	var out []Change
	for i := range before {
		if before[i].value != after[i].value {
			out = append(out, Change{Kind: Changed, Entry: entry, Field: before[i].name, From: before[i].value, To: after[i].value})
		}
	}
	return out
}

func routesByName(c *routing.Config) map[string]*routing.Route {
	out := make(map[string]*routing.Route, len(c.Routes))
	for i := range c.Routes {
		out[c.Routes[i].Name] = &c.Routes[i]
	}
	return out
}

func limitFields(l *routing.Limits) []field {
	return []field{
		{"header bytes", fmt.Sprint(l.HeaderBytes)},
		{"body bytes", fmt.Sprint(l.BodyBytes)},
		{"header timeout", l.HeaderTimeout.String()},
		{"idle timeout", l.IdleTimeout.String()},
	}
}

func serviceFields(s routing.Service) []field {
	return []field{{"connections", fmt.Sprint(s.MaxConnections)}}
}

func routeFields(r *routing.Route) []field {
	return []field{
		{"host", r.Host},
		{"prefix", r.Prefix},
		{"repeatable", fmt.Sprint(r.Repeatable)},
		{"timeout", r.Timeout.String()},
		{"target", r.Target.String()},
		{"attempts", fmt.Sprint(r.MaxReplicas)},
		{"services", partsText(r.Parts)},
		{"shards", fmt.Sprint(r.Shards)},
		{"records", fmt.Sprint(r.TopRecords)},
		{"least shards", fmt.Sprint(r.LeastShards)},
	}
}

// partsText returns the services of a route with their weights.
func partsText(parts []routing.WeightedService) string {
	out := ""
	for i, p := range parts {
		if i > 0 {
			out += ", "
		}
		out += fmt.Sprintf("%s %g", p.Service, p.Weight)
	}
	return out
}
