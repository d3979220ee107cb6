package state

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strings"

	"waxwingcart/internal/core/fleet"
)

const (
	// MaxChangeIDBytes is the longest allowed change ID.
	MaxChangeIDBytes = 128
	// MaxAuthorBytes is the longest allowed author name.
	MaxAuthorBytes = 128
	// maxProblems is the number of validation problems listed in one result.
	maxProblems = 20
	// maxInvalidBytes is the longest rejection reason in a result.
	maxInvalidBytes = 4 << 10
)

// ChangeRequest is a configuration change as submitted by an operator.
type ChangeRequest struct {
	ChangeID     string
	BaseRevision uint64
	Author       string
	// JSON is the complete new configuration.
	JSON []byte
}

// Delta is one accepted change of the configuration.
type Delta struct {
	Revision uint64
	ChangeID string
	Author   string
	// TimeMS is the machine's time when the change was applied, in
	// milliseconds since 1970.
	TimeMS int64
	// Complete is true if Items is the complete configuration instead of a
	// difference from the previous revision.
	Complete bool
	Items    []fleet.Item
}

// ChangeAnswer is the stored result of the first change with a change ID.
type ChangeAnswer struct {
	ChangeID string
	Digest   uint64
	Result   ChangeResult
}

// config is the part of the machine that holds the fleet configuration.
type config struct {
	options  Options
	revision uint64
	items    map[string][]byte
	// itemBytes is the total size of the paths and values in items.
	itemBytes int
	// completeDelta caches the configuration as one delta; nil if it was not
	// requested since the last change.
	completeDelta *Delta
	// last is the newest accepted change, without its items.
	last Delta
	// history holds the newest deltas, with consecutive revisions up to
	// revision. Snapshots share its elements, so they are never overwritten.
	history      []Delta
	historyBytes int
	// answers holds the stored results by change ID.
	answers map[string]ChangeAnswer
	// answerOrder lists the change IDs in answers, oldest first.
	answerOrder []string
}

func newConfig(options Options) config {
	return config{
		options: options,
		items:   make(map[string][]byte),
		answers: make(map[string]ChangeAnswer),
	}
}

// ParsedChange is a ChangeRequest whose configuration was parsed and validated.
type ParsedChange struct {
	change ChangeConfig
	items  map[string][]byte
}

// ParseChange does the expensive part of preparing a change. It needs no Machine
// and may run in any goroutine.
func ParseChange(request ChangeRequest) ParsedChange {
	parsed := ParsedChange{change: ChangeConfig{
		ChangeID:     request.ChangeID,
		BaseRevision: request.BaseRevision,
		Author:       request.Author,
		Digest:       request.digest(),
	}}
	items, err := parseAndFlatten(request.JSON)
	if err != nil {
		parsed.change.Invalid = truncate(err.Error(), maxInvalidBytes)
	}
	parsed.items = items
	return parsed
}

// truncate shortens s to at most limit bytes and drops invalid UTF-8.
func truncate(s string, limit int) string {
	return strings.ToValidUTF8(s[:min(len(s), limit)], "")
}

// prepare sets the items of a valid change: the difference from the current
// configuration if that is the base revision, and the complete configuration
// otherwise.
func (c *config) prepare(parsed ParsedChange) ChangeConfig {
	change := parsed.change
	switch {
	case change.Invalid != "":
	case change.BaseRevision == c.revision:
		change.Items = fleet.Diff(c.items, parsed.items)
	default:
		change.Items = fleet.Diff(nil, parsed.items)
		change.Complete = true
	}
	return change
}

// digest hashes the content only: an operator who resends a change because the
// response was lost may no longer know its base revision.
func (r ChangeRequest) digest() uint64 {
	sum := sha256.Sum256(r.JSON)
	return binary.BigEndian.Uint64(sum[:])
}

func parseAndFlatten(json []byte) (map[string][]byte, error) {
	parsed, err := fleet.ParseJSON(json)
	if err != nil {
		return nil, err
	}
	if problems := parsed.Validate(); len(problems) > 0 {
		return nil, invalidError(problems)
	}
	return fleet.Flatten(parsed)
}

// invalidError lists the problems of a configuration, one per line. Results are
// stored in the state, so the list is limited to the first maxProblems.
type invalidError []fleet.Problem

func (e invalidError) Error() string {
	var lines []string
	for _, problem := range e[:min(len(e), maxProblems)] {
		lines = append(lines, problem.String())
	}
	if more := len(e) - maxProblems; more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(lines, "\n")
}

// apply applies a change. A change ID that was used before gets the stored
// result instead.
func (c *config) apply(timeMS int64, change ChangeConfig) ChangeResult {
	if reason := checkLengths(change); reason != "" {
		return ChangeResult{Revision: c.revision, Invalid: reason}
	}
	if first, ok := c.answers[change.ChangeID]; ok {
		return c.repeatedResult(first, change)
	}
	result := c.applyNew(timeMS, change)
	c.keepAnswer(ChangeAnswer{ChangeID: change.ChangeID, Digest: change.Digest, Result: result})
	return result
}

