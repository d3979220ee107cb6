package placement

import (
	"testing"
	"time"
)

// A server that asks for a pause gets nothing until it ends, then one attempt, and
// twice as many after as many answers.
func TestPausedServerReturnsByStep(t *testing.T) {
	const pause = 10 * time.Second
	p := New(1)
	p.SetListed(0, []string{"e00"})
	p.SetServers(fleet(1))
	number := uint64(0)
	// burst places attempts until none is allowed, and returns their number.
	burst := func(now time.Duration) (ids []JobID) {
		for {
			decision, ok := p.Pick(now, &Request{Service: "models"})
			if !ok || len(ids) > 1000 {
				return ids
			}
			number++
			ids = append(ids, JobID{1, number})
			p.Placed(now, NewJob(ids[len(ids)-1], decision, RequestSize{}))
		}
	}
	p.Placed(0, Job{ID: JobID{1, 1_000_000}, Server: "e00"})
	if !p.Suspend(0, "e00", pause) || p.Suspend(0, "e00", time.Second) {
		t.Error("Suspend: expected true for the first pause and false during it")
	}
	p.Started(1, JobID{1, 1_000_000}, true)
	p.Expire(pause - 1)
	if n := len(burst(pause - 1)); n != 0 {
		t.Errorf("%d attempts during the pause, expected none", n)
	}
	if wait, ok := p.SoonestReturn(pause-time.Second, "models"); !ok || wait != time.Second {
		t.Errorf("SoonestReturn: got %s, %t, expected 1s", wait, ok)
	}
	for _, expected := range []int{1, 2, 4, 8, 16, 32} {
		ids := burst(pause)
		if len(ids) != expected {
			t.Errorf("%d attempts in a step, expected %d", len(ids), expected)
		}
		for _, id := range ids {
			p.Started(pause, id, true)
			p.Ended(pause, id, ResultAnswered)
		}
	}
	if n := len(burst(pause)); n <= 64 {
		t.Errorf("%d attempts after the last step, expected no limit", n)
	}
}

// A step whose attempts get no answer begins again after stepTimeout. A further
// refusal begins a new pause.
func TestStepWithoutAnswerBeginsAgain(t *testing.T) {
	p := New(1)
	p.SetServers(fleet(1))
	p.Suspend(0, "e00", time.Second)
	for i, now := range []time.Duration{time.Second, time.Second + stepTimeout} {
		id := JobID{1, uint64(i)}
		decision, ok := p.Pick(now, &Request{Service: "models"})
		if !ok {
			t.Fatalf("no attempt at %s", now)
		}
		p.Placed(now, NewJob(id, decision, RequestSize{}))
		if p.Takes(now, "e00") {
			t.Errorf("a second attempt was allowed at %s, expected one", now)
		}
		p.Ended(now, id, ResultFailed)
	}
	now := time.Second + stepTimeout
	if !p.Suspend(now, "e00", time.Minute) || p.Takes(now+time.Minute-1, "e00") || !p.Takes(now+time.Minute, "e00") {
		t.Error("the second pause was not kept")
	}
}

// The pause belongs to the instance, and outlives a configuration that drops its
// service. Other servers are used meanwhile.
func TestPauseBelongsToInstance(t *testing.T) {
	p := New(1)
	p.SetListed(0, []string{"e00", "e01"})
	p.SetServers(fleet(2))
	p.Suspend(0, "e00", time.Minute)
	p.SetServers(nil)
	p.SetServers(fleet(2))
	if got := pickable(p, 1); len(got) != 1 || !got["e01"] {
		t.Errorf("picked %v, expected e01", got)
	}
	if _, ok := p.SoonestReturn(1, "models"); ok {
		t.Error("SoonestReturn: got true while a server takes work")
	}
	p.SetLeaving(1, "e01", true)
	if wait, ok := p.SoonestReturn(1, "models"); !ok || wait != time.Minute-1 {
		t.Errorf("SoonestReturn: got %s, %t, expected the end of the pause", wait, ok)
	}
	p.SetServers([]Server{{Name: "restarted", Service: "models", Slots: 1}})
	if got := pickable(p, 1); !got["restarted"] {
		t.Errorf("picked %v, expected the new instance", got)
	}
	p.SetListed(2, []string{"restarted"})
	p.Expire(time.Minute)
	if len(p.suspended) != 0 {
		t.Error("the pause of an instance that is no longer listed was kept")
	}
	if !p.NoteInvalidPause("restarted") || p.NoteInvalidPause("restarted") || p.NoteInvalidPause("e00") {
		t.Error("NoteInvalidPause: expected true once for a known server")
	}
}
