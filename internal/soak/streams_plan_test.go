package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"waxwingcart/internal/standin"
)

// What backend servers of streams do has random numbers of its own, so that a seed gives
// the same documents and faults with and without streams.
const (
	streamNumbers = 2
	// endlessNumbers is the stream of random numbers of answers without end.
	endlessNumbers = 4
)

const (
	// minQuiet and maxQuiet bound the silence of a sound backend server.
	minQuiet = 500 * time.Millisecond
	maxQuiet = 1500 * time.Millisecond
	// minStep and maxStep bound the time between two steps of a release.
	minStep = 700 * time.Millisecond
	maxStep = 1800 * time.Millisecond
	// maxAside bounds the time of a pause that a backend server asks for, and the time
	// from its word that it leaves until the list shows it.
	maxAside = 1500 * time.Millisecond
	// entryFaults is the number of entries that are killed or asked to stop.
	entryFaults = 3
)

// streamEvents adds what backend servers do beside the plan's other events, releases of
// ever newer versions, and ends of entries.
func (p *planner) streamEvents() {
	p.rng = rand.New(rand.NewPCG(p.Seed, streamNumbers))
	for at := time.Second; at < p.Duration; at += p.between(300*time.Millisecond, 1200*time.Millisecond) {
		p.moodEvent(at)
	}
	release := 1
	for at := p.between(0, 3*time.Second); at < p.Duration; at += p.between(0, 3*time.Second) {
		release++
		for range streamEngines {
			p.add(Event{At: at, Kind: KindRelease, Target: serviceModels, Version: fmt.Sprintf("v%d", release)})
			at += p.between(minStep, maxStep)
		}
		p.add(Event{At: at, Kind: KindRelease, Target: serviceSingle, Version: fmt.Sprintf("v%d", release)})
	}
	for range entryFaults {
		kind := KindKill
		if p.chance(0.5) {
			kind = KindTerm
		}
		p.add(Event{At: p.between(time.Second, p.Duration), Kind: kind, Target: fmt.Sprintf("e%d", 1+p.rng.IntN(p.Entries)), For: p.between(20*time.Millisecond, time.Second)})
	}
}

// moodEvent adds a silence of one or all backend servers of a service, a pause or a leave.
func (p *planner) moodEvent(at time.Duration) {
	service := []string{serviceModels, serviceModels, serviceSingle, serviceSingle, serviceBase, serviceLedger}[p.rng.IntN(6)]
	quiet := Event{At: at, Kind: KindQuiet, Target: service, For: p.between(minQuiet, maxQuiet), Amount: 1}
	switch p.rng.IntN(6) {
	case 0:
		p.add(Event{At: at, Kind: KindRefuse, Target: serviceModels, For: p.between(100*time.Millisecond, maxAside)})
	case 1:
		p.add(Event{At: at, Kind: KindLeave, Target: serviceModels, For: p.between(100*time.Millisecond, maxAside)})
	case 2, 3:
		quiet.Amount = 0
		p.add(quiet)
	default:
		p.add(quiet)
	}
}

// endlessEvents adds times in which a backend server sends answers without end.
func (p *planner) endlessEvents() {
	p.rng = rand.New(rand.NewPCG(p.Seed, endlessNumbers))
	for at := p.between(time.Second, 3*time.Second); at < p.Duration; at += p.between(time.Second, 4*time.Second) {
		p.add(Event{At: at, Kind: KindEndless, Target: serviceModels, For: p.between(100*time.Millisecond, maxAside), Amount: p.rng.IntN(len(standin.EndlessKinds))})
	}
}
