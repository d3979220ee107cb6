package quarantine

import "time"

// answerWay is the longest time that an answer is assumed to be on its way: one that came
// later after an attempt was broken off proves that the server had not ended.
const answerWay = 150 * time.Millisecond

// Contact is how a new connection to a server went.
type Contact uint8

// The contacts.
const (
	// ContactNone means that no answer came, or that it was not tried.
	ContactNone Contact = iota
	// ContactRefused means that nothing listens.
	ContactRefused
	// ContactReset means that the connection was accepted and then closed: by a server that
	// has too many, or by something in front of one that has ended.
	ContactReset
	// ContactOpen means that the connection was accepted and stayed open.
	ContactOpen
)

// Sighting is what an entry can say of a server.
type Sighting struct {
	Contact Contact
	// Answered is true if the server has answered a request of the entry, and AnsweredAt when
	// the last answer came.
	Answered   bool
	AnsweredAt time.Duration
}

// proves reports whether the sighting proves that a server did not end at a time.
func (s *Sighting) proves(at time.Duration) bool {
	return s.Contact == ContactOpen || s.Answered && s.AnsweredAt > at+answerWay
}

// Ended reports whether a server that broke off an attempt at a time has ended, by the
// sightings of several entries: each of them may be cut off from it. sure is false if none
// of them got an answer to a connection.
func Ended(at time.Duration, sightings []Sighting) (ended, sure bool) {
	for _, s := range sightings {
		if s.proves(at) {
			return false, true
		}
		sure = sure || s.Contact != ContactNone
	}
	return true, sure
}
