package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Violation is a promise that was broken.
type Violation struct {
	Promise string
	At      time.Duration
	Process string
	Detail  string
}

func (v Violation) String() string {
	return fmt.Sprintf("%7.3fs %s: %s: %s", v.At.Seconds(), v.Process, v.Promise, v.Detail)
}

// The promises.
const (
	promiseBound    = "an acknowledged document is obeyed within the bound"
	promiseForward  = "an entry does not go back to an older document"
	promiseValid    = "an invalid document is refused and never obeyed"
	promiseOne      = "one document is in force under a version"
	promiseServed   = "an added route is served once its backend server is listed"
	promiseRead     = "a read returns no older document"
	promiseLast     = "the newest acknowledged document is read back at the end"
	promiseAccepted = "a valid document is not refused"
	promiseOnce     = "a refused request has not run, and one that can't be repeated runs once"
	promiseRuns     = "a process does not end by itself"
	promiseAnswered = "a request that was read whole is answered"
	promiseWhole    = "an answer that began is whole"
	promiseOrder    = "no event of a stream is missing or comes twice"
	promiseVersion  = "a stream holds events of one version"
	promiseGoesOn   = "streams go on at least half as often as new ones begin"
)

// checker checks a history.
type checker struct {
	*History
	byLabel map[string]*Document
	// sentAt holds when each document was sent first.
	sentAt     map[string]time.Duration
	ackedAt    map[string]time.Duration
	violations []Violation
	// refusedOutOfTouch counts the requests that would have been violations of
	// promiseServed had their entries been in touch.
	refusedOutOfTouch int
	// goesOn of takeUps streams that callers took up went on, while servers of their
	// version served.
	goesOn, takeUps int
}

// Check returns the promises that a history breaks, in the order of time.
func (h *History) Check() []Violation {
	c := newChecker(h)
	c.check()
	return c.violations
}

func newChecker(h *History) *checker {
	c := &checker{History: h, byLabel: make(map[string]*Document), sentAt: make(map[string]time.Duration), ackedAt: make(map[string]time.Duration)}
	for _, d := range h.Documents {
		c.byLabel[d.Label] = d
	}
	for _, s := range h.Sendings {
		if at, ok := c.sentAt[s.Label]; !ok || s.From < at {
			c.sentAt[s.Label] = s.From
		}
	}
	for _, a := range h.Acks {
		c.ackedAt[a.Label] = a.At
	}
	return c
}

func (c *checker) check() {
	slices.SortFunc(c.Observations, func(a, b Observation) int { return int(a.From - b.From) })
	c.checkObservations()
	c.checkServed()
	c.checkSendings()
	c.checkReads()
	c.checkRuns()
	c.checkAnswered()
	c.checkStreams()
	c.checkTroubles()
	for _, end := range c.Ends {
		c.report(promiseRuns, c.End, end, "ended")
	}
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return int(a.At - b.At) })
}

func (c *checker) report(promise string, at time.Duration, process, format string, args ...any) {
	c.violations = append(c.violations, Violation{Promise: promise, At: at, Process: process, Detail: fmt.Sprintf(format, args...)})
}

// allowing returns the documents sent by the end of an observation under which an
// entry may give the response. All are returned if the response tells nothing.
func (c *checker) allowing(o *Observation) []*Document {
	var list []*Document
	for _, d := range c.Documents {
		if at, sent := c.sentAt[d.Label]; sent && at <= o.To && d.allows(o) {
			list = append(list, d)
		}
	}
	return list
}

// allows reports whether an entry that obeys the document may give the response.
func (d *Document) allows(o *Observation) bool {
	service := d.service(o.Path)
	switch o.Status {
	case http.StatusOK:
		return service == o.Service && d.hasKey(o.Key)
	case http.StatusNotFound:
		return service == ""
	case http.StatusUnauthorized, http.StatusForbidden:
		return !d.hasKey(o.Key)
	}
	return true
}

// required returns the document with the highest version that an entry must obey at t.
func (c *checker) required(entry string, t time.Duration) *Document {
	var newest *Document
	for _, a := range c.Acks {
		d := c.byLabel[a.Label]
		if (newest == nil || d.Version > newest.Version) && a.At <= t && c.due(entry, a.At, t) {
			newest = d
		}
	}
	return newest
}

