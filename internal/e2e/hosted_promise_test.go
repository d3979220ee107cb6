package e2e

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

var (
	promiseSeed   = flag.Uint64("promise.seed", 2, "first seed of TestHostedDisksLostRightAfterAcknowledgements")
	promiseSeeds  = flag.Uint64("promise.seeds", 1, "number of seeds from the first on")
	promiseRounds = flag.Int("promise.rounds", 4, "number of rounds of each seed")
)

// platformReplaceVoterMS is the setting of deploy/replica.jsonc.
const platformReplaceVoterMS = 2_000

// faultKind is what a drawn fault takes from a replica.
type faultKind string

const (
	faultDisk   faultKind = "disk"
	faultPower  faultKind = "power"
	faultFreeze faultKind = "freeze"
)

// drawnFault is a fault of one replica, from a time after the start of its round on.
type drawnFault struct {
	replica   string
	kind      faultKind
	at, lasts time.Duration
}

// faultedReplicas plays faults of replicas and notes whose disks count as lost.
type faultedReplicas struct {
	*hostedCluster
	names []string
	// down holds the replicas that are ended, and frozen those that are suspended.
	down, frozen map[string]bool
	// lostDisk holds when the replicas whose disks were lost returned, or the zero time before that.
	lostDisk map[string]time.Time
}

// drawFaults draws the faults of a round. At most tolerated replicas lose their disks, and any number their power. In half of the
// rounds, all that lost their power get it back at once, and the others have run for long by then.
func drawFaults(source *rand.Rand, names []string, tolerated int) (faults []drawnFault) {
	milliseconds := func(limit int) time.Duration { return time.Duration(source.IntN(limit)) * time.Millisecond }
	disks, at := 0, time.Duration(0)
	powerReturns := time.Duration(0)
	if source.IntN(2) == 0 {
		powerReturns = catchUpTime + 3*time.Second + milliseconds(2_000)
	}
	order := source.Perm(len(names))
	for _, i := range order[:2+source.IntN(len(names)-1)] {
		f := drawnFault{replica: names[i], at: at, lasts: milliseconds(3_000)}
		f.kind = []faultKind{faultDisk, faultDisk, faultPower, faultPower, faultPower, faultFreeze}[source.IntN(6)]
		if f.kind == faultDisk {
			if disks++; disks > tolerated {
				f.kind = faultPower
			}
		}
		if f.kind == faultPower && powerReturns > 0 {
			f.lasts = powerReturns - at
		}
		faults = append(faults, f)
		if source.IntN(3) > 0 {
			at += milliseconds(1_200)
		}
	}
	return faults
}

func (r *faultedReplicas) begin(f drawnFault) {
	switch f.kind {
	case faultDisk:
		r.endWithDisk(f.replica)
		r.down[f.replica], r.lostDisk[f.replica] = true, time.Time{}
	case faultPower:
		_ = r.stop(f.replica, syscall.SIGKILL)
		r.down[f.replica] = true
	case faultFreeze:
		r.signal(f.replica, syscall.SIGSTOP)
		r.frozen[f.replica] = true
	}
}

func (r *faultedReplicas) end(name string) {
	if r.frozen[name] {
		r.signal(name, syscall.SIGCONT)
		delete(r.frozen, name)
	}
	if r.down[name] {
		r.start(name)
		delete(r.down, name)
		if _, lost := r.lostDisk[name]; lost {
			r.lostDisk[name] = time.Now()
		}
	}
}

// countLost returns the replicas whose disks count as lost: they are down, or returned less than catchUpTime ago.
func (r *faultedReplicas) countLost() (lost []string) {
	for name, returned := range r.lostDisk {
		if r.down[name] || time.Since(returned) < catchUpTime {
			lost = append(lost, name)
		}
	}
	return lost
}

// promiseOperator sends one document to all replicas at once, again and again, until one of them acknowledges it.
type promiseOperator struct {
	acknowledged atomic.Bool
	stopped      chan struct{}
	done         sync.WaitGroup
}

func (r *faultedReplicas) operate(content any) *promiseOperator {
	operator := &promiseOperator{stopped: make(chan struct{})}
	for _, name := range r.names {
		operator.done.Go(func() {
			for !operator.acknowledged.Load() {
				select {
				case <-operator.stopped:
					return
				case <-time.After(20 * time.Millisecond):
				}
				if r.put(name, content) == http.StatusOK {
					operator.acknowledged.Store(true)
				}
			}
		})
	}
	return operator
}

