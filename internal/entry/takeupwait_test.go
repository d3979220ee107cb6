package entry

import (
	"net/http"
	"testing"
	"time"

	"waxwingcart/internal/wire"
)

// A caller may take a stream up at once after its first event, before the record of the entry
// that began it has arrived: the take-up waits for it a moment. It was refused.
func TestTakeUpWaitsForItsRecord(t *testing.T) {
	v1, v2 := &versionEngine{version: "v1"}, &versionEngine{version: "v2"}
	e := newTakeUpEntry(t, v1, v2)
	id := uint64(streamID("", "first"))
	go func() {
		time.Sleep(recordWait / 2)
		e.streams.told([]*wire.Begun{{Service: "models", Version: "v2", Streams: []uint64{id}, LeftMs: []uint32{60_000}}})
	}()
	w := e.call("/public/1", "Id", "second", "Resumes", "first", "Last-Event-Id", "1")
	if got := versionsIn(w); w.Code != http.StatusOK || got["v2"] == 0 || got["v1"] != 0 {
		t.Errorf("got status %d, events %v, want the stream to go on at v2", w.Code, got)
	}
}
