package entry

import (
	"time"

	"waxwingcart/internal/core/lineage"
	"waxwingcart/internal/discovery"
)

const (
	// relabelWindow is how long before the list shows another version of an instance
	// streams may have begun there at either version: a server may start again under
	// its identity, and the list lags.
	relabelWindow = 10 * time.Second
	// labelKept is how long the version of an instance is remembered that is no longer
	// listed.
	labelKept = time.Minute
)

// beginning is a stream that has begun here lately.
type beginning struct {
	id       lineage.StreamID
	instance string
	at       time.Duration
	// until is when the stream can no longer be taken up.
	until time.Duration
}

// label is the version that the list last gave an instance.
type label struct {
	version string
	seen    time.Duration
}

// relabelled is an instance to which the list gives another version than before.
type relabelled struct {
	server discovery.Server
	former string
	// doubtful are the streams of which it is not known which version began them.
	doubtful []beginning
}

// remember notes a stream that has begun at an instance. The caller holds mu.
func (s *streams) remember(b beginning) {
	first := 0
	for first < len(s.recent) && s.recent[first].at < b.at-relabelWindow {
		first++
	}
	s.recent = append(s.recent[first:], b)
}

// relabel notes the versions of a list's instances and returns the instances whose version
// has changed. The caller holds mu.
func (s *streams) relabel(list []discovery.Server, now time.Duration) []relabelled {
	var changed []relabelled
	for _, found := range list {
		known, ok := s.labels[found.Instance]
		s.labels[found.Instance] = label{found.Software, now}
		if ok && known.version != found.Software {
			changed = append(changed, relabelled{found, known.version, s.begunAt(found.Instance, now)})
		}
	}
	for instance, known := range s.labels {
		if now-known.seen > labelKept {
			delete(s.labels, instance)
		}
	}
	return changed
}

// begunAt returns the streams that have lately begun at an instance. The caller holds mu.
func (s *streams) begunAt(instance string, now time.Duration) []beginning {
	var list []beginning
	for _, b := range s.recent {
		if b.instance == instance && b.at >= now-relabelWindow {
			list = append(list, b)
		}
	}
	return list
}

// markDoubtful records and tells that streams may have begun at the new version of an
// instance as well. With their first record that makes them ambiguous everywhere.
func (s *streams) markDoubtful(changed []relabelled) {
	for _, c := range changed {
		version := lineage.Version{Service: c.server.Service, Name: c.server.Software}
		for _, b := range c.doubtful {
			s.note(b.id, version, b.until-s.entry.now())
		}
		s.entry.logger.Warn().Str("step", "discover").Str("server", c.server.Instance).Str("version", c.server.Software).Str("former", c.former).
			Int("doubtful", len(c.doubtful)).Msg("a backend server changed its version; streams that began there lately are not taken up")
	}
}

// doubtful reports whether the instance that began a call's stream is now listed with
// another version: the stream may be of either. The caller holds mu.
func (p *policy) doubtful(r *run) bool {
	if !r.routed.pinned || r.routed.origin == "" {
		return false
	}
	version, listed := p.placer.VersionOf(r.routed.origin)
	return listed && version != r.routed.version
}
