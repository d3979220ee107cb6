package e2e

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// vmSize is the size of the VM under test.
type vmSize struct{ memoryMB, descriptors int }

// Sizes of VMs. The entries' and the replicas' are the smallest of deployments; the others have less memory, so that
// a smaller crowd shows whether memory is bounded.
var (
	tinyVM         = vmSize{memoryMB: 96, descriptors: 4096}
	smallEntryVM   = vmSize{memoryMB: 144, descriptors: 3075}
	smallReplicaVM = vmSize{memoryMB: 256, descriptors: 4096}
)

const (
	// pipelinedBody is the length of a pipelined request's body, and largeBody that of a large request or answer.
	pipelinedBody = 200 << 10
	largeBody     = 4 << 20
	// unreadWriteTime is how long a member of a crowd goes on writing.
	unreadWriteTime = 6 * time.Second
	// heldTime is how long a backend server holds a request while further ones arrive behind it.
	heldTime = 300 * time.Millisecond
	// floodEvent is the length of an event of a stream without end.
	floodEvent = 4 << 10
)

// reservedDescriptors are those of a process's descriptors that are kept for files.
const reservedDescriptors = 200

// unreadServer is a backend server for crowds.
type unreadServer struct{ id string }

func (s unreadServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body)
	w.Header().Set("Waxwingcart-Request-Id", req.Header.Get("Waxwingcart-Request-Id"))
	w.Header().Set("Waxwingcart-Stamp", "stamp-"+s.id)
	switch {
	case strings.HasPrefix(req.URL.Path, "/large/"):
		w.Header().Set("Content-Length", strconv.Itoa(largeBody))
		piece := make([]byte, 64<<10)
		for left := largeBody; left > 0; left -= len(piece) {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	case strings.HasPrefix(req.URL.Path, "/flood/"):
		w.Header().Set("Content-Type", "text/event-stream")
		event := strings.Repeat("x", floodEvent)
		for i, err := 0, error(nil); err == nil; i++ {
			_, err = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, event)
		}
	default:
		time.Sleep(heldTime)
		_, _ = io.WriteString(w, "held")
	}
}

// unreadRoutes are the routes of crowds.
func unreadRoutes() []map[string]any {
	route := func(name, kind string) map[string]any {
		return map[string]any{"name": name, "host": "desk.example", "path_prefix": "/" + name + "/", "type": kind,
			"timeout_ms": 8000, "attempts": 1, "service": "crowd"}
	}
	large := route("large", "safe")
	large["attempts"] = 2
	return []map[string]any{route("held", "unsafe"), large, route("flood", "stream")}
}

// unreadCluster returns a deployment in which one process was started again on a small VM.
func unreadCluster(t *testing.T, name string, size vmSize, extraRoutes ...map[string]any) *hostedCluster {
	t.Helper()
	h := newHostedCluster(t, 1)
	h.platform.addEngine(t, "i-a1", "ledger")
	for _, id := range []string{"i-c1", "i-c2"} {
		e := newHostedEngine(id, "crowd")
		e.address = serveLoopback(t, "127.0.0.1:0", unreadServer{id})
		h.platform.mu.Lock()
		h.platform.engines = append(h.platform.engines, e)
		h.platform.mu.Unlock()
	}
	content := document(7, append(unreadRoutes(), extraRoutes...)...)
	content["services"] = append(content["services"].([]map[string]any), map[string]any{"name": "crowd"})
	content["limits"] = map[string]any{"max_body_bytes": largeBody}
	h.applyDocument(content)
	h.restartSmall(name, size.memoryMB, size.descriptors, settingsConnections)
	h.eventually("a caller is served", h.servesCaller)
	h.eventually("a document is read", func() bool { return h.version("r1") == 7 })
	return h
}

// settingsConnections is limits.connections as it is without settings.
const settingsConnections = 4096

// unreadCrowd is a crowd at a port of a process.
type unreadCrowd struct {
	vm      string
	size    vmSize
	callers int
	port    func(*vm) string
	send    func(conn net.Conn, number int) error
	// beside is called while the crowd writes.
	beside func(h *hostedCluster)
	routes []map[string]any
}