// playUntilAcknowledged plays the faults while an operator sends the document, and returns when it is acknowledged after
// the first of them, however many are over by then.
func (r *faultedReplicas) playUntilAcknowledged(faults []drawnFault, content any, operatorAt time.Duration) {
	r.t.Helper()
	began := time.Now()
	var operator *promiseOperator
	started, ended := make([]bool, len(faults)), make([]bool, len(faults))
	for operator == nil || !operator.acknowledged.Load() {
		at := time.Since(began)
		if operator == nil && at >= operatorAt {
			operator = r.operate(content)
			// A call to a suspended replica may last until that goes on.
			r.t.Cleanup(operator.done.Wait)
			defer close(operator.stopped)
		}
		for i, f := range faults {
			if !started[i] && at >= f.at {
				started[i] = true
				r.begin(f)
			}
			if started[i] && !ended[i] && at >= f.at+f.lasts {
				ended[i] = true
				r.end(f.replica)
			}
		}
		if at > operatorAt+3*recoveryTime {
			r.t.Fatal("the document was not acknowledged in time")
		}
		time.Sleep(time.Millisecond)
	}
}

// loseToleratedDisks erases the disks of as many replicas as are tolerated beside those that count as lost, and ends the others
// too if power is lost by all.
func (r *faultedReplicas) loseToleratedDisks(source *rand.Rand, powerLost bool) {
	lost := r.countLost()
	order := source.Perm(len(r.names))
	for _, i := range order {
		name := r.names[i]
		if slices.Contains(lost, name) || len(lost) >= (r.replicas-1)/2 {
			continue
		}
		lost = append(lost, name)
		r.erase(name)
	}
	if powerLost {
		for _, name := range r.names {
			if !r.down[name] {
				delete(r.frozen, name)
				_ = r.stop(name, syscall.SIGKILL)
				r.down[name] = true
			}
		}
	}
	r.t.Logf("lost: %v, power lost by all: %v", lost, powerLost)
}

func (r *faultedReplicas) erase(name string) {
	delete(r.frozen, name)
	if r.down[name] {
		v := r.vms[name]
		if err := os.RemoveAll(v.dataDir); err != nil {
			r.t.Fatal(err)
		}
		r.writeHostedSettings(v, false)
	} else {
		r.endWithDisk(name)
	}
	r.down[name], r.lostDisk[name] = true, time.Time{}
}

// Right after a document was acknowledged, as many disks are lost as are tolerated, with others that were lost before and not
// replaced yet: no leader was elected any more.
func TestHostedDisksLostRightAfterAcknowledgements(t *testing.T) {
	for seed := *promiseSeed; seed < *promiseSeed+*promiseSeeds; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { playPromise(t, seed, *promiseRounds) })
	}
}

// playPromise plays rounds of faults before an acknowledgement and of disks lost right after it.
func playPromise(t *testing.T, seed uint64, rounds int) {
	source := rand.New(rand.NewPCG(seed, 1))
	h := newStoppedHostedCluster(t, 5, false)
	h.replaceVoterMS = platformReplaceVoterMS
	h.startVMs(0)
	r := &faultedReplicas{hostedCluster: h, down: make(map[string]bool), frozen: make(map[string]bool)}
	for i := range h.replicas {
		r.names = append(r.names, fmt.Sprint("r", i+1))
	}
	h.eventually("all replicas vote", h.allVote)
	for round := range rounds {
		r.lostDisk = make(map[string]time.Time)
		faults := drawFaults(source, r.names, (h.replicas-1)/2)
		operatorAt := time.Duration(1_000+source.IntN(5_000)) * time.Millisecond
		powerLost := source.IntN(2) == 0
		t.Logf("seed %d, round %d: %v, operator at %v", seed, round, faults, operatorAt)
		content := document(7 + round)
		r.playUntilAcknowledged(faults, content, operatorAt)
		r.loseToleratedDisks(source, powerLost)
		for _, name := range r.names {
			r.end(name)
		}
		calm := time.Now().Add(recoveryTime)
		for _, name := range r.names {
			h.within(calm, name+" returns the document", func() bool { return h.version(name) == 7+round })
		}
		h.within(calm, "all replicas vote", h.allVote)
	}
}
