package questionnaire

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// Change is an answer that differs between two revisions. Old is empty if the
// answer was added, and New is empty if it was removed.
type Change struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// Difference holds the changes between two revisions and their risks.
type Difference struct {
	Changes []Change `json:"changes"`
	Risks   []Risk   `json:"risks"`
}

// Diff compares two questionnaires returned by Parse. List entries are matched by
// name, endpoints by address, index versions by number and address ranges by
// position. The risks of the change are followed by the risks that the new revision
// has by itself.
func Diff(before, after *Questionnaire) Difference {
	d := Difference{Changes: diffAnswers(before, after)}
	if after.Revision <= before.Revision {
		d.Risks = append(d.Risks, Risk{"revision", fmt.Sprintf("%d is not higher than %d", after.Revision, before.Revision), "hosts refuse it; number it higher"})
	}
	for i := range before.Services {
		d.Risks = append(d.Risks, changeRisks(&before.Services[i], after)...)
	}
	d.Risks = append(d.Risks, Risks(after)...)
	return d
}

func diffAnswers(before, after *Questionnaire) []Change {
	oldAnswers, newAnswers := flatten(before), flatten(after)
	var changes []Change
	for field, v := range newAnswers {
		if old, ok := oldAnswers[field]; !ok || old != v {
			changes = append(changes, Change{Field: field, Old: old, New: v})
		}
	}
	for field, v := range oldAnswers {
		if _, ok := newAnswers[field]; !ok {
			changes = append(changes, Change{Field: field, Old: v})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Field, b.Field) })
	return changes
}

// flatten returns the answers by the path of their JSON field.
func flatten(q *Questionnaire) map[string]string {
	var tree any
	if err := json.Unmarshal(marshal(q), &tree); err != nil {
		panic(err)
	}
	answers := make(map[string]string)
	flattenValue("", tree, answers)
	return answers
}

func flattenValue(path string, v any, answers map[string]string) {
	switch v := v.(type) {
	case map[string]any:
		for name, member := range v {
			flattenValue(joinPath(path, name), member, answers)
		}
	case []any:
		for i, e := range v {
			flattenValue(fmt.Sprintf("%s[%s]", path, entryKey(e, i)), e, answers)
		}
	default:
		answers[path] = fmt.Sprint(v)
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// entryKey returns the value that identifies an entry within its list: its name,
// address or version, or else its position.
func entryKey(entry any, i int) string {
	object, _ := entry.(map[string]any)
	for _, field := range []string{"name", "address", "version"} {
		if v, ok := object[field]; ok {
			return fmt.Sprint(v)
		}
	}
	return fmt.Sprint(i)
}

// changeRisks returns the risks that the changes to a service or group have for its
// current callers.
func changeRisks(old *Service, after *Questionnaire) []Risk {
	i := slices.IndexFunc(after.Services, func(s Service) bool { return s.Name == old.Name })
	if i < 0 {
		return []Risk{{old.Name, "the service is removed", "its callers are refused; take it out of use first"}}
	}
	updated := &after.Services[i]
	var risks []Risk
	warnIfLowered := func(field string, before, now int, remedy string) {
		if now < before {
			risks = append(risks, Risk{old.fieldPath(field), fmt.Sprintf("cut from %d to %d", before, now), remedy})
		}
	}
	limitRemedy := "requests above it are refused; compare it with what is in use, in the admin API's counters"
	warnIfLowered("count", old.Count, updated.Count, "the last services of the group are removed")
	warnIfLowered("limits.requests_per_second", old.Limits.RequestsPerSecond, updated.Limits.RequestsPerSecond, limitRemedy)
	warnIfLowered("limits.requests_at_once", old.Limits.RequestsAtOnce, updated.Limits.RequestsAtOnce, limitRemedy)
	warnIfLowered("deadline_ms", old.DeadlineMS, updated.DeadlineMS, "slow answers that were in time are not any more")
	warnIfLowered("most_documents", old.MostDocuments, updated.MostDocuments, "longer answers are cut, and say so")
	warnIfLowered("shape.replicas", old.Shape.Replicas, updated.Shape.Replicas, "let the endpoints drain before they are switched off")
	warnIfLowered("shape.connections", old.Shape.Connections, updated.Shape.Connections, "hosts close connections above their share when they are idle")
	if old.MayBeRepeated != updated.MayBeRepeated {
		risks = append(risks, Risk{old.fieldPath("may_be_repeated"), "callers must use the other operation from now on", "tell the callers first"})
	}
	for _, caller := range old.Callers {
		risks = append(risks, callerRisks(old, updated, caller, limitRemedy)...)
	}
	return append(risks, versionRisks(old, updated)...)
}

func callerRisks(old, updated *Service, oldUse CallerUse, limitRemedy string) []Risk {
	i := slices.IndexFunc(updated.Callers, func(u CallerUse) bool { return u.Name == oldUse.Name })
	field := fmt.Sprintf("%s.callers[%s]", old.Name, oldUse.Name)
	if i < 0 {
		return []Risk{{field, "the caller is removed", "its requests are refused"}}
	}
	newUse := updated.Callers[i]
	if newUse.RequestsPerSecond < oldUse.RequestsPerSecond || newUse.RequestsAtOnce < oldUse.RequestsAtOnce || newUse.Burst < oldUse.Burst {
		return []Risk{{field, "its limits are cut", limitRemedy}}
	}
	return nil
}

func versionRisks(old, updated *Service) []Risk {
	newest := old.IndexVersions[len(old.IndexVersions)-1].Version
	if slices.ContainsFunc(updated.IndexVersions, func(v Version) bool { return v.Version == newest }) {
		return nil
	}
	return []Risk{{old.fieldPath("index_versions"), fmt.Sprintf("version %d is removed", newest), "endpoints that hold only it have nothing to search; list both until all hold the next"}}
}