// run sends the crowd. It fails the test if the process ends, if its memory, unread bytes included, exceeds that of its
// VM, if it has more descriptors open than it may have for sockets, or if an ordinary request is not
// answered beside the crowd.
func (c unreadCrowd) run(t *testing.T) {
	h := unreadCluster(t, c.vm, c.size, c.routes...)
	pid := h.vms[c.vm].cmd.Process.Pid
	watch := watchMemory(t, pid)
	h.crowdFor(c.port(h.vms[c.vm]), c.callers, unreadWriteTime, c.send, func() {
		if c.beside != nil {
			c.beside(h)
		}
	})
	served := h.servesCaller()
	answered := statusAt("http://"+c.port(h.vms[c.vm])+"/") != 0
	use := watch.most()
	t.Logf("%s with %d MB: %s", c.vm, c.size.memoryMB, use)
	if _, alive := memoryOf(pid); !alive {
		t.Fatalf("%s has ended", c.vm)
	}
	if !served {
		t.Error("an ordinary request was not answered beside the crowd")
	}
	if !answered {
		t.Error("a request to the port was not answered beside the crowd")
	}
	if use.total() > int64(c.size.memoryMB)<<20 {
		t.Errorf("%s used %s, its VM has %d MB", c.vm, use, c.size.memoryMB)
	}
	if most := c.size.descriptors - reservedDescriptors; use.descriptors > most {
		t.Errorf("%s had %d descriptors open, want at most %d", c.vm, use.descriptors, most)
	}
}

func callersPort(v *vm) string { return v.callerAddress }
func controlPort(v *vm) string { return portOf(v, hostedControlPort) }
func readyPort(v *vm) string   { return portOf(v, hostedReadyPort) }
func peersPort(v *vm) string   { return v.peerAddress }
func adminPort(v *vm) string   { return v.adminAddress }

// pipelined returns a sender of requests with bodies, one behind the other without waiting for answers.
func pipelined(path string) func(net.Conn, int) error {
	body := strings.Repeat("x", pipelinedBody)
	return func(conn net.Conn, number int) error {
		for {
			if _, err := io.WriteString(conn, crowdHead(path, number, "Content-Length: "+strconv.Itoa(len(body)))+body); err != nil {
				return err
			}
		}
	}
}

// asking returns a sender of one short request whose answer is not read.
func asking(path string) func(net.Conn, int) error {
	return func(conn net.Conn, number int) error {
		_, err := io.WriteString(conn, crowdHead(path, number, "Content-Length: 4")+"call")
		return err
	}
}

// longHeader sends a request's header of nearly the limit, without its end.
func longHeader(conn net.Conn, number int) error {
	head := strings.TrimSuffix(crowdHead("/held/1", number, "X-Long: "+strings.Repeat("x", 15<<10)), "\r\n")
	_, err := io.WriteString(conn, head)
	return err
}

// Bytes of pipelined requests that lie unread while an earlier request of their connection runs count against the VM's
// memory.
func TestHostedIntakeUnreadPipelined(t *testing.T) {
	unreadCrowd{vm: "e1", size: tinyVM, callers: 300, port: callersPort, send: pipelined("/held/1")}.run(t)
}

// The same on the smallest VM of a deployment, with more callers.
func TestHostedIntakeUnreadPipelinedSmallestVM(t *testing.T) {
	unreadCrowd{vm: "e1", size: smallEntryVM, callers: 600, port: callersPort, send: pipelined("/held/1")}.run(t)
}

// Callers that read none of their long answers must not make an entry hold all of them.
func TestHostedIntakeUnreadAnswers(t *testing.T) {
	unreadCrowd{vm: "e1", size: tinyVM, callers: 300, port: callersPort, send: asking("/large/1")}.run(t)
}

// As many callers as the descriptors of the smallest VM of a deployment allow, all of which read nothing.
func TestHostedIntakeUnreadAnswersSmallestVM(t *testing.T) {
	unreadCrowd{vm: "e1", size: smallEntryVM, callers: 1500, port: callersPort, send: asking("/large/1")}.run(t)
}

// The same with less memory than a connection each takes.
func TestHostedIntakeUnreadAnswersManyCallers(t *testing.T) {
	unreadCrowd{vm: "e1", size: tinyVM, callers: 1500, port: callersPort, send: asking("/large/1")}.run(t)
}

