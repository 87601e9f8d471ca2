package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"

	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Bundle is a whole, valid revision. It is immutable.
type Bundle struct {
	Revision Revision
	// ManifestHash is the hash of the manifest's bytes.
	ManifestHash string
	services     map[string]*Service
	indexes      map[string]*Index
	endpoints    map[string]*Endpoint
	owners       map[string]string
	hashes       map[documentKey]string
}

// documentKey identifies a document of a manifest.
type documentKey struct {
	kind Kind
	name string
}

// Service returns the service named name, or nil.
func (b *Bundle) Service(name string) *Service {
	if b == nil {
		return nil
	}
	return b.services[name]
}

// Index returns the index of the service named name, or nil.
func (b *Bundle) Index(name string) *Index {
	if b == nil {
		return nil
	}
	return b.indexes[name]
}

// Endpoint returns the endpoint with the given ID, or nil.
func (b *Bundle) Endpoint(id string) *Endpoint {
	if b == nil {
		return nil
	}
	return b.endpoints[id]
}

// Owner returns the name of the service that the endpoint belongs to.
func (b *Bundle) Owner(endpoint string) string {
	if b == nil {
		return ""
	}
	return b.owners[endpoint]
}

// Services returns the services by name. Callers must not modify it.
func (b *Bundle) Services() map[string]*Service {
	if b == nil {
		return nil
	}
	return b.services
}

// Endpoints returns the endpoints by ID. Callers must not modify it.
func (b *Bundle) Endpoints() map[string]*Endpoint {
	if b == nil {
		return nil
	}
	return b.endpoints
}

// Hash returns the content hash of a document's or manifest's bytes.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// ParseManifest decodes and validates a manifest.
// Errors are *result.Error with code 610, 611 or 616.
func ParseManifest(data []byte) (*Manifest, error) {
	if len(data) > MaxValueBytes {
		return nil, result.Errorf(result.DocumentTooLarge, "manifest has %d bytes, at most %d are allowed", len(data), MaxValueBytes)
	}
	var version struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(data, &version); err != nil {
		return nil, result.Errorf(result.ManifestInvalid, "%v", err)
	}
	if version.Format != FormatVersion {
		return nil, result.FieldErrorf(result.ManifestFormat, "format", "got %d, this host reads %d", version.Format, FormatVersion)
	}
	m := &Manifest{}
	if err := decodeStrict(data, m); err != nil {
		return nil, result.Errorf(result.ManifestInvalid, "%v", err)
	}
	return m, m.validate()
}

func (m *Manifest) validate() error {
	if m.Revision == 0 {
		return result.FieldErrorf(result.ManifestInvalid, "revision", "must be at least 1")
	}
	if len(m.Documents) > MaxDocuments {
		return result.FieldErrorf(result.ManifestInvalid, "documents", "has %d entries, at most %d are allowed", len(m.Documents), MaxDocuments)
	}
	seen := make(map[DocumentRef]bool, len(m.Documents))
	for _, d := range m.Documents {
		key := DocumentRef{Kind: d.Kind, Name: d.Name}
		if d.Name == "" || len(d.Hash) != 2*sha256.Size || (d.Kind != KindService && d.Kind != KindIndex) {
			return result.FieldErrorf(result.ManifestInvalid, "documents", "entry %q is malformed", d.Name)
		}
		if seen[key] {
			return result.FieldErrorf(result.ManifestInvalid, "documents", "%s %q is listed twice", d.Kind, d.Name)
		}
		seen[key] = true
	}
	return nil
}

// NewBundle builds the bundle of a manifest. documents maps a hash to the
// document's bytes. Errors are *result.Error with code 610, 614, 615 or 616.
func NewBundle(manifest []byte, documents map[string][]byte) (*Bundle, error) {
	return NewBundleFrom(nil, manifest, documents)
}

