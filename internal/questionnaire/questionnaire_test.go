package questionnaire

import (
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/strictjson"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

func TestQuestionnaire(t *testing.T) { testsuite.RunSpecs(t, "questionnaire") }

// validQuestionnaire has a service whose requests may be repeated, on line 7, and
// one of the same shape whose requests may not be repeated, on line 20.
const validQuestionnaire = `{
  "format": 1, "deployment": "Litoral", "revision": 3,
  "network": { "between_data_centres_us": 1000, "to_callers_us": 1000 },
  "data_centres": [{ "name": "Salto", "hosts": 3 }, { "name": "Fray Bentos", "hosts": 2 }],
  "callers": [{ "name": "courtrooms" }, { "name": "lawyers" }],
  "services": [
    { "name": "search", "count": 2,
      "shape": { "replicas": 3, "slots": 2, "connections": 60, "connection_cost_ms": 6,
        "shards": 12, "replicas_per_shard": 2, "shard_us": 500 },
      "addresses": { "ranges": [
        { "data_centre": "Salto", "first": "10.0.1.1:9000" },
        { "data_centre": "Fray Bentos", "first": "10.0.2.1:9000" } ] },
      "index_versions": [{ "version": 4 }, { "version": 5, "shards": 16 }],
      "urgency": "urgent", "first": "coverage", "may_be_repeated": true,
      "answer_within_ms": 50, "deadline_ms": 400, "most_documents": 100, "fresh_versions": 1,
      "extra_load": { "usual_percent": 5, "in_trouble_percent": 20 },
      "limits": { "requests_per_second": 50, "requests_at_once": 20 },
      "callers": [{ "name": "courtrooms", "requests_per_second": 50, "burst": 10, "requests_at_once": 20 }] },

    { "name": "billing", "same_shape_as": "search",
      "addresses": { "list": [
        { "data_centre": "Salto", "address": "10.0.3.1:9000" },
        { "data_centre": "Salto", "address": "10.0.3.2:9000" },
        { "data_centre": "Fray Bentos", "address": "10.0.3.3:9000" } ] },
      "index_versions": [{ "version": 1 }],
      "urgency": "normal", "first": "coverage", "may_be_repeated": false,
      "answer_within_ms": 50, "deadline_ms": 400, "most_documents": 1, "fresh_versions": 1,
      "extra_load": { "usual_percent": 0, "in_trouble_percent": 20 },
      "limits": { "requests_per_second": 50, "requests_at_once": 20 },
      "permits": { "valid_s": 60, "outcome_kept_s": 600 },
      "callers": [{ "name": "lawyers", "requests_per_second": 50, "burst": 10, "requests_at_once": 20 }] },
  ],
}
`

// expectedFault is the part of a fault that test cases specify.
type expectedFault struct {
	code  result.Code
	line  int
	field string
}

// editQuestionnaire returns the valid questionnaire with the first occurrence of
// old replaced by changed.
func editQuestionnaire(old, changed string) []byte {
	ExpectWithOffset(1, validQuestionnaire).To(ContainSubstring(old))
	return []byte(strings.Replace(validQuestionnaire, old, changed, 1))
}

func mustParse(data []byte) *Questionnaire {
	q, err := Parse("q.hujson", data)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return q
}

var _ = Describe("Parse", func() {
	DescribeTable("reports faults with file, line, field, reason and remedy",
		func(old, changed string, want ...expectedFault) {
			_, err := Parse("q.hujson", editQuestionnaire(old, changed))
			var faults strictjson.Faults
			Expect(errors.As(err, &faults)).To(BeTrue())
			got := make([]expectedFault, len(faults))
			for i, f := range faults {
				got[i] = expectedFault{f.Code, f.Line, f.Field}
				Expect(f.File).To(Equal("q.hujson"))
				Expect(f.Reason).NotTo(BeEmpty())
				Expect(f.Remedy).NotTo(BeEmpty())
			}
			Expect(got).To(Equal(want))
		},
		Entry("truncated", validQuestionnaire[len(validQuestionnaire)/2:], "", expectedFault{result.QuestionnaireSyntax, 17, ""}),
		Entry("empty", validQuestionnaire, "", expectedFault{result.QuestionnaireSyntax, 1, ""}),
		Entry("a settings file", validQuestionnaire, `{"peer_address": "127.0.0.1:1"}`,
			expectedFault{result.QuestionnaireField, 1, "peer_address"}, expectedFault{result.QuestionnaireValue, 1, "format"}),
		Entry("a binary file", validQuestionnaire, "\x89PNG\r\n\x1a\n", expectedFault{result.QuestionnaireSyntax, 1, ""}),
		Entry("a newer format", `"format": 1`, `"format": 2`, expectedFault{result.QuestionnaireValue, 2, "format"}),
		Entry("unknown field", `"may_be_repeated": true`, `"may_be_repeated": true, "retries": 3`, expectedFault{result.QuestionnaireField, 14, "services[0].retries"}),
		Entry("answer given twice", `"urgency": "urgent"`, `"urgency": "urgent", "urgency": "archive"`, expectedFault{result.QuestionnaireField, 14, "services[0].urgency"}),
		Entry("unit in a number", `"deadline_ms": 400`, `"deadline_ms": "400ms"`, expectedFault{result.QuestionnaireField, 15, "services[0].deadline_ms"}),
		Entry("wrong unit in the name of a field", `"deadline_ms": 400`, `"deadline_s": 4`,
			expectedFault{result.QuestionnaireValue, 7, "services[0].deadline_ms"}, expectedFault{result.QuestionnaireField, 15, "services[0].deadline_s"}),
		Entry("fraction", `"hosts": 3`, `"hosts": 2.5`, expectedFault{result.QuestionnaireField, 4, "data_centres[0].hosts"}),
		Entry("negative", `"hosts": 3`, `"hosts": -3`, expectedFault{result.QuestionnaireValue, 4, "data_centres[0].hosts"}),
		Entry("far out of range", `"replicas": 3`, `"replicas": 2000000000`, expectedFault{result.QuestionnaireValue, 8, "services[0].shape.replicas"}, expectedFault{result.QuestionnaireValue, 21, "services[1].addresses.list"}),
		Entry("too large for an integer", `"shards": 12`, `"shards": 1e300`, expectedFault{result.QuestionnaireField, 9, "services[0].shape.shards"}),
		Entry("count far out of range", `"count": 2`, `"count": 1000000`, expectedFault{result.QuestionnaireValue, 7, "services[0].count"}),
		Entry("percent over a hundred", `"usual_percent": 5`, `"usual_percent": 500`, expectedFault{result.QuestionnaireValue, 16, "services[0].extra_load.usual_percent"}),
		Entry("a value that is not allowed", `"first": "coverage"`, `"first": "speed"`, expectedFault{result.QuestionnaireValue, 14, "services[0].first"}),
		Entry("several faults", `"urgency": "urgent", "first": "coverage", "may_be_repeated": true,`, `"urgency": "soon", "first": 1,`,
			expectedFault{result.QuestionnaireValue, 7, "services[0].may_be_repeated"}, expectedFault{result.QuestionnaireField, 14, "services[0].first"},
			expectedFault{result.QuestionnaireValue, 14, "services[0].urgency"}),
		Entry("more replicas per shard than replicas", `"replicas_per_shard": 2`, `"replicas_per_shard": 4`, expectedFault{result.QuestionnaireValue, 9, "services[0].shape.replicas_per_shard"}),
		Entry("versions out of order", `"version": 5`, `"version": 4`, expectedFault{result.QuestionnaireValue, 13, "services[0].index_versions[1].version"}),
		Entry("permits for repeatable requests", `"may_be_repeated": false`, `"may_be_repeated": true`, expectedFault{result.QuestionnaireValue, 30, "services[1].permits"}),
		Entry("no permits for requests that are not repeatable", `"permits": { "valid_s": 60, "outcome_kept_s": 600 },`, ``, expectedFault{result.QuestionnaireValue, 20, "services[1].permits"}),
		Entry("host name as address", `"10.0.1.1:9000"`, `"endpoint:9000"`, expectedFault{result.QuestionnaireValue, 11, "services[0].addresses.ranges[0].first"}),
		Entry("address list of the wrong length", `,
        { "data_centre": "Fray Bentos", "address": "10.0.3.3:9000" }`, ``, expectedFault{result.QuestionnaireValue, 21, "services[1].addresses.list"}),
		Entry("duplicate name of a data centre", `"name": "Fray Bentos", "hosts"`, `"name": "Salto", "hosts"`,
			expectedFault{result.QuestionnaireReference, 4, "data_centres[1].name"},
			expectedFault{result.QuestionnaireReference, 12, "services[0].addresses.ranges[1].data_centre"},
			expectedFault{result.QuestionnaireReference, 24, "services[1].addresses.list[2].data_centre"}),
		Entry("duplicate name of a caller", `"name": "lawyers" }`, `"name": "courtrooms" }`,
			expectedFault{result.QuestionnaireReference, 5, "callers[1].name"}, expectedFault{result.QuestionnaireReference, 31, "services[1].callers[0].name"}),
		Entry("duplicate name of a service", `"name": "billing"`, `"name": "search-1"`, expectedFault{result.QuestionnaireReference, 20, "services[1].name"}),
		Entry("unknown caller", `[{ "name": "lawyers", "req`, `[{ "name": "judges", "req`, expectedFault{result.QuestionnaireReference, 31, "services[1].callers[0].name"}),
		Entry("shape of an unknown service", `"same_shape_as": "search"`, `"same_shape_as": "archive"`, expectedFault{result.QuestionnaireReference, 20, "services[1].same_shape_as"}),
		Entry("a service that refers to itself for its shape", `"same_shape_as": "search"`, `"same_shape_as": "billing"`, expectedFault{result.QuestionnaireReference, 20, "services[1].same_shape_as"}),
		Entry("circular shape references", `"shape": { "replicas": 3, "slots": 2, "connections": 60, "connection_cost_ms": 6,
        "shards": 12, "replicas_per_shard": 2, "shard_us": 500 }`, `"same_shape_as": "billing"
`,
			expectedFault{result.QuestionnaireReference, 8, "services[0].same_shape_as"}, expectedFault{result.QuestionnaireReference, 20, "services[1].same_shape_as"}),
		Entry("overlapping addresses", `"10.0.2.1:9000"`, `"10.0.1.2:9000"`, expectedFault{result.QuestionnaireReference, 10, "services[0].addresses"}),
		Entry("address range past the last IP address", `"10.0.1.1:9000"`, `"255.255.255.255:9000"`, expectedFault{result.QuestionnaireValue, 10, "services[0].addresses"}),
		Entry("more requests than slots", `"requests_per_second": 50, "requests_at_once": 20 },
      "callers"`, `"requests_per_second": 800, "requests_at_once": 20 },
      "callers"`, expectedFault{result.QuestionnaireCapacity, 17, "services[0].limits.requests_per_second"}),
		Entry("fewer connections than slots need", `"connections": 60`, `"connections": 3`,
			expectedFault{result.QuestionnaireCapacity, 8, "services[0].shape.connections"}, expectedFault{result.QuestionnaireCapacity, 20, "services[1].shape.connections"}),
		Entry("total size of documents too large", `"count": 2,
      "shape": { "replicas": 3, "slots": 2, "connections": 60, "connection_cost_ms": 6,
        "shards": 12, "replicas_per_shard": 2, "shard_us": 500 },
      "addresses": { "ranges": [
        { "data_centre": "Salto", "first": "10.0.1.1:9000" },
        { "data_centre": "Fray Bentos", "first": "10.0.2.1:9000" } ] },
      "index_versions": [{ "version": 4 }, { "version": 5, "shards": 16 }],`, `"count": 200,
      "shape": { "replicas": 3, "slots": 2, "connections": 60, "connection_cost_ms": 6,
        "shards": 1024, "replicas_per_shard": 3, "shard_us": 1 },
      "addresses": { "ranges": [
        { "data_centre": "Salto", "first": "10.1.1.1:9000" },
        { "data_centre": "Fray Bentos", "first": "10.2.1.1:9000" } ] },
      "index_versions": [{ "version": 4 }, { "version": 5 }],`,
			expectedFault{result.QuestionnaireCapacity, 6, "services"}),
		Entry("caller limit above the service limit", `"burst": 10, "requests_at_once": 20`, `"burst": 10, "requests_at_once": 21`,
			expectedFault{result.QuestionnaireCapacity, 18, "services[0].callers[0].requests_at_once"}),
		Entry("deadline too short for a new connection", `"connection_cost_ms": 6`, `"connection_cost_ms": 396`,
			expectedFault{result.QuestionnaireDeadline, 15, "services[0].deadline_ms"}, expectedFault{result.QuestionnaireDeadline, 27, "services[1].deadline_ms"}),
		Entry("answer time above the deadline", `"answer_within_ms": 50`, `"answer_within_ms": 500`, expectedFault{result.QuestionnaireDeadline, 15, "services[0].answer_within_ms"}),
		Entry("answer time below the expected latency", `"answer_within_ms": 50`, `"answer_within_ms": 5`, expectedFault{result.QuestionnaireDeadline, 15, "services[0].answer_within_ms"}),
	)
})

var _ = Describe("Generate", func() {
	It("derives limits per host, places replicas and creates all snapshots", func() {
		out, err := Generate(mustParse([]byte(validQuestionnaire)), 9)
		Expect(err).NotTo(HaveOccurred())
		b, err := config.NewBundle(out.Manifest, out.ByHash())
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Revision).To(Equal(config.Revision(9)))
		search := b.Service("search-2")
		Expect(search.InFlightLimit).To(Equal(4))
		Expect(search.QueueLimit).To(Equal(28))
		Expect(search.Hedge).To(Equal(config.Hedge{PercentilePerMille: 950, Max: 1, BudgetPerMille: 50}))
		Expect(b.Service("billing").Permit).To(Equal(config.Permit{LifetimeMS: 60_000, RetentionMS: 600_000, Limit: 6600}))
		Expect(b.Service("billing").Hedge.Max).To(BeZero())
		index := b.Index("search-2")
		Expect(index.Snapshots).To(HaveLen(2))
		Expect(index.Snapshots[1].Shards).To(HaveLen(16))
		Expect([]string{index.Endpoints[0].Address, index.Endpoints[1].Address, index.Endpoints[2].Address}).
			To(Equal([]string{"10.0.2.2:9000", "10.0.1.3:9000", "10.0.2.3:9000"}))
		Expect(index.Snapshots[0].Shards[0].Replicas).To(Equal([]string{"search-2.1", "search-2.2"}))
		Expect(index.Snapshots[0].Shards[2].Replicas).To(Equal([]string{"search-2.3", "search-2.2"}))
	})
})