// Streams without end whose callers read nothing must not pile up at the entry, in its memory or in the buffers of its
// connections to servers.
func TestHostedIntakeUnreadStreams(t *testing.T) {
	unreadCrowd{vm: "e1", size: tinyVM, callers: 300, port: callersPort, send: asking("/flood/1")}.run(t)
}

// Pipelined requests of as many callers as the smallest VM's descriptors allow.
func TestHostedIntakeUnreadPipelinedManyCallers(t *testing.T) {
	unreadCrowd{vm: "e1", size: smallEntryVM, callers: 1500, port: callersPort, send: pipelined("/held/1")}.run(t)
}

// Headers without end of as many callers as the smallest VM's descriptors allow.
func TestHostedIntakeUnreadHeaders(t *testing.T) {
	unreadCrowd{vm: "e1", size: smallEntryVM, callers: 1500, port: callersPort, send: longHeader}.run(t)
}

// Bodies of the largest legal size that arrive in pieces.
func TestHostedIntakeUnreadPieces(t *testing.T) {
	unreadCrowd{vm: "e1", size: tinyVM, callers: 300, port: callersPort, send: sized("/held/1", largeBody-1, 16<<10)}.run(t)
}

// Bodies in chunks of one byte.
func TestHostedIntakeUnreadTinyChunks(t *testing.T) {
	unreadCrowd{vm: "e1", size: tinyVM, callers: 300, port: callersPort, send: chunked("/held/1", 256<<10, 1)}.run(t)
}

// Bodies over the limit that are sent on after their refusal.
func TestHostedIntakeUnreadTooLong(t *testing.T) {
	unreadCrowd{vm: "e1", size: tinyVM, callers: 300, port: callersPort, send: sized("/held/1", 64<<20, 64<<10)}.run(t)
}

// Bodies on requests to the port of readiness checks, which reads none.
func TestHostedIntakeUnreadReadyPort(t *testing.T) {
	unreadCrowd{vm: "e1", size: tinyVM, callers: 600, port: readyPort, send: pipelined("/v1/readyz")}.run(t)
}

// Pipelined calls to an entry's port for peers.
func TestHostedIntakeUnreadEntryPeerPort(t *testing.T) {
	unreadCrowd{vm: "e1", size: tinyVM, callers: 600, port: peersPort, send: pipelined("/twirp/waxwingcart.Peer/Exchange")}.run(t)
}

// Pipelined calls to the port of operators.
func TestHostedIntakeUnreadAdminPort(t *testing.T) {
	unreadCrowd{vm: "e1", size: tinyVM, callers: 600, port: adminPort, send: pipelined("/twirp/waxwingcart.Operator/ApplyConfig")}.run(t)
}

// Pipelined documents at the control port of the smallest replica.
func TestHostedIntakeUnreadControlPort(t *testing.T) {
	unreadCrowd{vm: "r1", size: smallReplicaVM, callers: 600, port: controlPort, send: pipelined("/v1/config/put")}.run(t)
}

// Pipelined calls to the port for peers of the smallest replica.
func TestHostedIntakeUnreadReplicaPeerPort(t *testing.T) {
	unreadCrowd{vm: "r1", size: smallReplicaVM, callers: 1500, port: peersPort, send: pipelined("/twirp/waxwingcart.Replica/FetchConfig")}.run(t)
}

// longConfiguration returns the routes of a long configuration.
func longConfiguration() []map[string]any {
	const routes = 20_000
	extra := make([]map[string]any, routes)
	for i := range extra {
		extra[i] = map[string]any{"name": fmt.Sprintf("r%d", i), "host": fmt.Sprintf("h%d.example", i), "path_prefix": "/", "type": "safe",
			"timeout_ms": 1500, "slo_ms": 150, "service": "ledger", "attempts": 2}
	}
	return extra
}

// A crowd beside a long configuration.
func TestHostedIntakeUnreadLongConfiguration(t *testing.T) {
	unreadCrowd{vm: "e1", size: smallEntryVM, callers: 600, port: callersPort, send: pipelined("/held/1"), routes: longConfiguration()}.run(t)
}

