package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
)

const (
	olderVersion = "v1"
	newerVersion = "v2"
	// stopAfter is the number of events after which callers leave their streams.
	stopAfter = 6
	// versionEventMS is the time between two events, in milliseconds: callers that leave
	// midway leave before the end.
	versionEventMS = 20
)

// newVersionCluster starts a deployment with engines of the older and the newer version.
func newVersionCluster(t *testing.T, entries, older, newer int) (*hostedCluster, []*versionedEngine) {
	t.Helper()
	h := newHostedCluster(t, entries)
	var engines []*versionedEngine
	for i := range older {
		engines = append(engines, h.platform.addVersioned(t, fmt.Sprintf("i-old-%d", i), olderVersion))
	}
	for i := range newer {
		engines = append(engines, h.platform.addVersioned(t, fmt.Sprintf("i-new-%d", i), newerVersion))
	}
	h.platform.addEngine(t, "i-a1", "ledger")
	for _, engine := range engines {
		engine.eventInterval.Set(versionEventMS)
	}
	h.applyDocument(versionDocument(7))
	h.awaitEngines(entries, engines)
	return h, engines
}

const guestKey = "guest-key"

// versionDocument returns the document with a second customer.
func versionDocument(version int) map[string]any {
	content := document(version)
	content["tenants"] = append(content["tenants"].([]map[string]any), map[string]any{"name": "guests", "api_keys": []string{guestKey}})
	return content
}

// awaitEngines waits until every entry has placed a stream at each engine.
func (h *hostedCluster) awaitEngines(entries int, engines []*versionedEngine) {
	h.t.Helper()
	for i := range entries {
		waiting := slices.Clone(engines)
		h.eventually("an entry places streams at each engine", func() bool {
			c := newVersionCaller(h)
			c.begin(fmt.Sprintf("e%d", i+1), 1)
			waiting = slices.DeleteFunc(waiting, func(e *versionedEngine) bool { return e.reachedBy(c.first) })
			return len(waiting) == 0
		})
	}
}

// checkRefused fails the test unless a client attempt was refused as not run, with the
// time of a next try, and reached no engine.
func checkRefused(t testing.TB, what string, c *versionCaller, got partsAnswer, engines []*versionedEngine) {
	t.Helper()
	if got.status != http.StatusServiceUnavailable || got.retryAfter() <= 0 || got.header.Get("Waxwingcart-Stamp") != "" {
		t.Errorf("%s: got status %d, Retry-After %q, stamp %q, want status 503 with a positive Retry-After and no stamp",
			what, got.status, got.header.Get("Retry-After"), got.header.Get("Waxwingcart-Stamp"))
	}
	for _, engine := range engines {
		if engine.reachedBy(c.last) {
			t.Errorf("%s: the refused request reached %s, want no engine", what, engine.id)
		}
	}
}

// A stream that its engine breaks off goes on in the same answer, at an engine of the
// same version. As many answers are whole as when all engines have one version.
func TestHostedContinuationKeepsVersion(t *testing.T) {
	const streams = 120
	play := func(newer string) (whole int) {
		h := newHostedCluster(t, 1)
		var engines []*versionedEngine
		for i, version := range []string{olderVersion, olderVersion, newer, newer} {
			engines = append(engines, h.platform.addVersioned(t, fmt.Sprintf("i-%d", i), version))
		}
		h.applyDocument(document(7))
		h.awaitEngines(1, engines)
		for _, engine := range engines {
			engine.breakEvery.Set(3)
		}
		var callers []*versionCaller
		for range streams {
			c := newVersionCaller(h)
			c.begin("e1", allParts)
			if c.whole() {
				whole++
			}
			callers = append(callers, c)
		}
		checkVersions(t, callers)
		h.stopAll()
		return whole
	}
	before, both := play(olderVersion), play(newerVersion)
	t.Logf("%d of %d streams are whole with one version, %d with two", before, streams, both)
	// How many streams break off twice differs between runs by a few.
	if both < before*9/10 {
		t.Errorf("%d of %d streams are whole with two versions, want about the %d with one", both, streams, before)
	}
}

