package e2e

import (
	"encoding/hex"
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
// a connection comes from is read from /proc, before the first byte.
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
	for c := range l.conns {
		if c.entry == entry && kind == cutReset {
			_ = c.TCPConn.SetLinger(0)
			_ = c.TCPConn.Close()
		}
	}
}

func (l *links) of(entry string) cut {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts[entry]
}

// listen returns a listener at a free address whose connections these links carry.
func (l *links) listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &linkListener{listener.(*net.TCPListener), l}
}

type linkListener struct {
	*net.TCPListener
	links *links
}

func (l *linkListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		c := &linkConn{TCPConn: raw, links: l.links, entry: l.links.owner(raw.RemoteAddr().(*net.TCPAddr).Port)}
		if kind := l.links.of(c.entry); kind == cutReset || kind == cutLive {
			_ = raw.SetLinger(0)
			_ = raw.Close()
			continue
		}
		l.links.mu.Lock()
		l.links.conns[c] = true
		l.links.mu.Unlock()
		return c, nil
	}
}

// linkConn is a connection of an entry.
type linkConn struct {
	*net.TCPConn
	links *links
	entry string
}

// await waits while the link hangs.
func (c *linkConn) await() {
	for c.links.of(c.entry) == cutHang {
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

// owner returns the entry whose process has the socket at a local port, or "".
func (l *links) owner(port int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	inode := socketInode(port)
	for entry, pid := range l.pids {
		if inode != "" && hasSocket(pid, inode) {
			return entry
		}
	}
	return ""
}

// socketInode returns the inode of the socket at a local port of the loopback network.
func socketInode(port int) string {
	table, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 10 {
			continue
		}
		_, hexPort, _ := strings.Cut(fields[1], ":")
		if raw, err := hex.DecodeString(hexPort); err == nil && len(raw) == 2 && int(raw[0])<<8|int(raw[1]) == port && fields[9] != "0" {
			return fields[9]
		}
	}
	return ""
}

func hasSocket(pid int, inode string) bool {
	files, _ := filepath.Glob("/proc/" + strconv.Itoa(pid) + "/fd/*")
	for _, file := range files {
		if target, _ := os.Readlink(file); target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
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
	count, countStreams := lookups.soundLoad(h, 20, stop), streams.soundLoad(h, 20, stop)
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
	sent, whole := count(joined, time.Now())
	streamsSent, streamsWhole := countStreams(joined, time.Now())
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
