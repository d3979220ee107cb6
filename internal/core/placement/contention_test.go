package placement_test

import (
	"fmt"
	"testing"
	"time"

	"waxwingcart/internal/core/placement"
)

func contentionServers(n int) []placement.Server {
	var list []placement.Server
	for i := range n {
		list = append(list, placement.Server{Name: fmt.Sprint("s", i), Service: "models", Slots: 12, CacheTokens: 434_000, Delay: time.Millisecond})
	}
	return list
}

// placeOn places attempts of a rank at a server.
func placeOn(p *placement.Placer, number *uint64, server string, rank, tokens, n int) {
	for range n {
		*number++
		size := placement.RequestSize{PromptTokens: tokens, OutputTokens: 200}
		job := placement.NewJob(placement.JobID{Origin: 9, Number: *number}, placement.Decision{Server: server, UncachedTokens: tokens}, size)
		job.Rank = rank
		p.Placed(0, job)
	}
}

// Work of less urgent requests that waits at a server doesn't delay more urgent ones, except the prompt that is being read.
func TestContentionCountsByRank(t *testing.T) {
	p := placement.New(1)
	p.SetServers(contentionServers(1))
	number := uint64(0)
	placeOn(p, &number, "s0", 2, 9000, 5)
	request := placement.Request{Service: "models", Size: placement.RequestSize{PromptTokens: 800}, Rank: 0}
	urgent, _ := p.Contention(0, &request, 0, 1)
	request.Rank = 2
	late, _ := p.Contention(0, &request, 0, 1)
	idle := placement.New(2)
	idle.SetServers(contentionServers(1))
	if alone, _ := idle.Contention(0, &request, 0, 1); alone.Start != alone.Alone || late.Alone != alone.Alone {
		t.Errorf("at an idle server after %s, alone after %s and %s", alone.Start, alone.Alone, late.Alone)
	}
	if urgent.Start > 350*time.Millisecond || late.Start < 1000*time.Millisecond || urgent.Start != late.Urgent {
		t.Errorf("rank 0 begins after %s, rank 2 after %s, its most urgent start is %s", urgent.Start, late.Start, late.Urgent)
	}
}

// With all slots taken the wait for one counts, and a request that waits for any server's next slot begins sooner. Less urgent requests
// leave one slot.
func TestContentionCountsSlots(t *testing.T) {
	p := placement.New(1)
	p.SetServers(contentionServers(10))
	number := uint64(0)
	for i := range 10 {
		placeOn(p, &number, fmt.Sprint("s", i), 0, 100, 11)
	}
	for n := range number {
		p.Started(0, placement.JobID{Origin: 9, Number: n + 1}, false)
	}
	request := placement.Request{Service: "models", Size: placement.RequestSize{PromptTokens: 800}, Rank: 1}
	less, _ := p.Contention(0, &request, 0, 1)
	request.Rank = 0
	urgent, _ := p.Contention(0, &request, 0, 1)
	if less.Start-urgent.Start < 50*time.Millisecond {
		t.Errorf("the last slot: rank 0 begins after %s, rank 1 after %s", urgent.Start, less.Start)
	}
	if less.Soon >= less.Start {
		t.Errorf("in the next slot of any server after %s, at one server after %s", less.Soon, less.Start)
	}
}

// What an entry spends on a request with capacity does not grow with the servers.
func BenchmarkContention(b *testing.B) {
	for _, n := range []int{112, 12_000} {
		p := placement.New(1)
		p.SetServers(contentionServers(n))
		request := placement.Request{Service: "models", Size: placement.RequestSize{PromptTokens: 800}}
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			for b.Loop() {
				p.Contention(0, &request, 250*time.Millisecond, 71)
			}
		})
		b.Run(fmt.Sprint(n, " servers, contended"), func(b *testing.B) {
			for b.Loop() {
				p.Contention(0, &request, 0, 71)
			}
		})
	}
}
