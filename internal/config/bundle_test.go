package config_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

func TestConfig(t *testing.T) { testsuite.RunSpecs(t, "config") }

// revisionFixture is a valid revision that test cases modify before it is
// encoded. The hooks, if set, modify the encoded documents.
type revisionFixture struct {
	manifest config.Manifest
	service  config.Service
	index    config.Index
	// corruptBeforeHash runs before the hash is computed, so that the manifest
	// matches the corrupted document.
	corruptBeforeHash func(kind config.Kind, data []byte) []byte
	// corruptAfterHash runs after the hash is computed, so that the document does
	// not match the manifest.
	corruptAfterHash func(kind config.Kind, data []byte) []byte
}

func newRevisionFixture() *revisionFixture {
	halves := keyrange.Split(2)
	return &revisionFixture{
		manifest: config.Manifest{Format: config.FormatVersion, Revision: 1},
		service: config.Service{
			Format: config.FormatVersion, Name: "s", Preference: config.PreferLatency, Repeatable: true,
			LatencyTargetMS: 1, DeadlineMS: 1, MaxHits: 1, InFlightLimit: 1,
		},
		index: config.Index{
			Format: config.FormatVersion, Service: "s",
			Endpoints: []config.Endpoint{{ID: "e", Address: "127.0.0.1:1", Slots: 1, MaxConnections: 1}},
			Snapshots: []config.Snapshot{{ID: 1, Shards: []config.Shard{{halves[0], []string{"e"}}, {halves[1], []string{"e"}}}}},
		},
	}
}

// build encodes the revision and parses it into a bundle.
func (r *revisionFixture) build() (*config.Bundle, error) {
	documents := make(map[string][]byte)
	for kind, content := range map[config.Kind]any{config.KindService: r.service, config.KindIndex: r.index} {
		data, err := json.Marshal(content)
		Expect(err).NotTo(HaveOccurred())
		if r.corruptBeforeHash != nil {
			data = r.corruptBeforeHash(kind, data)
		}
		ref := config.DocumentRef{Kind: kind, Name: "s", Hash: config.Hash(data), Size: len(data)}
		if r.corruptAfterHash != nil {
			data = r.corruptAfterHash(kind, data)
		}
		documents[ref.Hash] = data
		r.manifest.Documents = append(r.manifest.Documents, ref)
	}
	manifest, err := json.Marshal(r.manifest)
	Expect(err).NotTo(HaveOccurred())
	return config.NewBundle(manifest, documents)
}

var _ = It("Parses a complete revision into a bundle", func() {
	b, err := newRevisionFixture().build()
	Expect(err).NotTo(HaveOccurred())
	Expect(b.Service("s")).NotTo(BeNil())
	Expect(b.Index("s").Snapshots).To(HaveLen(1))
	Expect(b.EndpointService("e")).To(Equal("s"))
})

