package entry

import (
	"time"

	"waxwingcart/internal/core/lineage"
	"waxwingcart/internal/discovery"
)

// relabelled is a listed server that has another version than before.
type relabelled struct {
	server discovery.Server
	*lineage.Relabelled
}

// relabel notes the versions of a list's instances and returns the servers whose version
// has changed. The caller holds mu.
func (s *streams) relabel(list []discovery.Server, now time.Duration) []relabelled {
	var changed []relabelled
	for _, found := range list {
		if r := s.labels.Listed(now, found.Instance, found.Software); r != nil {
			changed = append(changed, relabelled{found, r})
		}
	}
	s.labels.Expire(now)
	return changed
}

// markDoubtful records and tells that streams may have begun at the new version of an
// instance as well. With their first record that makes them ambiguous everywhere.
func (s *streams) markDoubtful(changed []relabelled) {
	for _, c := range changed {
		version := lineage.Version{Service: c.server.Service, Name: c.server.Software}
		for _, b := range c.Doubtful {
			s.note(b.ID, version, b.Until-s.entry.now())
		}
		s.entry.logger.Warn().Str("step", "discover").Str("server", c.server.Instance).Str("version", c.server.Software).Str("former", c.Former).
			Int("doubtful", len(c.Doubtful)).Msg("a backend server changed its version; streams that began there lately are not taken up")
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
