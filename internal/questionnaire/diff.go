package questionnaire

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// Change is one answer that differs between two revisions. Old or New is empty
// if the answer was added or removed.
type Change struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// Difference is what a revision changes and what that risks.
type Difference struct {
	Changes []Change `json:"changes"`
	Risks   []Risk   `json:"risks"`
}

// Diff compares two questionnaires that Parse accepted. Entries of lists are
// matched by name, endpoints by address and index versions by number. The risks
// are those of the change, followed by those that the new revision has on its
// own.
func Diff(before, after *Questionnaire) Difference {
	d := Difference{Changes: changes(before, after)}
	if after.Revision <= before.Revision {
		d.Risks = append(d.Risks, Risk{"revision", fmt.Sprintf("%d is not higher than %d", after.Revision, before.Revision), "hosts refuse it; number it higher"})
	}
	for i := range before.Services {
		d.Risks = append(d.Risks, changeRisks(&before.Services[i], after)...)
	}
	d.Risks = append(d.Risks, Risks(after)...)
	return d
}

func changes(before, after *Questionnaire) []Change {
	was, is := flatten(before), flatten(after)
	var out []Change
	for field, v := range is {
		if old, ok := was[field]; !ok || old != v {
			out = append(out, Change{Field: field, Old: old, New: v})
		}
	}
	for field, v := range was {
		if _, ok := is[field]; !ok {
			out = append(out, Change{Field: field, Old: v})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Field, b.Field) })
	return out
}

// flatten returns every answer in JSON by the path of its field.
func flatten(q *Questionnaire) map[string]string {
	var tree any
	if err := json.Unmarshal(marshal(q), &tree); err != nil {
		panic(err)
	}
	out := make(map[string]string)
	flattenValue("", tree, out)
	return out
}

func flattenValue(path string, v any, out map[string]string) {
	switch v := v.(type) {
	case map[string]any:
		for name, member := range v {
			flattenValue(joinPath(path, name), member, out)
		}
	case []any:
		for i, e := range v {
			flattenValue(fmt.Sprintf("%s[%s]", path, identity(e, i)), e, out)
		}
	default:
		out[path] = fmt.Sprint(v)
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// identity returns what tells an entry of a list from the others.
func identity(entry any, i int) string {
	object, _ := entry.(map[string]any)
	for _, field := range []string{"name", "address", "version"} {
		if v, ok := object[field]; ok {
			return fmt.Sprint(v)
		}
	}
	return fmt.Sprint(i)
}

// changeRisks tells what running callers of a service may notice.
func changeRisks(was *Service, after *Questionnaire) []Risk {
	at := slices.IndexFunc(after.Services, func(s Service) bool { return s.Name == was.Name })
	if at < 0 {
		return []Risk{{was.Name, "the service is removed", "its callers are refused; take it out of use first"}}
	}
	is := &after.Services[at]
	var out []Risk
	cut := func(field string, before, now int, remedy string) {
		if now < before {
			out = append(out, Risk{was.field(field), fmt.Sprintf("cut from %d to %d", before, now), remedy})
		}
	}
	inUse := "requests above it are refused; compare it with what is in use, in the admin API's counters"
	cut("count", was.Count, is.Count, "the last services of the group are removed")
	cut("limits.requests_per_second", was.Limits.RequestsPerSecond, is.Limits.RequestsPerSecond, inUse)
	cut("limits.requests_at_once", was.Limits.RequestsAtOnce, is.Limits.RequestsAtOnce, inUse)
	cut("deadline_ms", was.DeadlineMS, is.DeadlineMS, "slow answers that were in time are not any more")
	cut("most_documents", was.MostDocuments, is.MostDocuments, "longer answers are cut, and say so")
	cut("shape.replicas", was.Shape.Replicas, is.Shape.Replicas, "let the endpoints drain before they are switched off")
	cut("shape.connections", was.Shape.Connections, is.Shape.Connections, "hosts close connections above their share when they are idle")
	if was.MayBeRepeated != is.MayBeRepeated {
		out = append(out, Risk{was.field("may_be_repeated"), "callers must use the other operation from now on", "tell the callers first"})
	}
	for _, u := range was.Callers {
		out = append(out, callerRisks(was, is, u, inUse)...)
	}
	return append(out, versionRisks(was, is)...)
}

func callerRisks(was, is *Service, u CallerUse, inUse string) []Risk {
	at := slices.IndexFunc(is.Callers, func(n CallerUse) bool { return n.Name == u.Name })
	field := fmt.Sprintf("%s.callers[%s]", was.Name, u.Name)
	if at < 0 {
		return []Risk{{field, "the caller is removed", "its requests are refused"}}
	}
	n := is.Callers[at]
	if n.RequestsPerSecond < u.RequestsPerSecond || n.RequestsAtOnce < u.RequestsAtOnce || n.Burst < u.Burst {
		return []Risk{{field, "its limits are cut", inUse}}
	}
	return nil
}

func versionRisks(was, is *Service) []Risk {
	newest := was.IndexVersions[len(was.IndexVersions)-1].Version
	if slices.ContainsFunc(is.IndexVersions, func(v Version) bool { return v.Version == newest }) {
		return nil
	}
	return []Risk{{was.field("index_versions"), fmt.Sprintf("version %d is removed", newest), "endpoints that hold only it have nothing to search; list both until all hold the next"}}
}