// NewBundleFrom is NewBundle, but takes over the parsed documents of previous
// whose hash is unchanged; their bytes need not be in documents. Sharing them is
// safe since bundles are immutable. previous may be nil.
func NewBundleFrom(previous *Bundle, manifest []byte, documents map[string][]byte) (*Bundle, error) {
	m, err := ParseManifest(manifest)
	if err != nil {
		return nil, err
	}
	b := newBundle(m, Hash(manifest))
	for _, ref := range m.Documents {
		if err := b.add(previous, ref, documents[ref.Hash]); err != nil {
			return nil, err
		}
	}
	return b, b.validateReferences()
}

func newBundle(m *Manifest, hash string) *Bundle {
	return &Bundle{
		Revision:     m.Revision,
		ManifestHash: hash,
		services:     make(map[string]*Service),
		indexes:      make(map[string]*Index),
		endpoints:    make(map[string]*Endpoint),
		owners:       make(map[string]string),
		hashes:       make(map[documentKey]string, len(m.Documents)),
	}
}

// Holds reports whether the bundle has parsed the document that ref names.
func (b *Bundle) Holds(ref DocumentRef) bool {
	return b != nil && b.hashes[documentKey{ref.Kind, ref.Name}] == ref.Hash
}

func (b *Bundle) add(previous *Bundle, ref DocumentRef, data []byte) error {
	b.hashes[documentKey{ref.Kind, ref.Name}] = ref.Hash
	if previous.Holds(ref) {
		return b.reuse(previous, ref)
	}
	if err := CheckDocument(ref, data); err != nil {
		return err
	}
	if ref.Kind == KindService {
		return b.addService(ref, data)
	}
	return b.addIndex(ref, data)
}

func (b *Bundle) reuse(previous *Bundle, ref DocumentRef) error {
	if ref.Kind == KindService {
		b.services[ref.Name] = previous.services[ref.Name]
		return nil
	}
	return b.register(previous.indexes[ref.Name])
}

// CheckDocument verifies the size and hash of a document.
func CheckDocument(ref DocumentRef, data []byte) error {
	if len(data) > MaxValueBytes {
		return result.FieldErrorf(result.DocumentTooLarge, ref.Name, "has %d bytes, at most %d are allowed", len(data), MaxValueBytes)
	}
	if Hash(data) != ref.Hash {
		return result.FieldErrorf(result.DocumentHash, ref.Name, "content does not match hash %s", ref.Hash)
	}
	return nil
}

func (b *Bundle) addService(ref DocumentRef, data []byte) error {
	s := &Service{}
	if err := decodeStrict(data, s); err != nil {
		return result.FieldErrorf(result.DocumentInvalid, ref.Name, "%v", err)
	}
	if s.Name != ref.Name {
		return result.FieldErrorf(result.DocumentInvalid, ref.Name, "document names service %q", s.Name)
	}
	if err := s.validate(); err != nil {
		return err
	}
	b.services[s.Name] = s
	return nil
}

func (b *Bundle) addIndex(ref DocumentRef, data []byte) error {
	x := &Index{}
	if err := decodeStrict(data, x); err != nil {
		return result.FieldErrorf(result.DocumentInvalid, ref.Name, "%v", err)
	}
	if x.Service != ref.Name {
		return result.FieldErrorf(result.DocumentInvalid, ref.Name, "document names service %q", x.Service)
	}
	if err := x.validate(); err != nil {
		return err
	}
	return b.register(x)
}

// register adds a valid index and its endpoints.
func (b *Bundle) register(x *Index) error {
	b.indexes[x.Service] = x
	for i := range x.Endpoints {
		e := &x.Endpoints[i]
		if owner, ok := b.owners[e.ID]; ok {
			return result.FieldErrorf(result.DocumentInvalid, x.Service, "endpoint %q belongs to service %q already", e.ID, owner)
		}
		b.endpoints[e.ID] = e
		b.owners[e.ID] = x.Service
	}
	return nil
}

