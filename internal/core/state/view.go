package state

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"waxwingcart/internal/core/docdiff"
	"waxwingcart/internal/core/fleet"
)

// Numbered is a numbered document that is split into elements.
type Numbered struct {
	Number  uint64
	Content *docdiff.Document
}

// View holds the configuration that is in force in a process. Its revision never
// decreases. A View is not safe for concurrent use; the Config it returns is.
type View struct {
	revision uint64
	// confirmedAt is when a replica with a quorum last confirmed the revision.
	// It is valid if confirmed is true.
	confirmedAt time.Duration
	confirmed   bool
	document    *fleet.Document
	items       map[string][]byte
	// numbered is the numbered document in force, which is then not in items; nil if there is
	// none or it has not been split yet. earlier is the one that was split last.
	numbered, earlier *Numbered
	config            *fleet.Config
	last              Delta
}

// ViewEvent is an input of View.Step.
type ViewEvent interface{ isViewEvent() }

// DeltasReceived is a response with deltas from a replica or from another
// process.
type DeltasReceived struct {
	// From is the name of the process that sent the response.
	From string
	// Deltas are in ascending order of revision.
	Deltas []Delta
	// Revision is the newest revision known to the sender.
	Revision uint64
	// Committed is true if the sender read Revision from a quorum, so that it
	// was the newest revision at that time.
	Committed bool
	// Numbered is the numbered document of the delta if it was received separately. There is
	// then one delta, which is complete but for this document.
	Numbered *Numbered
}

func (DeltasReceived) isViewEvent() {}

// ViewEffects tells the caller what to do after an event.
type ViewEffects struct {
	// Config is the new configuration if the event put a newer revision in
	// force.
	Config *fleet.Config
	// Acknowledge is true if the revision in force should be reported.
	Acknowledge bool
	// Fetch is true if deltas are missing. The caller should fetch the deltas
	// that follow FetchFrom at once.
	Fetch     bool
	FetchFrom uint64
	// Stale is the number of deltas that were not newer than the revision in
	// force.
	Stale int
	// Err is the reason why a delta was rejected.
	Err error
}

// NewView returns a view with no configuration, at revision 0.
func NewView() *View {
	return &View{
		document: fleet.NewDocument(),
		items:    make(map[string][]byte),
	}
}

// Revision returns the revision in force, 0 if there is none.
func (v *View) Revision() uint64 { return v.revision }

// Config returns the configuration in force, nil if there is none. It must not
// be modified.
func (v *View) Config() *fleet.Config { return v.config }

// NumberedDocument returns the numbered document in force; its number is 0 if there is
// none. A numbered document is the whole configuration as produced by the hosting
// platform, each version with a number; the one with the highest number is in force.
func (v *View) NumberedDocument() (fleet.NumberedDocument, error) {
	if v.numbered != nil {
		return fleet.NumberedDocument{Number: v.numbered.Number, Content: v.numbered.Content.Bytes()}, nil
	}
	return fleet.ParseNumberedDocument(v.items[fleet.PathNumbered])
}

// Numbered returns the numbered document in force, or nil if there is none. It shares the
// elements that have not changed with the document that was returned before.
func (v *View) Numbered() (*Numbered, error) {
	if v.numbered != nil {
		return v.numbered, nil
	}
	data, ok := v.items[fleet.PathNumbered]
	if !ok {
		return nil, nil
	}
	document, err := fleet.ParseNumberedDocument(data)
	if err != nil {
		return nil, err
	}
	var earlier *docdiff.Document
	if v.earlier != nil {
		earlier = v.earlier.Content
	}
	v.numbered = &Numbered{Number: document.Number, Content: docdiff.Parse(document.Content, earlier)}
	v.earlier = v.numbered
	delete(v.items, fleet.PathNumbered)
	return v.numbered, nil
}

// Last returns the last applied change, without its items.
func (v *View) Last() Delta { return v.last }

// ConfirmedAt returns the time at which a quorum last confirmed the revision
// in force, and false if that never happened.
func (v *View) ConfirmedAt() (time.Duration, bool) { return v.confirmedAt, v.confirmed }

// Deltas returns the complete configuration as one delta if it is newer than the
// given revision. A process serves it to others that can't reach a replica.
func (v *View) Deltas(revision uint64) []Delta {
	if revision >= v.revision {
		return nil
	}
	delta := v.last
	delta.Complete = true
	delta.Items = fleet.Diff(nil, v.items)
	if v.numbered != nil {
		document, _ := v.NumberedDocument()
		delta.Items = append(delta.Items, document.UncheckedItem())
		slices.SortFunc(delta.Items, func(a, b fleet.Item) int { return strings.Compare(a.Path, b.Path) })
	}
	return []Delta{delta}
}

// Step applies one event.
func (v *View) Step(now time.Duration, event ViewEvent) ViewEffects {
	received, ok := event.(DeltasReceived)
	if !ok {
		return ViewEffects{}
	}
	before := v.revision
	effects := v.apply(received)
	if v.revision > before {
		v.config = v.document.Config()
		effects.Config = v.config
		effects.Acknowledge = true
	}
	if received.Committed && received.Revision == v.revision {
		v.confirmedAt = now
		v.confirmed = true
	}
	return effects
}

// apply applies deltas in order. It stops at one that does not follow the
// revision in force or is invalid.
func (v *View) apply(received DeltasReceived) ViewEffects {
	var effects ViewEffects
	for _, delta := range received.Deltas {
		switch {
		case delta.Revision <= v.revision:
			effects.Stale++
			continue
		case !delta.Complete && delta.Revision != v.revision+1:
			return v.fetchMissing(effects)
		}
		if err := v.put(delta, received.Numbered); err != nil {
			effects.Err = fmt.Errorf("apply revision %d from %s: %w", delta.Revision, received.From, err)
			return effects
		}
	}
	if received.Revision > v.revision {
		return v.fetchMissing(effects)
	}
	return effects
}

// fetchMissing asks for the deltas after the revision in force.
func (v *View) fetchMissing(effects ViewEffects) ViewEffects {
	effects.Fetch = true
	effects.FetchFrom = v.revision
	return effects
}

// put applies one delta completely, or not at all if it returns an error. If numbered is
// set, it is the numbered document of the delta's revision.
func (v *View) put(delta Delta, numbered *Numbered) error {
	items := delta.Items
	if delta.Complete {
		items = fleet.Diff(v.items, itemMap(delta.Items))
	}
	if err := v.putItems(items); err != nil {
		return err
	}
	if delta.Complete || containsPath(items, fleet.PathNumbered) {
		v.numbered = numbered
	}
	if numbered != nil {
		v.earlier = numbered
	}
	v.revision = delta.Revision
	v.last = delta
	v.last.Items = nil
	v.last.Complete = false
	return nil
}

func containsPath(items []fleet.Item, path string) bool {
	return slices.ContainsFunc(items, func(item fleet.Item) bool { return item.Path == path })
}

// putItems applies items to the document and the item map. On an error both are
// left unchanged.
func (v *View) putItems(items []fleet.Item) error {
	for i, item := range items {
		if err := v.document.Put(item); err != nil {
			v.rollback(items[:i])
			return err
		}
	}
	for _, item := range items {
		if len(item.JSON) == 0 {
			delete(v.items, item.Path)
			continue
		}
		v.items[item.Path] = item.JSON
	}
	return nil
}

// rollback resets items of the document to their values in the item map.
func (v *View) rollback(items []fleet.Item) {
	for _, item := range items {
		// The value was applied before, so it can't fail to decode.
		_ = v.document.Put(fleet.Item{Path: item.Path, JSON: v.items[item.Path]})
	}
}