// seen is the newest version that an entry's incarnation has shown to obey.
type seen struct {
	version int
	at      time.Duration
	by      *Observation
}

// checkObservations checks which documents the responses allow.
func (c *checker) checkObservations() {
	obeyed := make(map[string][]seen)
	winners := make(map[int]*Document)
	for i := range c.Observations {
		o := &c.Observations[i]
		all := c.allowing(o)
		documents := slices.DeleteFunc(slices.Clone(all), func(d *Document) bool { return d.Flaw != FlawNone })
		if len(documents) == 0 {
			c.report(promiseValid, o.From, o.Entry, "%s; allowed only by %s", o, names(all))
			continue
		}
		oldest, newest := documents[0].Version, documents[0].Version
		for _, d := range documents {
			oldest, newest = min(oldest, d.Version), max(newest, d.Version)
		}
		if d := c.required(o.Entry, o.From); d != nil && newest < d.Version {
			c.report(promiseBound, o.From, o.Entry, "%s; allowed by %s, and document %s was acknowledged %.3f s before",
				o, names(documents), d.Label, (o.From - c.ackedAt[d.Label]).Seconds())
		}
		key := fmt.Sprintf("%s/%d", o.Entry, o.Incarnation)
		for _, s := range obeyed[key] {
			if newest < s.version && o.From > s.at+rollbackSlack {
				c.report(promiseForward, o.From, o.Entry, "%s; allowed by %s, after %s", o, names(documents), s.by)
				break
			}
		}
		obeyed[key] = append(obeyed[key], seen{version: oldest, at: o.To, by: o})
		if len(obeyed[key]) > 1 {
			obeyed[key] = newestSeen(obeyed[key])
		}
		if len(documents) == 1 {
			c.checkWinner(winners, documents[0], o.From, o.Entry)
		}
	}
}

// newestSeen drops what a later element makes superfluous: an element with a version
// that is not higher and was not seen earlier.
func newestSeen(list []seen) []seen {
	last := list[len(list)-1]
	for _, s := range list[:len(list)-1] {
		if s.version >= last.version && s.at <= last.at {
			return list[:len(list)-1]
		}
	}
	return list
}

// checkWinner checks that a document is the only one that is in force under its
// version.
func (c *checker) checkWinner(winners map[int]*Document, d *Document, at time.Duration, process string) {
	winner := winners[d.Version]
	if winner == nil {
		winners[d.Version] = d
		return
	}
	if winner != d {
		c.report(promiseOne, at, process, "document %s is in force, as %s was", d.Label, winner.Label)
	}
}

func names(documents []*Document) string {
	if len(documents) == 0 {
		return "none"
	}
	var list []string
	for _, d := range documents[max(0, len(documents)-6):] {
		list = append(list, d.Label+strings.ReplaceAll(" ("+string(d.Flaw)+")", " ()", ""))
	}
	return "documents " + strings.Join(list, ", ")
}

func (o *Observation) String() string {
	return fmt.Sprintf("%s %s with %s at %.3f to %.3f s answered %d by service %q", o.Method, o.Path, o.Key, o.From.Seconds(), o.To.Seconds(), o.Status, o.Service)
}

// checkServed checks that no route is refused whose service has a listed backend
// server, while the entry serves the oldest route.
func (c *checker) checkServed() {
	for i := range c.Observations {
		o := &c.Observations[i]
		if o.Status != http.StatusServiceUnavailable || o.Path == pathBase {
			continue
		}
		service := c.certainService(o)
		switch {
		case service == "" || !c.listed(service, o.From) || !c.baseServed(o):
		case !c.inTouch(o.Entry, o.From):
			c.refusedOutOfTouch++
		default:
			c.report(promiseServed, o.From, o.Entry, "%s; a backend server of service %s is listed", o, service)
		}
	}
}

// certainService returns the service to which every document that may be in force
// leads a request, or "" if there are several.
func (c *checker) certainService(o *Observation) string {
	required := c.acknowledged(o.From - applyBound)
	if required == nil {
		return ""
	}
	service := required.service(o.Path)
	for _, d := range c.Documents {
		at, sent := c.sentAt[d.Label]
		if sent && at <= o.To && d.Flaw == FlawNone && d.Version >= required.Version && d.service(o.Path) != service {
			return ""
		}
	}
	return service
}