// raw returns a sender of one request whose answer is not read.
func raw(request string) func(net.Conn, int) error {
	return func(conn net.Conn, _ int) error {
		_, err := io.WriteString(conn, request)
		return err
	}
}

// jsonCall returns a call to another process's port with an empty message.
func jsonCall(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: peer\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
}

// Long configurations that are asked for and not read must not pile up at the smallest replica.
func TestHostedIntakeUnreadDocuments(t *testing.T) {
	unreadCrowd{vm: "r1", size: smallReplicaVM, callers: 600, port: controlPort, routes: longConfiguration(),
		send: raw("GET /v1/config/get HTTP/1.1\r\nHost: control\r\n\r\n")}.run(t)
}

// The same at the port of other processes.
func TestHostedIntakeUnreadPeerAnswers(t *testing.T) {
	unreadCrowd{vm: "r1", size: smallReplicaVM, callers: 1500, port: peersPort, routes: longConfiguration(),
		send: raw(jsonCall("/twirp/waxwingcart.Replica/FetchConfig"))}.run(t)
}

// The same at the port of operators.
func TestHostedIntakeUnreadAdminAnswers(t *testing.T) {
	unreadCrowd{vm: "r1", size: smallReplicaVM, callers: 600, port: adminPort, routes: longConfiguration(),
		send: raw("GET /dump HTTP/1.1\r\nHost: admin\r\n\r\n")}.run(t)
}

// A crowd beside ordinary requests, all of which are answered.
func TestHostedIntakeUnreadOrdinaryLoad(t *testing.T) {
	const ordinary = 40
	unreadCrowd{vm: "e1", size: smallEntryVM, callers: 600, port: callersPort, send: asking("/large/1"), beside: func(h *hostedCluster) {
		for range ordinary {
			if answer := h.call("e1", "POST", "/claims/1", "ordinary", callerKey, "call"); answer.status == 0 {
				t.Error("an ordinary request was not answered beside the crowd")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}}.run(t)
}

// An entry that lacks the memory for a crowd's answers must not take their servers for faulty: ordinary requests to the
// same servers are served, and none of the crowd's is sent to further servers.
func TestHostedIntakeUnreadSameService(t *testing.T) {
	const ordinary = 10
	unreadCrowd{vm: "e1", size: tinyVM, callers: 300, port: callersPort, send: asking("/large/1"), beside: func(h *hostedCluster) {
		for i := range ordinary {
			time.Sleep(200 * time.Millisecond)
			if answer := h.call("e1", "POST", "/held/1", fmt.Sprintf("ordinary-%d", i), callerKey, "call"); answer.status != http.StatusOK {
				t.Errorf("an ordinary request to the crowd's servers got status %d", answer.status)
			}
		}
		failed := h.linesWith("e1", `msg="attempt failed"`)
		further := 0
		for _, line := range failed {
			if strings.Contains(line, " attempt=2 ") {
				further++
			}
		}
		t.Logf("%d attempts failed, %d of them at further servers", len(failed), further)
		if further > 0 {
			t.Error("requests whose answers the entry had no memory for were sent to further servers")
		}
	}}.run(t)
}

// A process that is stopped beside a crowd ends by itself, within its memory.
func TestHostedIntakeUnreadStop(t *testing.T) {
	h := unreadCluster(t, "e1", tinyVM)
	process := h.vms["e1"].cmd
	watch := watchMemory(t, process.Process.Pid)
	ended := make(chan error, 1)
	h.crowdFor(callersPort(h.vms["e1"]), 300, unreadWriteTime, pipelined("/held/1"), func() {
		time.Sleep(unreadWriteTime / 3)
		h.signal("e1", syscall.SIGTERM)
		go func() { ended <- process.Wait() }()
	})
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the process ended with %v", err)
		}
	case <-time.After(waitTimeout):
		t.Error("the process did not end")
	}
	use := watch.most()
	t.Logf("e1 with %d MB: %s", tinyVM.memoryMB, use)
	if use.total() > int64(tinyVM.memoryMB)<<20 {
		t.Errorf("e1 used %s, its VM has %d MB", use, tinyVM.memoryMB)
	}
}