func (b *Bundle) validateReferences() error {
	for name := range b.services {
		if b.indexes[name] == nil {
			return result.FieldErrorf(result.DocumentInvalid, name, "service has no index document")
		}
	}
	for name := range b.indexes {
		if b.services[name] == nil {
			return result.FieldErrorf(result.DocumentInvalid, name, "index has no service document")
		}
	}
	return nil
}

func (s *Service) validate() error {
	invalid := func(field string, v int) error {
		return result.FieldErrorf(result.DocumentInvalid, s.Name+"."+field, "value %d is out of range", v)
	}
	switch {
	case s.Format != FormatVersion:
		return invalid("format", s.Format)
	case s.Urgency >= UrgencyCount:
		return invalid("urgency", int(s.Urgency))
	case s.Preference != PreferLatency && s.Preference != PreferCoverage:
		return result.FieldErrorf(result.DocumentInvalid, s.Name+".preference", "got %q, want latency or coverage", s.Preference)
	case s.DeadlineMS < 1:
		return invalid("deadline_ms", s.DeadlineMS)
	case s.LatencyTargetMS < 1 || s.LatencyTargetMS > s.DeadlineMS:
		return invalid("latency_target_ms", s.LatencyTargetMS)
	case s.MaxHits < 1:
		return invalid("max_hits", s.MaxHits)
	case s.FreshSnapshots < 0:
		return invalid("fresh_snapshots", s.FreshSnapshots)
	case s.QueueLimit < 0:
		return invalid("queue_limit", s.QueueLimit)
	case s.InFlightLimit < 1:
		return invalid("in_flight_limit", s.InFlightLimit)
	case s.Hedge.PercentilePerMille < 0 || s.Hedge.PercentilePerMille > 1000:
		return invalid("hedge.percentile_per_mille", s.Hedge.PercentilePerMille)
	case s.Hedge.Max < 0 || s.Hedge.BudgetPerMille < 0:
		return invalid("hedge.budget_per_mille", s.Hedge.BudgetPerMille)
	case s.Retry.Max < 0 || s.Retry.BudgetPerMille < 0:
		return invalid("retry.budget_per_mille", s.Retry.BudgetPerMille)
	case !s.Repeatable && (s.Permit.LifetimeMS < 1 || s.Permit.RetentionMS < 1 || s.Permit.Limit < 1):
		return invalid("permit.lifetime_ms", s.Permit.LifetimeMS)
	}
	return nil
}

func (x *Index) validate() error {
	invalid := func(field, reason string) error {
		return result.FieldErrorf(result.DocumentInvalid, x.Service+"."+field, "%s", reason)
	}
	if x.Format != FormatVersion {
		return invalid("format", "unknown format")
	}
	known := make(map[string]bool, len(x.Endpoints))
	for _, e := range x.Endpoints {
		if e.ID == "" || e.Address == "" || e.Slots < 1 || e.MaxConnections < 1 || e.ConnectCostMS < 0 || known[e.ID] {
			return invalid("endpoints", "entry "+e.ID+" is malformed or given twice")
		}
		known[e.ID] = true
	}
	var last uint64
	for _, s := range x.Snapshots {
		if s.ID <= last {
			return invalid("snapshots", "IDs must ascend from 1")
		}
		last = s.ID
		if err := s.validate(known); err != "" {
			return invalid("snapshots", err)
		}
	}
	return nil
}

func (s *Snapshot) validate(known map[string]bool) string {
	var total uint64
	ranges := make([]keyrange.Range, 0, len(s.Shards))
	for _, sh := range s.Shards {
		if !sh.Range.Valid() {
			return "shard range " + sh.Range.String() + " is invalid"
		}
		total += uint64(sh.Range.End - sh.Range.Start)
		ranges = append(ranges, sh.Range)
		for _, id := range sh.Replicas {
			if !known[id] {
				return "shard names unknown endpoint " + id
			}
		}
	}
	if total != uint64(keyrange.End) || keyrange.Size(ranges) != total {
		return "shards must cover the key space without overlap"
	}
	return ""
}

func decodeStrict(data []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("trailing data after the document")
	}
	return nil
}