// listed reports whether a service has had a listed backend server for listBound at t.
func (c *checker) listed(service string, t time.Duration) bool {
	return slices.ContainsFunc(c.Listings, func(l Listing) bool {
		return l.Service == service && l.From <= t-listBound && (l.To == 0 || l.To > t)
	})
}

// baseServed reports whether the entry serves the oldest route around an observation.
func (c *checker) baseServed(o *Observation) bool {
	const around = 300 * time.Millisecond
	return slices.ContainsFunc(c.Observations, func(other Observation) bool {
		return other.Entry == o.Entry && other.Path == pathBase && other.Status == http.StatusOK &&
			other.From >= o.From-around && other.From <= o.To+around
	})
}

// checkSendings checks that valid documents are not refused and invalid ones are.
func (c *checker) checkSendings() {
	for _, s := range c.Sendings {
		d := c.byLabel[s.Label]
		switch {
		case d.Flaw != FlawNone && s.Status == http.StatusOK:
			c.report(promiseValid, s.From, s.Replica, "document %s (%s) acknowledged", s.Label, d.Flaw)
		case d.Flaw == FlawNone && s.Status >= 400 && s.Status < 500:
			c.report(promiseAccepted, s.From, s.Replica, "document %s answered with %d", s.Label, s.Status)
		}
	}
}

// checkReads checks what was read back. The last reads, after End, must return the
// newest acknowledged document or a newer one.
func (c *checker) checkReads() {
	winners := make(map[int]*Document)
	last := make(map[string]*Document)
	for _, r := range c.Reads {
		if r.Status != http.StatusOK {
			continue
		}
		d := c.byLabel[r.Label]
		if d == nil || d.Flaw != FlawNone {
			c.report(promiseValid, r.From, r.Replica, "read content that is no valid document's (%q)", r.Label)
			continue
		}
		c.checkWinner(winners, d, r.From, r.Replica)
		if newest := c.acknowledged(r.From - applyBound); newest != nil && d.Version < newest.Version {
			c.report(promiseRead, r.From, r.Replica, "read document %s; document %s was acknowledged %.3f s before", d.Label, newest.Label, (r.From - c.ackedAt[newest.Label]).Seconds())
		}
		if r.From >= c.End {
			last[r.Replica] = d
		}
	}
	newest := c.acknowledged(c.End)
	for _, replica := range c.Replicas {
		if d := last[replica]; newest != nil && (d == nil || d.Version < newest.Version) {
			c.report(promiseLast, c.End, replica, "got %s, document %s is acknowledged", names(slices.DeleteFunc([]*Document{d}, func(d *Document) bool { return d == nil })), newest.Label)
		}
	}
}

// acknowledged returns the newest document that was acknowledged by t.
func (c *checker) acknowledged(t time.Duration) *Document {
	var newest *Document
	for _, a := range c.Acks {
		if d := c.byLabel[a.Label]; a.At <= t && (newest == nil || d.Version > newest.Version) {
			newest = d
		}
	}
	return newest
}

// checkRuns checks how often requests ran.
func (c *checker) checkRuns() {
	for i := range c.Observations {
		o := &c.Observations[i]
		runs := c.Runs[o.ID]
		if runs > 0 && promisesNotRun(o.Status) || runs > 1 && o.Path == pathOnce {
			c.report(promiseOnce, o.From, o.Entry, "%s, and ran %d times", o, runs)
		}
	}
}

// worstDelay returns the longest time from the acknowledgement of a document to the
// last request that an entry handled as only an older one allows, and the same for
// requests at moments at which the entry was undisturbed, and in touch.
func (c *checker) worstDelay() (worst, undisturbed, inTouch time.Duration) {
	for i := range c.Observations {
		o := &c.Observations[i]
		newest := 0
		for _, d := range c.allowing(o) {
			if d.Flaw == FlawNone {
				newest = max(newest, d.Version)
			}
		}
		for _, a := range c.Acks {
			if a.At > o.From || c.byLabel[a.Label].Version <= newest {
				continue
			}
			worst = max(worst, o.From-a.At)
			if o.From-a.At > undisturbed && c.undisturbed(o.Entry, o.From) {
				undisturbed = o.From - a.At
			}
			if o.From-a.At > inTouch && c.inTouch(o.Entry, o.From) {
				inTouch = o.From - a.At
			}
		}
	}
	return worst, undisturbed, inTouch
}