// Callers take their streams up at entries that did not begin them, while an engine
// of the older version leaves. They go on at the version that began them; two engines of
// each serve all the while, so that at least half of the take-ups must go on at once, and
// nearly all after a few tries.
func TestHostedTakeUpKeepsVersion(t *testing.T) {
	const streams = 40
	h, engines := newVersionCluster(t, 3, 3, 2)
	callers := h.beginStreams("e1", streams, stopAfter)
	engines[0].draining.Set(true)
	atOnce, whole := h.takeUpAll(callers, "e2", "e3")
	t.Logf("of %d take-ups, %d go on at once, %d in the end", streams, atOnce, whole)
	checkVersions(t, callers)
	if 2*atOnce < streams || whole*10 < streams*9 {
		t.Errorf("of %d take-ups, %d went on at once and %d in the end, want at least half and nine tenths", streams, atOnce, whole)
	}
}

// takeUpAll has callers take their streams up at entries in turn, to the end. It returns
// how many went on at once, and how many streams are whole.
func (h *hostedCluster) takeUpAll(callers []*versionCaller, entries ...string) (atOnce, whole int) {
	went := make([]bool, len(callers))
	eachCaller(callers, func(i int, c *versionCaller) {
		_, went[i] = c.takeUpPatiently(entries[i%len(entries)], allParts)
	})
	for i, c := range callers {
		if went[i] {
			atOnce++
		}
		if c.whole() {
			whole++
		}
	}
	return atOnce, whole
}

// Callers take their streams up twice, each time at another entry, and name the client
// attempt that brought the first event.
func TestHostedSecondTakeUpKeepsVersion(t *testing.T) {
	const streams = 24
	h, _ := newVersionCluster(t, 3, 2, 2)
	callers := h.beginStreams("e1", streams, stopAfter)
	eachCaller(callers, func(_ int, c *versionCaller) { c.takeUpPatiently("e2", stopAfter) })
	atOnce, whole := h.takeUpAll(callers, "e3")
	t.Logf("of %d second take-ups, %d go on at once, %d streams are whole", streams, atOnce, whole)
	checkVersions(t, callers)
	if 2*atOnce < streams || whole*10 < streams*9 {
		t.Errorf("of %d second take-ups, %d went on at once and %d in the end, want at least half and nine tenths", streams, atOnce, whole)
	}
}

// A caller that names a client attempt from which the version can't be known is refused,
// and reaches no engine. It can begin again.
func TestHostedUnknownTakeUpIsRefused(t *testing.T) {
	h, engines := newVersionCluster(t, 2, 2, 2)
	known := h.beginStreams("e1", 1, stopAfter)[0]
	for _, test := range []struct {
		name  string
		key   string
		named string
	}{
		{"another customer's", guestKey, known.first},
		{"an unknown one", callerKey, "never-sent"},
		{"one that began at two versions", callerKey, h.beginTwice()},
	} {
		for _, entry := range []string{"e1", "e2"} {
			c := newVersionCaller(h)
			c.key, c.first, c.parts = test.key, test.named, slices.Clone(known.parts)
			checkRefused(t, test.name+" at "+entry, c, c.takeUp(entry, allParts), engines)
			if c.begin(entry, allParts); !c.whole() || c.mixed() {
				t.Errorf("%s at %s: the stream that begins again has %d events, want all of one version", test.name, entry, len(c.parts))
			}
		}
	}
	if known.takeUpPatiently("e2", allParts); !known.whole() || known.mixed() {
		t.Errorf("the stream of the customer that began it has %d events, want all of one version", len(known.parts))
	}
}

// beginTwice begins streams under one ID, at two entries in turn, until they have begun at
// both versions, and returns the ID.
func (h *hostedCluster) beginTwice() string {
	const id = "used-twice"
	versions, tries := make(map[string]bool), 0
	h.eventually("streams of one ID begin at both versions", func() bool {
		c := newVersionCaller(h)
		tries++
		c.read(fmt.Sprintf("e%d", 1+tries%2), stopAfter, id)
		versions[c.version()] = c.version() != ""
		return versions[olderVersion] && versions[newerVersion]
	})
	return id
}

