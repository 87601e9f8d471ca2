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

// revision is a revision in parts that a table entry may spoil.
type revision struct {
	manifest config.Manifest
	service  config.Service
	index    config.Index
	// spoil changes the encoded bytes of a document before it is hashed.
	spoil func(kind config.Kind, data []byte) []byte
	// after changes the encoded bytes after they were hashed.
	after func(kind config.Kind, data []byte) []byte
}

func newRevision() *revision {
	halves := keyrange.Split(2)
	return &revision{
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

// build encodes the revision and makes a bundle of it.
func (r *revision) build() (*config.Bundle, error) {
	documents := make(map[string][]byte)
	for kind, content := range map[config.Kind]any{config.KindService: r.service, config.KindIndex: r.index} {
		data, err := json.Marshal(content)
		Expect(err).NotTo(HaveOccurred())
		if r.spoil != nil {
			data = r.spoil(kind, data)
		}
		ref := config.DocumentRef{Kind: kind, Name: "s", Hash: config.Hash(data), Size: len(data)}
		if r.after != nil {
			data = r.after(kind, data)
		}
		documents[ref.Hash] = data
		r.manifest.Documents = append(r.manifest.Documents, ref)
	}
	manifest, err := json.Marshal(r.manifest)
	Expect(err).NotTo(HaveOccurred())
	return config.NewBundle(manifest, documents)
}

var _ = It("A whole revision becomes a bundle", func() {
	b, err := newRevision().build()
	Expect(err).NotTo(HaveOccurred())
	Expect(b.Service("s")).NotTo(BeNil())
	Expect(b.Index("s").Snapshots).To(HaveLen(1))
	Expect(b.EndpointService("e")).To(Equal("s"))
})

var _ = DescribeTable("A revision is refused whole",
	func(code result.Code, spoil func(*revision)) {
		r := newRevision()
		spoil(r)
		_, err := r.build()
		var e *result.Error
		Expect(errors.As(err, &e)).To(BeTrue())
		Expect(e.Code).To(Equal(code), e.Reason)
		Expect(e.Reason).NotTo(BeEmpty())
	},
	Entry("a newer format", result.ManifestFormat, func(r *revision) { r.manifest.Format = config.FormatVersion + 1 }),
	Entry("revision 0", result.ManifestInvalid, func(r *revision) { r.manifest.Revision = 0 }),
	Entry("a document of no kind", result.ManifestInvalid, func(r *revision) { r.manifest.Documents = []config.DocumentRef{{Name: "s", Hash: config.Hash(nil)}} }),
	Entry("a malformed hash", result.ManifestInvalid, func(r *revision) {
		r.manifest.Documents = []config.DocumentRef{{Kind: config.KindService, Name: "s", Hash: "ff"}}
	}),
	Entry("a document listed twice", result.ManifestInvalid, func(r *revision) {
		r.manifest.Documents = []config.DocumentRef{{Kind: config.KindService, Name: "s", Hash: config.Hash(nil)}}
	}),
	Entry("a document that is missing", result.DocumentHash, func(r *revision) {
		r.manifest.Documents = []config.DocumentRef{{Kind: config.KindIndex, Name: "t", Hash: config.Hash([]byte("t"))}}
	}),
	Entry("a torn document", result.DocumentHash, func(r *revision) {
		r.after = func(_ config.Kind, data []byte) []byte { return data[:len(data)/2] }
	}),
	Entry("a document over the value limit", result.DocumentTooLarge, func(r *revision) {
		r.spoil = func(_ config.Kind, data []byte) []byte {
			return append(data, strings.Repeat(" ", config.MaxValueBytes)...)
		}
	}),
	Entry("a document that was published torn", result.DocumentInvalid, func(r *revision) {
		r.spoil = func(_ config.Kind, data []byte) []byte { return data[:len(data)/2] }
	}),
	Entry("trailing data", result.DocumentInvalid, func(r *revision) {
		r.spoil = func(_ config.Kind, data []byte) []byte { return append(data, "{}"...) }
	}),
	Entry("an unknown field", result.DocumentInvalid, func(r *revision) {
		r.spoil = func(_ config.Kind, data []byte) []byte { return append([]byte(`{"colour":1,`), data[1:]...) }
	}),
	Entry("the name of another service", result.DocumentInvalid, func(r *revision) { r.service.Name = "t" }),
	Entry("the index of another service", result.DocumentInvalid, func(r *revision) { r.index.Service = "t" }),
	Entry("a newer format of a service", result.DocumentInvalid, func(r *revision) { r.service.Format++ }),
	Entry("a newer format of an index", result.DocumentInvalid, func(r *revision) { r.index.Format++ }),
	Entry("no deadline", result.DocumentInvalid, func(r *revision) { r.service.DeadlineMS = 0 }),
	Entry("a target after the deadline", result.DocumentInvalid, func(r *revision) { r.service.LatencyTargetMS = 2 }),
	Entry("an unknown preference", result.DocumentInvalid, func(r *revision) { r.service.Preference = "speed" }),
	Entry("an unknown urgency", result.DocumentInvalid, func(r *revision) { r.service.Urgency = config.UrgencyCount }),
	Entry("a negative freshness", result.DocumentInvalid, func(r *revision) { r.service.FreshSnapshots = -1 }),
	Entry("a negative hedge budget", result.DocumentInvalid, func(r *revision) { r.service.Hedge.BudgetPerMille = -1 }),
	Entry("a negative retry budget", result.DocumentInvalid, func(r *revision) { r.service.Retry.BudgetPerMille = -1 }),
	Entry("no permits for a service that is not repeatable", result.DocumentInvalid, func(r *revision) { r.service.Repeatable = false }),
	Entry("an endpoint without slots", result.DocumentInvalid, func(r *revision) { r.index.Endpoints[0].Slots = 0 }),
	Entry("an endpoint given twice", result.DocumentInvalid, func(r *revision) { r.index.Endpoints = append(r.index.Endpoints, r.index.Endpoints[0]) }),
	Entry("a shard on an unknown endpoint", result.DocumentInvalid, func(r *revision) { r.index.Snapshots[0].Shards[0].Replicas[0] = "f" }),
	Entry("a gap between shards", result.DocumentInvalid, func(r *revision) { r.index.Snapshots[0].Shards[1].Range.Start++ }),
	Entry("shards that overlap", result.DocumentInvalid, func(r *revision) { r.index.Snapshots[0].Shards[1].Range.Start-- }),
	Entry("an overlap that makes up for a gap", result.DocumentInvalid, func(r *revision) {
		r.index.Snapshots[0].Shards[1].Range.Start--
		r.index.Snapshots[0].Shards[1].Range.End--
	}),
	Entry("a range outside the key space", result.DocumentInvalid, func(r *revision) { r.index.Snapshots[0].Shards[1].Range.End++ }),
	Entry("snapshots out of order", result.DocumentInvalid, func(r *revision) { r.index.Snapshots = append(r.index.Snapshots, r.index.Snapshots[0]) }),
)
