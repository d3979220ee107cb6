package entry

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/lineage"
	"waxwingcart/internal/core/routes"
	"waxwingcart/internal/discovery"
	"waxwingcart/internal/wire"
)

// takeUpSlack is added to the time for which a stream can be taken up, for the way of
// the caller's last attempt.
const takeUpSlack = 2 * time.Second

// streams holds what this entry knows of the software versions of streams, and tells
// the other entries of its own.
type streams struct {
	entry *Entry

	mu   sync.Mutex
	book *lineage.Book
	// repeatedAt is when the records of this entry's streams were last repeated.
	repeatedAt time.Duration
	labels     lineage.Labels
}

func newStreams(e *Entry) *streams {
	return &streams{entry: e, book: lineage.New()}
}

// streamID returns the hash under which a stream is known.
func streamID(customer, requestID string) lineage.StreamID {
	digest := xxhash.New()
	_, _ = digest.Write(binary.AppendUvarint(nil, uint64(len(customer))))
	_, _ = digest.WriteString(customer)
	_, _ = digest.WriteString(requestID)
	return lineage.StreamID(digest.Sum64())
}

// listed records the versions of a list that was read from the platform.
func (s *streams) listed(list []discovery.Server, readAt time.Duration) {
	versions := make([]lineage.Version, 0, len(list))
	for _, found := range list {
		versions = append(versions, lineage.Version{Service: found.Service, Name: found.Software})
	}
	s.mu.Lock()
	s.book.Listed(readAt, versions)
	changed := s.relabel(list, s.entry.now())
	s.mu.Unlock()
	s.markDoubtful(changed)
}

// confirmed records that the list in use was still the present one at a time.
func (s *streams) confirmed(readAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Confirmed(readAt)
}

// checked records that the list in use was the leader's newest at a time.
func (s *streams) checked(at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Checked(at)
}

// checkedSince reports whether the list was checked after a time.
func (s *streams) checkedSince(at time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.CheckedSince(at)
}

// takeUpFactor is how many times a route's timeout a caller may go on taking a stream up,
// unless it says that it waits longer.
const takeUpFactor = 2

// configure records for how long the streams of a routing table can be taken up.
func (s *streams) configure(index *routes.Index) {
	_, longest := index.LongestTimeout()
	if longest == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Expect(min(longest, lineage.StreamBound) * takeUpFactor)
}

// expect records that a stream can be taken up for a time.
func (s *streams) expect(lifetime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Expect(lifetime)
}

// begun records a stream that has begun at an instance and tells the other entries.
func (s *streams) begun(id lineage.StreamID, version lineage.Version, instance string, left time.Duration) {
	now := s.entry.now()
	s.mu.Lock()
	s.labels.Begun(lineage.Beginning{ID: id, Instance: instance, At: now, Until: now + left})
	s.mu.Unlock()
	s.note(id, version, left)
}

// note records that a stream has run at a version and tells the other entries.
func (s *streams) note(id lineage.StreamID, version lineage.Version, left time.Duration) {
	s.mu.Lock()
	s.book.Note(s.entry.now(), id, version, left, lineage.SourceOwn)
	s.mu.Unlock()
	s.entry.broadcaster.streamBegun(id, version, left, true)
}

// repeat tells the other entries a second time of the streams that have begun here since the
// last call, as datagrams may be lost and the others may not have been known.
func (s *streams) repeat() {
	s.mu.Lock()
	now := s.entry.now()
	list := s.book.Own(now, s.repeatedAt)
	s.repeatedAt = now
	s.mu.Unlock()
	for _, stream := range list {
		s.entry.broadcaster.streamBegun(stream.ID, stream.Version, stream.Left, false)
	}
}

// streamBegun reports a stream that has begun here. It is urgent with the stream's first
// event, since the caller may take the stream up at another entry at once.
func (b *broadcaster) streamBegun(id lineage.StreamID, version lineage.Version, left time.Duration, urgent bool) {
	b.add(urgent, func(w *wire.News) { w.Begun = codec.AddBegun(w.Begun, id, version, left) })
}

// told records streams that another entry began.
func (s *streams) told(groups []*wire.Begun) {
	if len(groups) == 0 {
		return
	}
	now := s.entry.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stream := range codec.BegunFromWire(groups) {
		s.book.Note(now, stream.ID, stream.Version, stream.Left, lineage.SourceEntry)
	}
}

// decide says at which version a stream whose take-up arrived at a time may go on at a service, and
// how far back the history of versions reaches.
func (s *streams) decide(arrived time.Duration, id lineage.StreamID, named bool, service string) (lineage.Decision, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.entry.now()
	return s.book.TakeUp(now, arrived, id, named, service), s.book.Reach(now)
}

// expire forgets what is over.
func (s *streams) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Expire(s.entry.now())
}

func (s *streams) snapshot() lineage.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Snapshot(s.entry.now())
}

func (s *streams) merge(snapshot lineage.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Merge(s.entry.now(), snapshot)
}

// reach returns how far back the history of versions reaches, whether that is far enough
// for any stream, and how often the history began anew.
func (s *streams) reach() (reach time.Duration, complete bool, resets uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.entry.now()
	return s.book.Reach(now), s.book.Complete(now), s.book.Resets()
}

// resumable reports whether the call's answer is a stream that can be taken up.
func (r *run) resumable() bool {
	return r.routed != nil && r.routed.route.Stream && r.spec.Repeatable
}

// bindStream binds a stream to the version of the server that gave the first event that
// the caller gets, and records it.
func (r *run) bindStream(a *attempt) {
	if !r.resumable() {
		return
	}
	r.entry.policy.pinBegun(r, a.version, a.server.Name)
	version := lineage.Version{Service: r.service.Name, Name: a.version}
	r.entry.streams.begun(r.routed.stream, version, a.server.Name, r.takeUpTime())
}

// takeUpTime is for how long the caller may take the stream up.
func (r *run) takeUpTime() time.Duration {
	if r.routed.call.CallerTimeout <= 0 {
		return lineage.StreamBound
	}
	return r.arrived + r.routed.call.CallerTimeout - r.entry.now() + takeUpSlack
}