// While only one version has served for as long as a stream can last, a stream goes on
// without anything known of its beginning. Once another one serves, it is refused.
func TestHostedOnlyVersionNeedsNoKnowledge(t *testing.T) {
	h, engines := newVersionCluster(t, 2, 2, 0)
	unknown := func(entry string) (*versionCaller, partsAnswer) {
		c := newVersionCaller(h)
		c.first, c.parts = fmt.Sprintf("never-sent-%d", versionCalls.Add(1)), []streamPart{{stopAfter - 1, olderVersion}}
		return c, c.takeUp(entry, allParts)
	}
	for _, entry := range []string{"e1", "e2"} {
		h.eventually("a stream goes on at the only version at "+entry, func() bool {
			_, got := unknown(entry)
			return got.status == http.StatusOK && len(got.parts) == streamEvents-stopAfter
		})
	}
	// A version with one server only gets few streams: they could not go on.
	for i := range 2 {
		engines = append(engines, h.platform.addVersioned(t, fmt.Sprintf("i-new-%d", i), newerVersion))
	}
	h.awaitEngines(2, engines)
	for _, entry := range []string{"e1", "e2"} {
		c, got := unknown(entry)
		checkRefused(t, "an unknown stream at "+entry, c, got, engines)
	}
}

// The entry that began the streams is killed during them, and one of those that callers ask
// to go on is killed and restarted. None goes on at another version. The entry that ran all
// the while lets at least half go on at once.
func TestHostedTakeUpAfterEntryKill(t *testing.T) {
	const streams = 24
	h, engines := newVersionCluster(t, 3, 2, 2)
	for _, engine := range engines {
		engine.eventInterval.Set(slowEventMS)
	}
	callers, ended := h.startCallers("e1", streams)
	_ = h.stop("e1", syscall.SIGKILL)
	_ = h.stop("e2", syscall.SIGKILL)
	ended.Wait()
	for _, engine := range engines {
		engine.eventInterval.Set(versionEventMS)
	}
	h.start("e2")
	h.eventually("the restarted entry begins streams", func() bool {
		c := newVersionCaller(h)
		c.begin("e2", allParts)
		return c.whole()
	})
	restarted, running := callers[:streams/2], callers[streams/2:]
	restartedAtOnce, _ := h.takeUpAll(restarted, "e2")
	atOnce, whole := h.takeUpAll(running, "e3")
	t.Logf("of %d take-ups each, %d go on at the entry that was restarted, %d at once and %d in the end at the other", streams/2, restartedAtOnce, atOnce, whole)
	checkVersions(t, callers)
	if 2*atOnce < len(running) {
		t.Errorf("of %d take-ups at the entry that ran all the while, %d went on at once, want at least half", len(running), atOnce)
	}
}

// slowEventMS is the time between two events of streams that a test breaks off, in
// milliseconds.
const slowEventMS = 400

// startCallers has callers read streams at an entry to the end, all at once, and waits until
// each has some events.
func (h *hostedCluster) startCallers(entry string, count int) ([]*versionCaller, *sync.WaitGroup) {
	h.t.Helper()
	var callers []*versionCaller
	ended := &sync.WaitGroup{}
	for range count {
		c := newVersionCaller(h)
		callers = append(callers, c)
		ended.Go(func() { c.begin(entry, allParts) })
	}
	h.eventually("all streams have begun", func() bool {
		return !slices.ContainsFunc(callers, func(c *versionCaller) bool { return c.received.Load() < 2 })
	})
	return callers, ended
}

