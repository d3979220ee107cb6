package answers

import (
	"fmt"
	"time"
)

// Pace measures how fast a part of an answer arrives. The zero value waits for the
// first byte. It is not safe for concurrent use.
type Pace struct {
	bytes  int64
	active time.Duration
	last   time.Time
}

// Read counts bytes that arrived at a time. It returns an *Error if the part arrives
// too slowly.
func (p *Pace) Read(now time.Time, bytes int) error {
	if p.bytes > 0 {
		p.active += min(now.Sub(p.last), MaxCountedPause)
	}
	p.bytes += int64(bytes)
	p.last = now
	if p.active > SlowTime && p.bytes < int64(p.active.Seconds()*MinRate) {
		return &Error{Kind: KindSlow, Detail: fmt.Sprintf("%d bytes in %s, less than %d a second", p.bytes, p.active.Round(time.Millisecond), MinRate)}
	}
	return nil
}

// Bytes returns the bytes of the part so far.
func (p *Pace) Bytes() int64 { return p.bytes }

// Reset begins a new part.
func (p *Pace) Reset() { *p = Pace{} }
