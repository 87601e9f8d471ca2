package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Bundle is a complete and validated revision. It is immutable.
type Bundle struct {
	Revision Revision
	// ManifestHash is the hash of the manifest's bytes.
	ManifestHash string
	// services and indexes are keyed by service name, endpoints by endpoint ID.
	services  map[string]*Service
	indexes   map[string]*Index
	endpoints map[string]*Endpoint
	// endpointServices maps an endpoint ID to the name of its service.
	endpointServices map[string]string
	// hashes holds the content hash of each document.
	hashes map[documentKey]string
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

// EndpointService returns the name of the service that an endpoint belongs to,
// or an empty string if the endpoint is unknown.
func (b *Bundle) EndpointService(endpoint string) string {
	if b == nil {
		return ""
	}
	return b.endpointServices[endpoint]
}

// Services returns the services by name. The map must not be modified.
func (b *Bundle) Services() map[string]*Service {
	if b == nil {
		return nil
	}
	return b.services
}

// Endpoints returns the endpoints by ID. The map must not be modified.
func (b *Bundle) Endpoints() map[string]*Endpoint {
	if b == nil {
		return nil
	}
	return b.endpoints
}

// Hash returns the content hash of an encoded document or manifest.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// ParseManifest decodes and validates a manifest.
// Errors are of type *result.Error with code 610, 611 or 616.
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
		return nil, result.FieldErrorf(result.ManifestFormat, "format", "got %d, this host supports %d", version.Format, FormatVersion)
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

// NewBundle parses and validates a manifest and its documents. documents maps a
// content hash to the encoded document. Errors are of type *result.Error with
// code 610, 611, 614, 615 or 616.
func NewBundle(manifest []byte, documents map[string][]byte) (*Bundle, error) {
	return NewBundleFrom(nil, manifest, documents)
}

// NewBundleFrom is like NewBundle, but reuses the parsed documents of previous
// whose hashes are unchanged; documents need not contain those. Sharing parsed
// documents is safe because bundles are immutable. previous may be nil.
func NewBundleFrom(previous *Bundle, manifest []byte, documents map[string][]byte) (*Bundle, error) {
	m, err := ParseManifest(manifest)
	if err != nil {
		return nil, err
	}
	b := newEmptyBundle(m, Hash(manifest))
	for _, ref := range m.Documents {
		if err := b.addDocument(previous, ref, documents[ref.Hash]); err != nil {
			return nil, err
		}
	}
	return b, b.validateReferences()
}

func newEmptyBundle(m *Manifest, hash string) *Bundle {
	return &Bundle{
		Revision:         m.Revision,
		ManifestHash:     hash,
		services:         make(map[string]*Service),
		indexes:          make(map[string]*Index),
		endpoints:        make(map[string]*Endpoint),
		endpointServices: make(map[string]string),
		hashes:           make(map[documentKey]string, len(m.Documents)),
	}
}

// HasDocument reports whether the bundle contains the document with the kind,
// name and content hash of ref.
func (b *Bundle) HasDocument(ref DocumentRef) bool {
	return b != nil && b.hashes[documentKey{ref.Kind, ref.Name}] == ref.Hash
}

// addDocument parses and adds a document, or reuses it from previous if its hash
// is unchanged.
func (b *Bundle) addDocument(previous *Bundle, ref DocumentRef, data []byte) error {
	b.hashes[documentKey{ref.Kind, ref.Name}] = ref.Hash
	if previous.HasDocument(ref) {
		return b.reuseDocument(previous, ref)
	}
	if err := CheckDocument(ref, data); err != nil {
		return err
	}
	if ref.Kind == KindService {
		return b.addService(ref, data)
	}
	return b.addIndex(ref, data)
}

func (b *Bundle) reuseDocument(previous *Bundle, ref DocumentRef) error {
	if ref.Kind == KindService {
		b.services[ref.Name] = previous.services[ref.Name]
		return nil
	}
	return b.registerIndex(previous.indexes[ref.Name])
}

// CheckDocument checks that a document does not exceed MaxValueBytes and has the
// hash of ref. It does not compare the length with ref.Size.
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
	service := &Service{}
	if err := decodeStrict(data, service); err != nil {
		return result.FieldErrorf(result.DocumentInvalid, ref.Name, "%v", err)
	}
	if service.Name != ref.Name {
		return result.FieldErrorf(result.DocumentInvalid, ref.Name, "document is for service %q", service.Name)
	}
	if err := service.validate(); err != nil {
		return err
	}
	b.services[service.Name] = service
	return nil
}

func (b *Bundle) addIndex(ref DocumentRef, data []byte) error {
	index := &Index{}
	if err := decodeStrict(data, index); err != nil {
		return result.FieldErrorf(result.DocumentInvalid, ref.Name, "%v", err)
	}
	if index.Service != ref.Name {
		return result.FieldErrorf(result.DocumentInvalid, ref.Name, "document is for service %q", index.Service)
	}
	if err := index.validate(); err != nil {
		return err
	}
	return b.registerIndex(index)
}

// registerIndex adds a validated index and its endpoints. Endpoint IDs must be
// unique across services.
func (b *Bundle) registerIndex(index *Index) error {
	b.indexes[index.Service] = index
	for i := range index.Endpoints {
		e := &index.Endpoints[i]
		if service, ok := b.endpointServices[e.ID]; ok {
			return result.FieldErrorf(result.DocumentInvalid, index.Service, "endpoint %q already belongs to service %q", e.ID, service)
		}
		b.endpoints[e.ID] = e
		b.endpointServices[e.ID] = index.Service
	}
	return nil
}

// validateReferences checks that each service has both of its documents.
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

// decodeStrict decodes a single JSON value and rejects unknown fields and
// trailing data.
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
