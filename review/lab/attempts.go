//go:build review

package main

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// attemptsEngines is the number of engines, of which slowEngines are slow: a share of 0.143.
	attemptsEngines = 7
	slowEngines     = 1
	// usualWork is how long a lookup takes, and slowFactor how much longer at a slow engine.
	usualWork  = 400 * time.Millisecond
	slowFactor = 4
	// slowTime is how long the engine is slow.
	slowTime = 6500 * time.Millisecond
	// brokenAbove is the number of requests above which the rule is broken.
	brokenAbove = 3
)

// attemptsCase sends lookups on a route with "attempts": 1 while one of seven engines is slow.
// No engine and no machine fails. It counts the lookups that more than one engine ran.
func attemptsCase(l *lab, trouble bool) (bool, error) {
	var slow atomic.Bool
	var engines []*engine
	for i := range attemptsEngines {
		work := func() time.Duration {
			if slow.Load() && i < slowEngines {
				return slowFactor * usualWork
			}
			return usualWork
		}
		e, err := l.addEngine(i, "xano55b", 6, work)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	if err := l.start(2); err != nil {
		return false, err
	}
	services := []map[string]any{{"name": "xano55b", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false}}
	route := map[string]any{
		"name": "r-6tta828", "host": host, "path_prefix": "/puxa403/", "type": "safe", "timeout_ms": 5000, "slo_ms": 800, "priority": 2,
		"service": "xano55b", "attempts": 1, "public": false, "sticky": false, "resumable": false,
	}
	if err := l.put(document(7, services, route)); err != nil {
		return false, err
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	const lookups, interval = 400, 25 * time.Millisecond
	slow.Store(trouble)
	time.AfterFunc(slowTime, func() { slow.Store(false) })
	l.note("engine %s is slow: %t", engines[0].id, trouble)
	var calls sync.WaitGroup
	ids := make([]string, lookups)
	for i := range lookups {
		ids[i] = newID()
		calls.Go(func() {
			l.note("client sends %s", ids[i])
			status, stamp := l.call(1+i%2, "GET", "/puxa403/2f", ids[i], 5*time.Second, "")
			l.note("client gets %d for %s, stamp %q", status, ids[i], stamp)
		})
		time.Sleep(interval)
	}
	calls.Wait()
	time.Sleep(time.Second)
	beyond := 0
	for _, id := range ids {
		on := 0
		for _, e := range engines {
			e.mu.Lock()
			if e.ran[id] > 0 {
				on++
			}
			e.mu.Unlock()
		}
		if on > 1 {
			l.note("%s ran on %d engines, its route has attempts 1", id, on)
			beyond++
		}
	}
	l.note("%d of %d lookups ran on more engines than their route's attempts; the rule allows %d", beyond, lookups, brokenAbove)
	return beyond > brokenAbove, nil
}
