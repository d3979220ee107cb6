package e2e

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// cut is how the links between an entry and backend servers are cut.
type cut string

const (
	// cutReset resets the connections, and new ones once they are accepted.
	cutReset cut = "reset"
	// cutHang lets nothing come through.
	cutHang cut = "hang"
	// cutLive lets connections live on, and resets new ones.
	cutLive cut = "live"
)

// links are the links between entries and the servers that listen through it. Which process
// a connection comes from is read from /proc, when a link is cut and for each new connection
// while one is.
type links struct {
	mu    sync.Mutex
	pids  map[string]int
	cuts  map[string]cut
	conns map[*linkConn]bool
}

func newLinks() *links {
	return &links{pids: make(map[string]int), cuts: make(map[string]cut), conns: make(map[*linkConn]bool)}
}

// set cuts the links of an entry, or joins them if kind is empty.
func (l *links) set(entry string, kind cut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts[entry] = kind
	owned := socketPorts(l.pids[entry])
	for c := range l.conns {
		if owned[c.port] {
			c.entry = entry
		}
		if c.entry == entry && kind == cutReset {
			_ = c.TCPConn.SetLinger(0)
			_ = c.TCPConn.Close()
		}
	}
}

// of returns how the link of a connection is cut.
func (l *links) of(c *linkConn) cut {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts[c.entry]
}

// owner returns the entry with a cut link whose process has the socket at a local port, or "".
func (l *links) owner(port int) string {
	l.mu.Lock()
	pids := make(map[string]int)
	for entry, kind := range l.cuts {
		if kind != "" {
			pids[entry] = l.pids[entry]
		}
	}
	l.mu.Unlock()
	for entry, pid := range pids {
		if socketPorts(pid)[port] {
			return entry
		}
	}
	return ""
}

// listen returns a listener at a free address whose connections these links carry.
func (l *links) listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	linked := &linkListener{TCPListener: listener.(*net.TCPListener), links: l, accepted: make(chan net.Conn)}
	go linked.run()
	return linked
}

// linkListener accepts connections one beside the other, as finding out whose they are takes
// long on a busy machine.
type linkListener struct {
	*net.TCPListener
	links    *links
	accepted chan net.Conn
}

func (l *linkListener) run() {
	var admitting sync.WaitGroup
	defer func() { go func() { admitting.Wait(); close(l.accepted) }() }()
	for {
		raw, err := l.AcceptTCP()
		if err != nil {
			return
		}
		admitting.Go(func() { l.admit(raw) })
	}
}

// admit hands a connection to the server, or resets it if its link is cut.
func (l *linkListener) admit(raw *net.TCPConn) {
	c := &linkConn{TCPConn: raw, links: l.links, port: raw.RemoteAddr().(*net.TCPAddr).Port}
	c.entry = l.links.owner(c.port)
	if kind := l.links.of(c); kind == cutReset || kind == cutLive {
		_ = raw.SetLinger(0)
		_ = raw.Close()
		return
	}
	l.links.mu.Lock()
	l.links.conns[c] = true
	l.links.mu.Unlock()
	select {
	case l.accepted <- c:
	case <-time.After(waitTimeout):
		_ = c.Close()
	}
}

