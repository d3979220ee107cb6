// Package configdelta sends numbered configuration documents from replicas to entries: as the
// difference from the document that an entry holds, or in parts. Store is the replica's side and
// Client the entry's; both are safe for concurrent use.
package configdelta

import (
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/twitchtv/twirp"

	"waxwingcart/internal/core/docdiff"
	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/state"
	"waxwingcart/internal/wire"
)

const (
	// maxVersions and maxVersionBytes bound the documents that a replica keeps as bases of deltas.
	maxVersions     = 64
	maxVersionBytes = 16 << 20
	// partBytes is the length of a part of a document: 0.27 s on a link of 7.5 Mbit/s.
	partBytes = 256 << 10
	// inlineBytes is the longest document that is sent at once to a caller that holds none. Such a
	// caller may ask several replicas.
	inlineBytes = 16 << 10
)

// Kinds of what is sent or received of a document, as values of a metric's label.
const (
	kindDelta  = "delta"
	kindWhole  = "whole"
	kindPart   = "part"
	kindNamed  = "named"
	kindOlder  = "older-protocol"
	kindFailed = "failed"
)

// counters counts documents and their bytes by kind.
type counters struct{ documents, bytes *prometheus.CounterVec }

func newCounters(registry prometheus.Registerer, subsystem, verb string) counters {
	vec := func(name, help string) *prometheus.CounterVec {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "waxwingcart", Subsystem: subsystem, Name: name, Help: help}, []string{"kind"})
		registry.MustRegister(v)
		return v
	}
	return counters{
		documents: vec("config_documents_total", "Configuration documents "+verb+", by kind."),
		bytes:     vec("config_document_bytes_total", "Bytes of configuration documents "+verb+", by kind."),
	}
}

func (c counters) count(kind string, bytes int) {
	c.documents.WithLabelValues(kind).Inc()
	c.bytes.WithLabelValues(kind).Add(float64(bytes))
}

// version is a document that was in force.
type version struct {
	revision uint64
	number   uint64
	document *docdiff.Document
	// own is the number of bytes that it doesn't share with the version before.
	own int
}

// Store keeps the latest documents of a replica.
type Store struct {
	counters counters
	encoded  encodedDeltas

	mu sync.Mutex
	// versions are in ascending order of revision. The newest one is always kept.
	versions []version
}

// NewStore returns an empty store.
func NewStore(registry prometheus.Registerer) *Store {
	return &Store{counters: newCounters(registry, "replica", "sent")}
}

// Put keeps the document of a revision, given the JSON of its item, unless it is not newer than the newest one.
func (s *Store) Put(revision uint64, item []byte) error {
	_, err := s.put(revision, item)
	return err
}

// Document is Put and returns the document of the revision, or nil if so many newer ones were put that
// it is not kept.
func (s *Store) Document(revision uint64, item []byte) (*state.Numbered, error) {
	v, err := s.put(revision, item)
	if err != nil || v.document == nil {
		return nil, err
	}
	return &state.Numbered{Number: v.number, Content: v.document}, nil
}

// put is Put and returns the version of the revision.
func (s *Store) put(revision uint64, item []byte) (version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var earlier *docdiff.Document
	if n := len(s.versions); n > 0 {
		newest := s.versions[n-1]
		if newest.revision >= revision {
			return s.at(revision), nil
		}
		earlier = newest.document
	}
	numbered, err := fleet.ParseNumberedDocument(item)
	if err != nil {
		return version{}, err
	}
	v := version{revision: revision, number: numbered.Number, document: docdiff.Parse(numbered.Content, earlier)}
	v.own = v.document.Size() - v.document.SharedSize(earlier)
	s.versions = append(s.versions, v)
	s.trim()
	return v, nil
}

// at returns the version of a revision, or an empty one if it is not kept. The caller holds mu.
func (s *Store) at(revision uint64) version {
	for i := len(s.versions) - 1; i >= 0; i-- {
		if s.versions[i].revision == revision {
			return s.versions[i]
		}
	}
	return version{}
}

// trim drops the oldest versions. What a dropped version shares with the next one is charged to that
// one. The caller holds mu.
func (s *Store) trim() {
	total := 0
	for _, v := range s.versions {
		total += v.own
	}
	for len(s.versions) > 1 && (len(s.versions) > maxVersions || total > maxVersionBytes) {
		next := &s.versions[1]
		total -= s.versions[0].own + next.own
		next.own = next.document.Size()
		total += next.own
		s.versions = slices.Clone(s.versions[1:])
	}
}

// lookup returns the version with a digest.
func (s *Store) lookup(digest []byte) (version, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.versions) - 1; i >= 0; i-- {
		if held := s.versions[i].document.Digest(); string(held[:]) == string(digest) {
			return s.versions[i], true
		}
	}
	return version{}, false
}

// Wants reports whether a request asks for the document separately.
func Wants(request *wire.FetchConfigRequest) bool { return request.TakesDocument }

// Fill takes the document out of a response with one complete delta, and adds it in the form
// that suits the request. A response without a document is left as it is.
func (s *Store) Fill(request *wire.FetchConfigRequest, response *wire.FetchConfigResponse) error {
	if len(response.Deltas) != 1 || !response.Deltas[0].Complete {
		return nil
	}
	delta := response.Deltas[0]
	i := slices.IndexFunc(delta.Items, func(item *wire.ConfigItem) bool { return item.Path == fleet.PathNumbered })
	if i < 0 || len(delta.Items[i].Json) == 0 {
		return nil
	}
	v, err := s.put(delta.Revision, delta.Items[i].Json)
	if err != nil || v.document == nil {
		// Other calls have put so many newer ones that it is not kept: this response is sent whole.
		return err
	}
	digest := v.document.Digest()
	document := &wire.ConfigDocument{Number: v.number, Digest: digest[:], Size: uint64(v.document.Size())}
	s.addContent(request, v, document)
	response.Document = document
	delta.Items = slices.Delete(delta.Items, i, i+1)
	return nil
}

// addContent adds a delta or, if the document is short, its text.
func (s *Store) addContent(request *wire.FetchConfigRequest, v version, document *wire.ConfigDocument) {
	if base, ok := s.lookup(request.HeldDigest); ok {
		if delta := s.encoded.get(base.document, v.document); len(delta.data) < v.document.Size() {
			document.Base, document.Delta, document.Deflated = request.HeldDigest, delta.data, delta.deflated
			s.counters.count(kindDelta, len(delta.data))
			return
		}
	}
	if v.document.Size() > inlineBytes {
		s.counters.count(kindNamed, 0)
		return
	}
	document.Part = v.document.Bytes()
	s.counters.count(kindWhole, len(document.Part))
}

// Part answers a request for a part of a document. It is an error of the code NotFound if the store
// has no document with the digest.
func (s *Store) Part(request *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	v, ok := s.lookup(request.PartDigest)
	if !ok {
		return nil, twirp.NotFoundError("no document has this digest")
	}
	size := uint64(v.document.Size())
	offset := min(request.PartOffset, size)
	document := &wire.ConfigDocument{
		Number: v.number, Digest: request.PartDigest, Size: size, Offset: offset,
		Part: v.document.Slice(int(offset), int(min(offset+partBytes, size))),
	}
	s.counters.count(kindPart, len(document.Part))
	return &wire.FetchConfigResponse{Document: document}, nil
}