// The engines of a version leave while its streams wait to go on: one breaks off its streams
// and the other one is full. The streams end without an event of the other version. Callers
// that ask to go on are refused, and begin again at the other version.
func TestHostedVersionEndsWhileStreamsWait(t *testing.T) {
	const streams = 8
	h, engines := newVersionCluster(t, 1, 1, 0)
	last := engines[0]
	last.eventInterval.Set(slowEventMS)
	callers, ended := h.startCallers("e1", streams)
	full := h.platform.addVersioned(t, "i-full", olderVersion)
	full.refuse.Set(true)
	newer := []*versionedEngine{h.platform.addVersioned(t, "i-new-0", newerVersion), h.platform.addVersioned(t, "i-new-1", newerVersion)}
	h.awaitEngines(1, append([]*versionedEngine{full}, newer...))
	last.gone.Set(true)
	h.platform.remove(last)
	full.gone.Set(true)
	h.platform.remove(full)
	ended.Wait()
	checkVersions(t, callers)
	for _, c := range callers {
		if c.whole() {
			t.Error("a stream is whole, want it cut off where its version ended")
			continue
		}
		h.checkVersionGone(c, newer)
	}
}

// checkVersionGone fails the test unless a caller whose version is gone is refused, and begins again
// at the newer version.
func (h *hostedCluster) checkVersionGone(c *versionCaller, newer []*versionedEngine) {
	h.t.Helper()
	var got partsAnswer
	h.eventually("the entry knows that the version is gone", func() bool {
		got = c.takeUp("e1", allParts)
		return got.status == http.StatusServiceUnavailable || got.status == http.StatusOK
	})
	checkRefused(h.t, "a stream whose version is gone", c, got, newer)
	if c.begin("e1", allParts); !c.whole() || c.version() != newerVersion {
		h.t.Errorf("the stream that begins again has %d events of version %q, want all of %s", len(c.parts), c.version(), newerVersion)
	}
}

// The only engine of a version starts again under its ID at the other version. Once an entry
// knows the list, streams of the version that is gone are refused, and begin again.
func TestHostedRestartChangesVersion(t *testing.T) {
	h, engines := newVersionCluster(t, 1, 1, 1)
	var older *versionCaller
	h.eventually("a stream begins at the older version", func() bool {
		older = newVersionCaller(h)
		older.begin("e1", stopAfter)
		return older.version() == olderVersion
	})
	engines[0].restartAs(newerVersion)
	// A reading of the list that shows the second one began after the restart.
	for i := range 2 {
		engines = append(engines, h.platform.addVersioned(t, fmt.Sprintf("i-added-%d", i), newerVersion))
		h.awaitEngines(1, engines)
	}
	checkRefused(t, "a stream whose version is gone", older, older.takeUp("e1", allParts), engines)
	if older.begin("e1", allParts); !older.whole() || older.version() != newerVersion {
		t.Errorf("the stream that begins again has %d events of version %q, want all of %s", len(older.parts), older.version(), newerVersion)
	}
}

// On a platform whose list names no versions, streams go on at any engine, also those of
// which nothing is known.
func TestHostedListWithoutVersions(t *testing.T) {
	h := newHostedCluster(t, 2)
	var engines []*versionedEngine
	for i := range 4 {
		engines = append(engines, h.platform.addVersionedAs(t, fmt.Sprintf("i-%d", i), olderVersion, true))
	}
	h.applyDocument(document(7))
	h.awaitEngines(2, engines)
	callers := h.beginStreams("e1", 24, stopAfter)
	if atOnce, whole := h.takeUpAll(callers, "e2", "e1"); atOnce != len(callers) || whole != len(callers) {
		t.Errorf("of %d take-ups, %d went on at once and %d in the end, want all", len(callers), atOnce, whole)
	}
	for _, engine := range engines {
		engine.breakEvery.Set(3)
	}
	for _, c := range h.beginStreams("e1", 12, allParts) {
		if !c.whole() {
			t.Errorf("a stream that goes on in its answer has %d events, want all", len(c.parts))
		}
	}
	c := newVersionCaller(h)
	c.first, c.parts = "never-sent", []streamPart{{stopAfter - 1, olderVersion}}
	if got := c.takeUp("e1", allParts); len(got.parts) != streamEvents-stopAfter {
		t.Errorf("an unknown stream got status %d and %d events, want the rest", got.status, len(got.parts))
	}
}