var _ = Describe("Explain", func() {
	It("explains every setting of the service documents", func() {
		q := mustParse([]byte(validQuestionnaire))
		explained := make(map[string]bool)
		for _, e := range Explain(q) {
			explained[e.Setting] = true
			Expect(e.Why).NotTo(BeEmpty())
		}
		var tree map[string]any
		Expect(json.Unmarshal(marshal(q.deriveService(&q.Services[1], "billing")), &tree)).To(Succeed())
		settings := make(map[string]string)
		flattenValue("service", tree, settings)
		for setting := range settings {
			Expect(explained).To(HaveKey(strings.Replace(setting, "[lawyers]", "[0]", 1)))
		}
	})
})

var _ = Describe("Diff", func() {
	DescribeTable("lists the changed answers and the risks",
		func(old, changed string, fields, risks []string) {
			before := mustParse([]byte(validQuestionnaire))
			after := mustParse([]byte(strings.Replace(string(editQuestionnaire(old, changed)), `"revision": 3`, `"revision": 4`, 1)))
			d := Diff(before, after)
			var got []string
			for _, c := range d.Changes {
				Expect(c.Old).NotTo(Equal(c.New))
				got = append(got, c.Field)
			}
			Expect(got).To(Equal(append([]string{"revision"}, fields...)))
			ownRiskCount := len(Risks(after))
			got = nil
			for _, r := range d.Risks[:len(d.Risks)-ownRiskCount] {
				got = append(got, r.Field)
			}
			Expect(got).To(Equal(risks))
		},
		Entry("only the revision", `"usual_percent": 5`, `"usual_percent": 5`, nil, nil),
		Entry("a raised limit", `"requests_at_once": 20 },
      "callers"`, `"requests_at_once": 30 },
      "callers"`, []string{"services[search].limits.requests_at_once"}, nil),
		Entry("a lowered limit of a caller", `"burst": 10`, `"burst": 9`,
			[]string{"services[search].callers[courtrooms].burst"}, []string{"search.callers[courtrooms]"}),
		Entry("a lowered deadline", `"deadline_ms": 400`, `"deadline_ms": 300`, []string{"services[search].deadline_ms"}, []string{"search.deadline_ms"}),
		Entry("removal of the newest version", `, { "version": 5, "shards": 16 }`, ``,
			[]string{"services[search].index_versions[5].shards", "services[search].index_versions[5].version"}, []string{"search.index_versions"}),
		Entry("a smaller group", `"count": 2`, `"count": 1`, []string{"services[search].count"}, []string{"search.count"}),
	)

	It("reports a revision that is not higher, and the risks of the new revision", func() {
		q := mustParse(editQuestionnaire(`"Fray Bentos", "address"`, `"Salto", "address"`))
		d := Diff(q, q)
		Expect(d.Changes).To(BeEmpty())
		Expect(d.Risks).To(ContainElements(
			HaveField("Field", "revision"),
			HaveField("Reason", "all replicas of shard 0 of billing are in Salto"),
		))
		fewConnections := mustParse(editQuestionnaire(`"connections": 60`, `"connections": 9`))
		Expect(Risks(fewConnections)).To(ContainElement(HaveField("Field", "search.shape.connections")))
	})
})

var _ = Describe("Schema", func() {
	It("matches the committed file", func() {
		committed, err := os.ReadFile("../../docs/questionnaire.schema.json")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(committed)).To(Equal(string(Schema())))
	})
})
