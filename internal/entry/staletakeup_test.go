package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"waxwingcart/internal/core/lineage"
	"waxwingcart/internal/core/request"
	"waxwingcart/internal/discovery"
)

// newStaleEntry returns an entry that knows of one version only, in lists up to one that was read
// a moment ago, and that reaches no leader. Its platform returns what read returns.
func newStaleEntry(t *testing.T, engine *versionEngine, read func(known []discovery.Server) ([]discovery.Server, error)) *Entry {
	t.Helper()
	e := newTakeUpEntry(t, engine)
	inUse, _ := e.directory.List()
	known := slices.Clone(inUse)
	const history = 40 * time.Second
	e.streams.book = lineage.New()
	e.streams.expect(history / 2)
	for age := history; age > 0; age -= time.Second {
		e.streams.listed(known, e.now()-age)
	}
	e.opts.Routed.Discover = func(context.Context) ([]discovery.Server, error) { return read(known) }
	if _, complete, _ := e.streams.reach(); !complete {
		t.Fatal("the history of versions is not complete")
	}
	return e
}

// While an entry was cut off, servers of another version have joined, and a stream that began at
// them elsewhere is taken up at this entry. That it knows of one version is no evidence until it has asked
// whether its list is still the newest.
func TestTakeUpAtEntryThatWasCutOff(t *testing.T) {
	newer := func(known []discovery.Server) ([]discovery.Server, error) {
		second := known[0]
		second.Instance, second.Software = "i-new", "v2"
		return append(slices.Clone(known), second), nil
	}
	unchanged := func(known []discovery.Server) ([]discovery.Server, error) { return known, nil }
	failing := func([]discovery.Server) ([]discovery.Server, error) { return nil, errors.New("cut off") }
	for name, test := range map[string]struct {
		read   func([]discovery.Server) ([]discovery.Server, error)
		reason request.Reason
	}{
		"servers of another version have joined": {newer, reasonStreamUnknown},
		"nothing has changed":                    {unchanged, ""},
		"still cut off":                          {failing, reasonListUnchecked},
	} {
		t.Run(name, func(t *testing.T) {
			e := newStaleEntry(t, &versionEngine{version: "v1"}, test.read)
			for n := range 3 {
				w := e.call("/public/1", "Id", fmt.Sprintf("again-%d", n), "Resumes", "elsewhere", "Last-Event-Id", "2")
				if test.reason != "" {
					checkTakeUpRefused(t, w, test.reason)
				} else if got := versionsIn(w); w.Code != http.StatusOK || got["v1"] == 0 {
					t.Errorf("got status %d and events of %v, want the rest of the stream", w.Code, got)
				}
			}
		})
	}
}
