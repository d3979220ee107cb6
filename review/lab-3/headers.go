//go:build review

package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Sizes of the crowd of the case on header lines.
const (
	crowd     = 1500
	headBytes = 15_000
	crowdBody = 2_000
)

// longHead returns a request head of legal length that consists of many short lines.
func longHead(number int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /claims/1 HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer %s\r\nWaxwingcart-Request-Id: crowd-%d\r\nWaxwingcart-Deadline-Ms: 4000\r\nContent-Length: %d\r\n", key, number, crowdBody)
	const letters = "abcdefghijklmnopqrstuvwxyz"
	for i := 0; b.Len() < headBytes; i++ {
		fmt.Fprintf(&b, "X%c%c%c:1\r\n", letters[i/676%26], letters[i/26%26], letters[i%26])
	}
	b.WriteString("\r\n")
	return b.String()
}

// headers sends a crowd of requests whose heads are within the limits and have many lines, and whose bodies
// stop just short of their end.
func headers(l *lab) {
	l.startDeployment(1, "")
	l.addEngine("i-a1", "ledger", 6, 0, 15*time.Millisecond)
	l.addEngine("i-m1", "models", 64, 20, 100*time.Millisecond)
	l.configure(document())
	m := l.machine["edge-1"]
	stop := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() { l.watchMemory(m, stop) })

	// Ordinary clients before and beside the crowd.
	ordinary := func(from, count int) (served, other, none int) {
		for i := range count {
			status, err := l.post(m, "/claims/1", fmt.Sprintf("claim-%d", from+i), "claim", 4*time.Second)
			switch {
			case status == 200:
				served++
			case status != 0:
				other++
			default:
				none++
				l.note("claim-%d: no answer: %v", from+i, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
		return served, other, none
	}
	served, other, none := ordinary(0, 20)
	l.note("before the crowd: of 20 claims %d served, %d other answers, %d without an answer; resident %d MB", served, other, none, m.residentKB()>>10)
	if served == 0 {
		l.notRun("no ordinary claim is served")
	}
	var conns []net.Conn
	if l.trouble {
		body := strings.Repeat("x", crowdBody-1)
		var mu sync.Mutex
		var senders sync.WaitGroup
		gate := make(chan struct{}, 32)
		for i := range crowd {
			gate <- struct{}{}
			senders.Go(func() {
				defer func() { <-gate }()
				conn, err := net.DialTimeout("tcp", m.at(portFront), 2*time.Second)
				if err != nil {
					return
				}
				_ = conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
				_, _ = conn.Write([]byte(longHead(i) + body))
				mu.Lock()
				conns = append(conns, conn)
				mu.Unlock()
			})
		}
		senders.Wait()
		l.note("the crowd: %d connections, each with a head of %d bytes in %d lines and %d of %d bytes of body; resident %d MB",
			len(conns), len(longHead(0)), strings.Count(longHead(0), "\n"), crowdBody-1, crowdBody, m.residentKB()>>10)
	}
	served, other, none = ordinary(100, 40)
	l.note("beside the crowd: of 40 claims %d served, %d other answers, %d without an answer; largest resident size %d MB of %d MB",
		served, other, none, m.peakKB>>10, m.memoryMB)
	if served == 0 {
		l.fail("no ordinary claim is answered beside the crowd")
	}
	close(stop)
	watching.Wait()
	for _, conn := range conns {
		_ = conn.Close()
	}
}
