// Package quarantine finds the requests, and the parts of prompts, under which backend
// servers crash, and bars them from further servers.
//
// A server may crash whenever it begins an answer on one part of a prompt, whatever else
// the prompt holds. Each request with the part then costs a server, and all that runs or
// waits there. What an end of a server says:
//
//   - An answer that had begun is not the cause. An attempt that had no event yet is
//     suspect, one that had the head of its answer more than one that had nothing.
//   - A part is acquitted whenever an answer begins on it. The crashing part never is, and
//     the parts that sound requests share with it are, within a moment.
//   - Ends count one after the other only if the later request was sent after the earlier
//     end: servers that end together, for a reason of their own, count as one.
//   - An end that a barred part explains is no evidence against the parts beside it.
//
// A whole request, and the last part of its prompt, are parts that are the request's own. They
// gather hits only if callers repeat the request, and a sound one is answered then. So each hit
// counts in full, also without the head of an answer.
//
// Evidence, acquittals and bars are shared by all entries; a bar is repeated as long as it
// holds. It binds the customers under whose requests servers ended, and all customers as
// soon as there are several. A bar ends with an answer that begins on the part. Rare trials,
// made by one entry, show whether one does; the first request at another software version or
// with another model is a trial as well.
//
// Load pattern: some requests a second with a part that crashes each server, at all
// entries, beside twenty times as many sound ones.
//
// All times are durations since an arbitrary start, in the clock of one entry; entries
// tell each other ages. The package does no I/O and is not safe for concurrent use.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashesNeeded is the weight of ends, one after the other, that bars a part: an end
	// under an attempt that had the head of its answer counts 1, another one waitingWeight.
	crashesNeeded = 3.0
	waitingWeight = 0.5
	// crashesNeededAlone replaces crashesNeeded while no other answers begin, so that
	// nothing shows that servers work without the part.
	crashesNeededAlone = 5.0
	// unsureWeight replaces the weight of an end that nothing confirms.
	unsureWeight = 0.5
	// succession is the longest time from the first to the last hit of a part that is the
	// request's own for which crashesNeeded suffices while no other answers begin, if no
	// server ended without it.
	succession = 10 * time.Second
	// acquittedFactor multiplies what is needed for a part on which answers have begun
	// before.
	acquittedFactor = 2.0
	// crashesElsewhere is the weight that bars a part that is barred at another version
	// or with another model.
	crashesElsewhere = 1.0
	// requestsNeeded is the number of requests under which servers must have ended.
	requestsNeeded = 2
	// othersNeeded is the number of answers on prompts without the part that show that
	// servers work without it.
	othersNeeded = 3

	// sameCrash is the time within which reports of one server's end are of the same end.
	sameCrash = time.Second
	// evidenceKept is how long an end counts.
	evidenceKept = 30 * time.Minute

	// firstTrial is the time from the last end until a request with a barred part is tried;
	// firstTrialAlone replaces it for a part that was barred while no other answers began,
	// since the cause may have been another one, and firstTrialOwn for one that is a request's
	// own. The two differ, so that a trial of the cause does not spoil one of what it was taken
	// for. After each trial the time grows by
	// trialFactor, up to maxTrialWait.
	firstTrial      = time.Minute
	firstTrialAlone = 5 * time.Second
	firstTrialOwn   = 7 * time.Second
	trialFactor     = 4
	maxTrialWait    = time.Hour
	// trialStagger is the time from when one entry may make a trial until the next one may: a
	// request that is asked for rarely may never come to the first.
	trialStagger = 2 * time.Second
	// barForgotten is the time after the last end at which a bar is forgotten.
	barForgotten = 4 * time.Hour
	// minRetryAfter is the shortest time that the caller of a refused request is told.
	minRetryAfter = 5 * time.Second

	// repeatInterval is the shortest time after which a bar that no other entry repeats is
	// repeated. The longest is twice as long.
	repeatInterval = time.Second

	// MaxParts bounds the parts of one prompt that are considered: its first and last
	// shared ones.
	MaxParts = 64
	// MaxOwn bounds the parts that are a request's own.
	MaxOwn = 2
	// The bounds of memory: ends of servers, suspected parts and how many are kept when
	// there are too many, hits on one part, barred parts, and parts on which answers have
	// begun, shared ones and requests' own.
	maxCrashes   = 128
	maxSuspects  = 4096
	keptSuspects = maxSuspects * 3 / 4
	maxHits      = 16
	maxBars      = 1024
	maxBegun     = 8192
)

// Part identifies a part of the prompts of a service.
type Part uint64

// NewPart returns the Part with an ID, which is independent of its length and of its place
// in the prompt.
func NewPart(service, id string) Part {
	digest := xxhash.New()
	for _, text := range []string{service, id} {
		_, _ = digest.WriteString(text)
		_, _ = digest.Write([]byte{0})
	}
	return Part(digest.Sum64())
}

// NewWhole returns the Part that stands for a whole request: its customer and all that
// reaches the server but headers. Callers choose their bodies, so that the hash has to
// withstand a search for two with the same one.
func NewWhole(customer, method, host, target string, body []byte) Part {
	digest := sha256.New()
	for _, text := range []string{customer, method, host, target} {
		_, _ = digest.Write(binary.AppendUvarint(nil, uint64(len(text))))
		_, _ = io.WriteString(digest, text)
	}
	_, _ = digest.Write(body)
	return Part(binary.BigEndian.Uint64(digest.Sum(nil)))
}

// Release is a software version of a service, with the model that it serves a request with.
type Release struct {
	Service string
	Version string
	Model   string
}

// Request is a request as the quarantine sees it. Its customer is a hash.
type Request struct {
	Service  string
	Model    string
	Customer uint64
	// Parts are the shared parts of the prompt, and Own those that are the request's own: the
	// last one, and the whole request.
	Parts, Own []Part
}

func (r *Request) release(version string) Release { return Release{r.Service, version, r.Model} }

// Crash is the end of a server under an attempt that had delivered no event.
type Crash struct {
	Instance string
	Release  Release
	// At is when the server ended, Placed when the attempt was sent to it.
	At, Placed time.Duration
	// Request and Customer are hashes.
	Request, Customer uint64
	// Head is true if the head of the answer had arrived.
	Head bool
	// Unsure is true if nothing confirms the end: the server may be behind a cut link.
	Unsure bool
	// Parts are the shared parts of the prompt in order, and Own those that are the request's
	// own.
	Parts, Own []Part
}

// all returns all parts, from those that most requests share to the whole request.
func (c *Crash) all() []Part { return slices.Concat(c.Parts, c.Own) }

// Acquittal says that an answer began at a time on requests with the parts.
type Acquittal struct {
	Release Release
	At      time.Duration
	// Parts are shared parts, and Own those that are a request's own.
	Parts, Own []Part
}

// None reports whether it names no part.
func (a *Acquittal) None() bool { return len(a.Parts)+len(a.Own) == 0 }

// Bar keeps requests with a part from the servers of a release.
type Bar struct {
	Part    Part
	Release Release
	// Customer is the hash of the customer whose requests it binds. It is ignored if All is
	// true: servers ended under requests of several customers.
	Customer uint64
	All      bool
	// Trials is the number of trials so far, and Next when the next one is due.
	Trials int
	Next   time.Duration
	// LastCrash is when a server ended last under the part.
	LastCrash time.Duration
}

// binds reports whether the bar holds for a customer.
func (b *Bar) binds(customer uint64) bool { return b.All || b.Customer == customer }
