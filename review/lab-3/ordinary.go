//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ordinaryClients is the number of ordinary clients, and ordinaryWork how long an engine works on their claims.
	ordinaryClients = 24
	ordinaryWork    = 400 * time.Millisecond
	// lostAllowed is the number of lost requests that the rule allows.
	lostAllowed = 3
)

// ordinary is a number of ordinary clients that send claims on kept connections, one at a time each.
type ordinary struct {
	lab     *lab
	entry   *machine
	engines []*engine
	stop    chan struct{}
	clients sync.WaitGroup
	// lost counts claims on connections that had been used before, which ran at an engine and got no answer.
	served, other, lost atomic.Int64
}

// startOrdinary starts the clients of an entry and two engines for their claims.
func (l *lab) startOrdinary(m *machine, engines []*engine) *ordinary {
	o := &ordinary{lab: l, entry: m, engines: engines, stop: make(chan struct{})}
	for i := range ordinaryClients {
		o.clients.Go(func() { o.client(i) })
	}
	return o
}

func (o *ordinary) stopped() bool {
	select {
	case <-o.stop:
		return true
	default:
		return false
	}
}

func (o *ordinary) client(number int) {
	for connection := 0; !o.stopped(); connection++ {
		conn, err := net.DialTimeout("tcp", o.entry.at(portFront), time.Second)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		o.converse(conn, fmt.Sprintf("claim-%d-%d", number, connection))
		_ = conn.Close()
	}
}

// converse sends claims until one gets no answer or the connection is to be closed.
func (o *ordinary) converse(conn net.Conn, name string) {
	reader := bufio.NewReader(conn)
	for i := 0; !o.stopped(); i++ {
		id := fmt.Sprintf("%s-%d", name, i)
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		fmt.Fprintf(conn, "POST /claims/1 HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer %s\r\nWaxwingcart-Request-Id: %s\r\nWaxwingcart-Deadline-Ms: 4500\r\nContent-Length: 5\r\n\r\nclaim", key, id)
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		switch {
		case err != nil && i > 0 && o.ran(id):
			o.lost.Add(1)
			o.lab.note("%s ran at an engine, and its kept connection ended without an answer: %v", id, err)
			return
		case err != nil:
			return
		case response.StatusCode == http.StatusOK:
			o.served.Add(1)
		default:
			o.other.Add(1)
		}
		if response.Close {
			return
		}
	}
}

// ran reports whether a claim began to run.
func (o *ordinary) ran(id string) bool {
	for _, e := range o.engines {
		e.mu.Lock()
		runs := e.runs[id]
		e.mu.Unlock()
		if runs > 0 {
			return true
		}
	}
	return false
}

// end ends the clients and checks the rule.
func (o *ordinary) end() {
	close(o.stop)
	o.clients.Wait()
	o.lab.note("ordinary clients: %d claims served, %d other answers, %d lost; the entry had %d MB of %d MB at most",
		o.served.Load(), o.other.Load(), o.lost.Load(), o.entry.peakKB>>10, o.entry.memoryMB)
	if lost := o.lost.Load(); lost > lostAllowed {
		o.lab.fail("%d claims of kept connections were passed on to a sound engine and got no answer", lost)
	}
	if o.served.Load() == 0 {
		o.lab.notRun("no ordinary claim was served")
	}
}

// addLedger adds the two engines for claims.
func (l *lab) addLedger() []*engine {
	return []*engine{l.addEngine("i-a1", "ledger", 24, 0, ordinaryWork), l.addEngine("i-a2", "ledger", 24, 0, ordinaryWork)}
}
