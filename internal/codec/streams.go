package codec

import (
	"errors"
	"math"
	"time"

	"waxwingcart/internal/core/lineage"
	"waxwingcart/internal/wire"
)

var errNegativeReach = errors.New("negative reach of the history")

// AddBegun adds a stream to the groups of streams that began at one version.
func AddBegun(groups []*wire.Begun, id lineage.StreamID, version lineage.Version, left time.Duration) []*wire.Begun {
	for _, group := range groups {
		if group.Service == version.Service && group.Version == version.Name {
			appendBegun(group, id, left)
			return groups
		}
	}
	group := &wire.Begun{Service: version.Service, Version: version.Name}
	appendBegun(group, id, left)
	return append(groups, group)
}

func appendBegun(group *wire.Begun, id lineage.StreamID, left time.Duration) {
	group.Streams = append(group.Streams, uint64(id))
	group.LeftMs = append(group.LeftMs, uint32(min(max(left.Milliseconds(), 0), math.MaxUint32)))
}

// BegunFromWire returns the streams of all groups. It skips streams without a time.
func BegunFromWire(groups []*wire.Begun) []lineage.LiveStream {
	var list []lineage.LiveStream
	for _, group := range groups {
		version := lineage.Version{Service: group.Service, Name: group.Version}
		for i, id := range group.Streams {
			if i < len(group.LeftMs) {
				list = append(list, lineage.LiveStream{ID: lineage.StreamID(id), Version: version, Left: fromMilliseconds(int64(group.LeftMs[i]))})
			}
		}
	}
	return list
}

// StreamsToWire converts an entry's records and history.
func StreamsToWire(s lineage.Snapshot) *wire.StreamsResponse {
	response := &wire.StreamsResponse{ReachMs: s.Reach.Milliseconds(), BoundMs: s.Bound.Milliseconds()}
	for _, v := range s.Versions {
		response.Versions = append(response.Versions, &wire.LiveVersion{Service: v.Service, Version: v.Name, LeftMs: v.Left.Milliseconds()})
	}
	for _, stream := range s.Streams {
		response.Streams = AddBegun(response.Streams, stream.ID, stream.Version, stream.Left)
		if stream.Ambiguous {
			response.Ambiguous = append(response.Ambiguous, uint64(stream.ID))
		}
	}
	return response
}

// StreamsFromWire is the inverse of StreamsToWire, but for the order of the streams.
func StreamsFromWire(response *wire.StreamsResponse) (lineage.Snapshot, error) {
	if response.ReachMs < 0 {
		return lineage.Snapshot{}, errNegativeReach
	}
	s := lineage.Snapshot{Reach: fromMilliseconds(response.ReachMs), Bound: fromMilliseconds(response.BoundMs), Streams: BegunFromWire(response.Streams)}
	for _, v := range response.Versions {
		s.Versions = append(s.Versions, lineage.LiveVersion{
			Version: lineage.Version{Service: v.Service, Name: v.Version}, Left: fromMilliseconds(v.LeftMs),
		})
	}
	ambiguous := make(map[lineage.StreamID]bool, len(response.Ambiguous))
	for _, id := range response.Ambiguous {
		ambiguous[lineage.StreamID(id)] = true
	}
	for i := range s.Streams {
		s.Streams[i].Ambiguous = ambiguous[s.Streams[i].ID]
	}
	return s, nil
}

func fromMilliseconds(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
}
