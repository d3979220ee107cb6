package codec

import (
	"reflect"
	"testing"
	"time"

	"waxwingcart/internal/core/lineage"
	"waxwingcart/internal/wire"
)

// Records and history survive the way to another entry, and a message that another
// build or a fault has made is read without harm.
func TestStreamsOnTheWire(t *testing.T) {
	v1, v2 := lineage.Version{Service: "models", Name: "v1"}, lineage.Version{Service: "models"}
	s := lineage.Snapshot{
		Reach:    time.Minute,
		Bound:    time.Second,
		Versions: []lineage.LiveVersion{{Version: v1, Left: time.Minute}, {Version: v2, Left: time.Hour}},
		Streams: []lineage.LiveStream{
			{ID: 1, Version: v1, Left: time.Second},
			{ID: 3, Version: v1, Left: time.Minute, Ambiguous: true},
			{ID: 2, Version: v2, Left: time.Second},
		},
	}
	got, err := StreamsFromWire(StreamsToWire(s))
	if err != nil || !reflect.DeepEqual(got, s) {
		t.Errorf("got %+v, %v, expected %+v", got, err, s)
	}
	if _, err := StreamsFromWire(&wire.StreamsResponse{ReachMs: -1}); err == nil {
		t.Error("a negative reach was accepted")
	}
	list := BegunFromWire([]*wire.Begun{{Service: "models", Streams: []uint64{1, 2}, LeftMs: []uint32{5}}})
	if len(list) != 1 || list[0].Left != 5*time.Millisecond {
		t.Errorf("got %+v, expected the stream with a time alone", list)
	}
}