// checkLengths returns why the change ID or the author is rejected, or "". Such
// a result is not stored.
func checkLengths(change ChangeConfig) string {
	switch {
	case change.ChangeID == "":
		return "change_id: got nothing, expected an ID that is unique to the change"
	case len(change.ChangeID) > MaxChangeIDBytes:
		return fmt.Sprintf("change_id: got %d bytes, expected at most %d", len(change.ChangeID), MaxChangeIDBytes)
	case len(change.Author) > MaxAuthorBytes:
		return fmt.Sprintf("author: got %d bytes, expected at most %d", len(change.Author), MaxAuthorBytes)
	}
	return ""
}

// repeatedResult returns the result for a change ID that was used before.
func (c *config) repeatedResult(first ChangeAnswer, change ChangeConfig) ChangeResult {
	if first.Digest != change.Digest {
		return ChangeResult{
			Revision: c.revision,
			Invalid:  fmt.Sprintf("change_id: got %q, which another change has used, expected a new one", change.ChangeID),
		}
	}
	return first.Result
}

// applyNew applies a change whose ID was not used before.
func (c *config) applyNew(timeMS int64, change ChangeConfig) ChangeResult {
	if change.Invalid != "" {
		return ChangeResult{Revision: c.revision, Invalid: change.Invalid}
	}
	if change.BaseRevision != c.revision {
		return c.conflict(change.BaseRevision)
	}
	items := change.Items
	if change.Complete {
		items = fleet.Diff(c.items, itemMap(items))
	}
	c.accept(Delta{
		Revision: c.revision + 1,
		ChangeID: change.ChangeID,
		Author:   change.Author,
		TimeMS:   timeMS,
		Items:    items,
	})
	return ChangeResult{Accepted: true, Revision: c.revision}
}

// conflict returns the result for a change whose base revision is not in force. It
// names the change that followed the base revision, or the newest change if that
// one is not in the history.
func (c *config) conflict(base uint64) ChangeResult {
	winner := c.last
	if i := c.historyIndex(base + 1); i >= 0 {
		winner = c.history[i]
	}
	return ChangeResult{
		Revision:       winner.Revision,
		Conflict:       true,
		WinnerChangeID: winner.ChangeID,
		WinnerAuthor:   winner.Author,
	}
}

func (c *config) accept(delta Delta) {
	for _, item := range delta.Items {
		c.put(item)
	}
	c.completeDelta = nil
	c.revision = delta.Revision
	c.last = delta
	c.last.Items = nil
	c.history = append(c.history, delta)
	c.historyBytes += deltaBytes(delta)
	c.trimHistory()
}

// put sets an item, or removes it if its value is empty.
func (c *config) put(item fleet.Item) {
	if before, ok := c.items[item.Path]; ok {
		c.itemBytes -= len(item.Path) + len(before)
		delete(c.items, item.Path)
	}
	if len(item.JSON) > 0 {
		c.itemBytes += len(item.Path) + len(item.JSON)
		c.items[item.Path] = item.JSON
	}
}

func (c *config) trimHistory() {
	for len(c.history) > 0 && (len(c.history) > c.options.HistoryLimit || c.historyBytes > c.options.HistoryBytes) {
		c.historyBytes -= deltaBytes(c.history[0])
		c.history = c.history[1:]
	}
}

func deltaBytes(delta Delta) int {
	n := 0
	for _, item := range delta.Items {
		n += len(item.Path) + len(item.JSON)
	}
	return n
}

func (c *config) keepAnswer(answer ChangeAnswer) {
	c.answers[answer.ChangeID] = answer
	c.answerOrder = append(c.answerOrder, answer.ChangeID)
	for len(c.answerOrder) > c.options.ChangeAnswerLimit {
		delete(c.answers, c.answerOrder[0])
		c.answerOrder = c.answerOrder[1:]
	}
}

// historyIndex returns the index of a revision's delta in the history, or -1.
func (c *config) historyIndex(revision uint64) int {
	if len(c.history) == 0 || revision < c.history[0].Revision || revision > c.revision {
		return -1
	}
	return int(revision - c.history[0].Revision)
}

func (c *config) deltasSince(revision uint64) ([]Delta, bool) {
	if revision >= c.revision {
		return nil, false
	}
	i := c.historyIndex(revision + 1)
	if i < 0 || c.exceedsConfig(c.history[i:]) {
		return []Delta{c.complete()}, true
	}
	return slices.Clone(c.history[i:]), false
}

// exceedsConfig reports whether the deltas are larger than the complete
// configuration.
func (c *config) exceedsConfig(deltas []Delta) bool {
	n := 0
	for _, delta := range deltas {
		n += deltaBytes(delta)
		if n > c.itemBytes {
			return true
		}
	}
	return false
}

// complete returns the complete configuration as one delta.
func (c *config) complete() Delta {
	if c.completeDelta == nil {
		delta := c.last
		delta.Complete = true
		delta.Items = fleet.Diff(nil, c.items)
		c.completeDelta = &delta
	}
	return *c.completeDelta
}

// newest returns up to n deltas of the history, newest first.
func (c *config) newest(n int) []Delta {
	n = max(0, min(n, len(c.history)))
	deltas := slices.Clone(c.history[len(c.history)-n:])
	slices.Reverse(deltas)
	return deltas
}

func (c *config) zones() []string {
	var names []string
	for path := range c.items {
		if name, ok := fleet.ZoneOf(path); ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (c *config) copyItems() map[string][]byte { return maps.Clone(c.items) }

func itemMap(items []fleet.Item) map[string][]byte {
	m := make(map[string][]byte, len(items))
	for _, item := range items {
		m[item.Path] = item.JSON
	}
	return m
}