var _ = DescribeTable("Rejects an invalid revision",
	func(code result.Code, modify func(*revisionFixture)) {
		r := newRevisionFixture()
		modify(r)
		_, err := r.build()
		var e *result.Error
		Expect(errors.As(err, &e)).To(BeTrue())
		Expect(e.Code).To(Equal(code), e.Reason)
		Expect(e.Reason).NotTo(BeEmpty())
	},
	Entry("a newer format", result.ManifestFormat, func(r *revisionFixture) { r.manifest.Format = config.FormatVersion + 1 }),
	Entry("revision 0", result.ManifestInvalid, func(r *revisionFixture) { r.manifest.Revision = 0 }),
	Entry("a document without a kind", result.ManifestInvalid, func(r *revisionFixture) {
		r.manifest.Documents = []config.DocumentRef{{Name: "s", Hash: config.Hash(nil)}}
	}),
	Entry("a malformed hash", result.ManifestInvalid, func(r *revisionFixture) {
		r.manifest.Documents = []config.DocumentRef{{Kind: config.KindService, Name: "s", Hash: "ff"}}
	}),
	Entry("a document listed twice", result.ManifestInvalid, func(r *revisionFixture) {
		r.manifest.Documents = []config.DocumentRef{{Kind: config.KindService, Name: "s", Hash: config.Hash(nil)}}
	}),
	Entry("a missing document", result.DocumentHash, func(r *revisionFixture) {
		r.manifest.Documents = []config.DocumentRef{{Kind: config.KindIndex, Name: "t", Hash: config.Hash([]byte("t"))}}
	}),
	Entry("a truncated document", result.DocumentHash, func(r *revisionFixture) {
		r.corruptAfterHash = func(_ config.Kind, data []byte) []byte { return data[:len(data)/2] }
	}),
	Entry("a document over the value limit", result.DocumentTooLarge, func(r *revisionFixture) {
		r.corruptBeforeHash = func(_ config.Kind, data []byte) []byte {
			return append(data, strings.Repeat(" ", config.MaxValueBytes)...)
		}
	}),
	Entry("a document that was truncated before it was published", result.DocumentInvalid, func(r *revisionFixture) {
		r.corruptBeforeHash = func(_ config.Kind, data []byte) []byte { return data[:len(data)/2] }
	}),
	Entry("trailing data", result.DocumentInvalid, func(r *revisionFixture) {
		r.corruptBeforeHash = func(_ config.Kind, data []byte) []byte { return append(data, "{}"...) }
	}),
	Entry("an unknown field", result.DocumentInvalid, func(r *revisionFixture) {
		r.corruptBeforeHash = func(_ config.Kind, data []byte) []byte { return append([]byte(`{"colour":1,`), data[1:]...) }
	}),
	Entry("the name of another service", result.DocumentInvalid, func(r *revisionFixture) { r.service.Name = "t" }),
	Entry("the index of another service", result.DocumentInvalid, func(r *revisionFixture) { r.index.Service = "t" }),
	Entry("a newer format of a service", result.DocumentInvalid, func(r *revisionFixture) { r.service.Format++ }),
	Entry("a newer format of an index", result.DocumentInvalid, func(r *revisionFixture) { r.index.Format++ }),
	Entry("a deadline of zero", result.DocumentInvalid, func(r *revisionFixture) { r.service.DeadlineMS = 0 }),
	Entry("a latency target above the deadline", result.DocumentInvalid, func(r *revisionFixture) { r.service.LatencyTargetMS = 2 }),
	Entry("an unknown preference", result.DocumentInvalid, func(r *revisionFixture) { r.service.Preference = "speed" }),
	Entry("an unknown urgency", result.DocumentInvalid, func(r *revisionFixture) { r.service.Urgency = config.UrgencyCount }),
	Entry("a negative number of fresh snapshots", result.DocumentInvalid, func(r *revisionFixture) { r.service.FreshSnapshots = -1 }),
	Entry("a negative hedge budget", result.DocumentInvalid, func(r *revisionFixture) { r.service.Hedge.BudgetPerMille = -1 }),
	Entry("a negative retry budget", result.DocumentInvalid, func(r *revisionFixture) { r.service.Retry.BudgetPerMille = -1 }),
	Entry("a service that is not repeatable and has no permit limits", result.DocumentInvalid, func(r *revisionFixture) { r.service.Repeatable = false }),
	Entry("an endpoint without slots", result.DocumentInvalid, func(r *revisionFixture) { r.index.Endpoints[0].Slots = 0 }),
	Entry("a duplicate endpoint", result.DocumentInvalid, func(r *revisionFixture) { r.index.Endpoints = append(r.index.Endpoints, r.index.Endpoints[0]) }),
	Entry("a shard with an unknown replica", result.DocumentInvalid, func(r *revisionFixture) { r.index.Snapshots[0].Shards[0].Replicas[0] = "f" }),
	Entry("a gap between shards", result.DocumentInvalid, func(r *revisionFixture) { r.index.Snapshots[0].Shards[1].Range.Start++ }),
	Entry("shards that overlap", result.DocumentInvalid, func(r *revisionFixture) { r.index.Snapshots[0].Shards[1].Range.Start-- }),
	Entry("an overlap and a gap of the same size", result.DocumentInvalid, func(r *revisionFixture) {
		r.index.Snapshots[0].Shards[1].Range.Start--
		r.index.Snapshots[0].Shards[1].Range.End--
	}),
	Entry("a range outside the key space", result.DocumentInvalid, func(r *revisionFixture) { r.index.Snapshots[0].Shards[1].Range.End++ }),
	Entry("snapshots out of order", result.DocumentInvalid, func(r *revisionFixture) { r.index.Snapshots = append(r.index.Snapshots, r.index.Snapshots[0]) }),
)