func (l *linkListener) Accept() (net.Conn, error) {
	c, ok := <-l.accepted
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// linkConn is a connection to a server. Its entry is known once a link was cut.
type linkConn struct {
	*net.TCPConn
	links *links
	port  int
	// entry is guarded by the links' lock.
	entry string
}

// await waits while the link hangs.
func (c *linkConn) await() {
	for c.links.of(c) == cutHang {
		time.Sleep(10 * time.Millisecond)
	}
}

func (c *linkConn) Read(data []byte) (int, error) {
	n, err := c.TCPConn.Read(data)
	c.await()
	return n, err
}

func (c *linkConn) Write(data []byte) (int, error) {
	c.await()
	return c.TCPConn.Write(data)
}

func (c *linkConn) Close() error {
	c.links.mu.Lock()
	delete(c.links.conns, c)
	c.links.mu.Unlock()
	return c.TCPConn.Close()
}

// socketPorts returns the local ports of a process's sockets.
func socketPorts(pid int) map[int]bool {
	inodes := make(map[string]bool)
	files, _ := filepath.Glob("/proc/" + strconv.Itoa(pid) + "/fd/*")
	for _, file := range files {
		target, _ := os.Readlink(file)
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	ports := make(map[int]bool)
	table, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 10 || !inodes[fields[9]] {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		if number, err := strconv.ParseUint(port, 16, 16); err == nil {
			ports[int(number)] = true
		}
	}
	return ports
}

// watch lets the links know the processes of all entries.
func (l *links) watch(h *hostedCluster) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, v := range h.vms {
		if name[0] == 'e' {
			l.pids[name] = v.cmd.Process.Pid
		}
	}
}

// newLinkedCluster starts entries and servers of each service, all linked through links.
func newLinkedCluster(t *testing.T, entries, servers int) (*hostedCluster, *links) {
	t.Helper()
	h, l := newHostedCluster(t, entries), newLinks()
	l.watch(h)
	for i := range servers {
		for prefix, service := range map[string]string{"i-m": "models", "i-a": "ledger"} {
			e := newHostedEngine(prefix+strconv.Itoa(i), service)
			e.eventInterval.Set(10)
			h.platform.addAt(t, e, l.listen(t))
		}
	}
	h.applyDocument(document(7))
	return h, l
}

// An entry that is cut off from all servers sees each of them reset its connections. That is
// no evidence against the requests that were under way, at this entry or at others.
func TestHostedCutOffEntryBarsNothing(t *testing.T) {
	const cutFor = 6 * time.Second
	h, l := newLinkedCluster(t, crashEntries, 6)
	lookups, streams := markedRequests[0], markedRequests[3]
	lookups.soundPath = func() string { return "/records/popular" }
	stop := make(chan struct{})
	soundLookups, soundStreams := lookups.soundLoad(h, 20, stop), streams.soundLoad(h, 20, stop)
	time.Sleep(time.Second)
	for range 3 {
		l.set("e3", cutReset)
		time.Sleep(cutFor / 3)
		l.set("e3", "")
		time.Sleep(100 * time.Millisecond)
	}
	joined := time.Now().Add(time.Second)
	time.Sleep(3 * time.Second)
	close(stop)
	sent, whole := soundLookups.count(joined, time.Now())
	streamsSent, streamsWhole := soundStreams.count(joined, time.Now())
	t.Logf("after the cut: %d of %d lookups of one record and %d of %d streams whole", whole, sent, streamsWhole, streamsSent)
	for n := range crashEntries {
		name := fmt.Sprintf("e%d", n+1)
		if lines := h.linesWith(name, `change="barred"`); len(lines) > 0 {
			t.Errorf("%s bars a sound request: %s", name, lines[0])
		}
	}
	if whole < sent || streamsWhole < streamsSent {
		t.Errorf("%d of %d lookups and %d of %d streams were whole after the cut, want all", whole, sent, streamsWhole, streamsSent)
	}
}

// Callers of an entry that is cut off from all servers are served nearly as well as those of the
// others, from the stability time after the cut on, and as before soon after it.
func TestHostedCutOffEntryServes(t *testing.T) {
	const (
		cutEntry = "e3"
		cutFor   = 9 * time.Second
		backIn   = time.Second
		// atCut and among give the share that callers of the cut entry are served of what those
		// of the others are, at least.
		atCut, among = 2, 3
	)
	for _, kind := range []cut{cutReset, cutHang, cutLive} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			h, l := newLinkedCluster(t, crashEntries, 6)
			stop := make(chan struct{})
			var loads []*soundCalls
			for i := range markedRequests {
				loads = append(loads, markedRequests[i].soundLoad(h, 15, stop))
			}
			time.Sleep(2 * time.Second)
			began := time.Now()
			l.set(cutEntry, kind)
			time.Sleep(cutFor)
			l.set(cutEntry, "")
			ended := time.Now()
			time.Sleep(3 * time.Second)
			close(stop)
			for i, load := range loads {
				from, to := began.Add(crashStability), ended.Add(-time.Second)
				sent, whole := load.countAt(from, to, func(entry string) bool { return entry == cutEntry })
				othersSent, othersWhole := load.countAt(from, to, func(entry string) bool { return entry != cutEntry })
				afterSent, afterWhole := load.countAt(ended.Add(backIn), time.Now(), func(entry string) bool { return entry == cutEntry })
				name := markedRequests[i].name
				t.Logf("%s: %d of %d whole at the cut entry, %d of %d at the others; %d of %d after the cut", name, whole, sent, othersWhole, othersSent, afterWhole, afterSent)
				if among*whole*othersSent < atCut*othersWhole*sent {
					t.Errorf("%s: %d of %d were whole at the cut entry and %d of %d at the others, want at least two thirds as many", name, whole, sent, othersWhole, othersSent)
				}
				if 10*othersWhole < 9*othersSent || 10*afterWhole < 9*afterSent {
					t.Errorf("%s: %d of %d were whole at the others and %d of %d after the cut, want nine tenths", name, othersWhole, othersSent, afterWhole, afterSent)
				}
			}
		})
	}
}
