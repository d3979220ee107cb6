package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"waxwingcart/internal/settings"
)

// Settings of these tests. The bounds follow from the memory and descriptors of the VM under test.
const (
	// intakeMemoryMB is the memory of the VM under test, which its settings state. The
	// process's largest resident size has to stay below it.
	intakeMemoryMB = 96
	// intakeDescriptors is the limit of open descriptors with which the process starts.
	// It has to keep a quarter of them for its own connections and files.
	intakeDescriptors    = 400
	maxIntakeDescriptors = intakeDescriptors * 3 / 4
	// intakeCrowd connections with a body each need 1.25 times intakeMemoryMB.
	intakeCrowd = 120
	intakeBody  = 1<<20 - 1
	// intakeConnections is limits.connections where the tests hold all connections.
	intakeConnections = 60
	// intakeSurplus connections are more than intakeDescriptors.
	intakeSurplus = 450
	// controlCrowd documents of controlBody bytes need 2.5 times intakeMemoryMB.
	controlCrowd = 60
	controlBody  = 4<<20 - 1
	// crowdWriteTime ends a writer to a process that has stopped to read.
	crowdWriteTime = 10 * time.Second
)

// smallCluster returns a deployment in which one process was started again as on a
// small VM.
func smallCluster(t *testing.T, name string) *hostedCluster {
	t.Helper()
	h := newHostedCluster(t, 1)
	h.platform.addEngine(t, "i-a1", "ledger")
	h.applyDocument(document(7))
	connections := intakeSurplus
	if t.Name() == "TestHostedIntakeDeclaredTooLong" || t.Name() == "TestHostedIntakeUndeclaredTooLong" {
		connections = intakeConnections
	}
	h.restartSmall(name, intakeMemoryMB, intakeDescriptors, connections)
	h.eventually("a caller is served", h.servesCaller)
	h.eventually("a document is read", func() bool { return h.version("r1") == 7 })
	return h
}

// restartSmall starts a process again as on a VM with little memory and few descriptors.
func (h *hostedCluster) restartSmall(name string, memoryMB, descriptors, connections int) {
	t := h.t
	t.Helper()
	_ = h.stop(name, syscall.SIGTERM)
	v := h.vms[name]
	data, err := os.ReadFile(v.settingsPath)
	if err != nil {
		t.Fatal(err)
	}
	process := settings.DefaultProcess()
	if err := json.Unmarshal(data, &process); err != nil {
		t.Fatal(err)
	}
	process.Bootstrap = false
	process.MemoryMB = memoryMB
	process.Limits.Connections = connections
	// A body or header may take longer than the test does.
	process.Timeouts.ReadBodyMS, process.Timeouts.ReadHeaderMS = 300_000, 300_000
	if data, err = json.Marshal(process); err != nil {
		t.Fatal(err)
	}
	h.writeFile(name+".json", string(data))
	logFile, err := os.OpenFile(v.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer logFile.Close()
	v.cmd = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" run --config "$1"`, descriptors), binaryPath, v.settingsPath)
	v.cmd.Stdout, v.cmd.Stderr = logFile, logFile
	if err := v.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	h.eventually("the process answers", func() bool { return h.metricsOf(name) != "" })
}

// servesCaller reports whether an ordinary request of a caller on a new connection is
// answered.
func (h *hostedCluster) servesCaller() bool {
	h.client.CloseIdleConnections()
	return h.call("e1", "POST", "/claims/1", "ordinary", callerKey, "call").status == http.StatusOK
}

var peakPattern = regexp.MustCompile(`(?m)^VmHWM:\s+(\d+) kB$`)

// checkBounds fails the test if a process has ended, its largest resident size exceeded
// its VM's memory, or it has more descriptors open than it may have. Descriptors are
// counted while the crowd's connections are open.
func (h *hostedCluster) checkBounds(name string) {
	h.t.Helper()
	dir := fmt.Sprintf("/proc/%d", h.vms[name].cmd.Process.Pid)
	peakKB := h.peakKB(name)
	descriptors, err := os.ReadDir(dir + "/fd")
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Logf("%s: largest resident size %d MB, %d descriptors", name, peakKB>>10, len(descriptors))
	if peakKB > intakeMemoryMB<<10 {
		h.t.Errorf("%s had %d MB in memory, its VM has %d MB", name, peakKB>>10, intakeMemoryMB)
	}
	if len(descriptors) > maxIntakeDescriptors {
		h.t.Errorf("%s has %d descriptors open, want at most %d", name, len(descriptors), maxIntakeDescriptors)
	}
}

// peakKB returns the largest resident size of a process in KiB. It fails the test if the process has ended.
func (h *hostedCluster) peakKB(name string) int {
	h.t.Helper()
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.vms[name].cmd.Process.Pid))
	found := peakPattern.FindSubmatch(status)
	if found == nil {
		h.t.Fatalf("%s has ended", name)
	}
	peakKB, _ := strconv.Atoi(string(found[1]))
	return peakKB
}

// crowd opens connections whose senders write at the same time, and returns once each
// has written, failed, or met a process that no longer reads. The connections stay open
// until the test ends.
func (h *hostedCluster) crowd(address string, size int, send func(conn net.Conn, number int) error) {
	h.t.Helper()
	h.crowdFor(address, size, crowdWriteTime, send, func() {})
}

// crowdFor is like crowd with a limit to the time of each sender's writes. It calls beside while
// they write.
func (h *hostedCluster) crowdFor(address string, size int, writeTime time.Duration, send func(conn net.Conn, number int) error, beside func()) {
	h.t.Helper()
	var senders sync.WaitGroup
	for i := range size {
		conn, err := net.DialTimeout("tcp", address, crowdWriteTime)
		if err != nil {
			continue
		}
		h.t.Cleanup(func() { _ = conn.Close() })
		senders.Go(func() {
			_ = conn.SetWriteDeadline(time.Now().Add(writeTime))
			_ = send(conn, i)
		})
	}
	beside()
	senders.Wait()
	// Lets the process read what lies in the sockets.
	time.Sleep(time.Second)
}

// crowdHead returns the head of a crowd's request; framing is its last line. Calls
// between processes carry no key on a private network.
func crowdHead(path string, number int, framing string) string {
	key := "Authorization: Bearer " + callerKey + "\r\n"
	if strings.HasPrefix(path, "/twirp/") {
		key = ""
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: desk.example\r\n%sWaxwingcart-Request-Id: crowd-%d\r\nWaxwingcart-Deadline-Ms: 8000\r\n"+
		"Content-Type: application/protobuf\r\n%s\r\n\r\n", path, key, number, framing)
}

// writePieces writes data in pieces.
func writePieces(conn net.Conn, data string, piece int) error {
	for len(data) > 0 {
		n := min(piece, len(data))
		if _, err := io.WriteString(conn, data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// stalls reports whether a member of a crowd stops short of its body's end; one of
// eight does not.
func stalls(number int) bool { return number%8 != 0 }

// sized returns a sender of bodies of a declared length in pieces, most of which
// stall one byte before their end.
func sized(path string, size, piece int) func(net.Conn, int) error {
	body := strings.Repeat("x", size)
	return func(conn net.Conn, number int) error {
		if _, err := io.WriteString(conn, crowdHead(path, number, "Content-Length: "+strconv.Itoa(size))); err != nil {
			return err
		}
		if stalls(number) {
			return writePieces(conn, body[:size-1], piece)
		}
		return writePieces(conn, body, piece)
	}
}

// chunked returns a sender of chunked bodies, most of which stall before their last
// chunk.
func chunked(path string, size, chunk int) func(net.Conn, int) error {
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	body := strings.Repeat(one, size/chunk)
	return func(conn net.Conn, number int) error {
		if _, err := io.WriteString(conn, crowdHead(path, number, "Transfer-Encoding: chunked")+body); err != nil || stalls(number) {
			return err
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err
	}
}

// checkCallersCrowd sends a crowd to the callers' port of an entry and checks the entry.
func checkCallersCrowd(t *testing.T, send func(net.Conn, int) error) {
	h := smallCluster(t, "e1")
	h.crowd(h.vms["e1"].callerAddress, intakeCrowd, send)
	h.checkBounds("e1")
	if !h.servesCaller() {
		t.Error("an ordinary request was not answered beside the crowd")
	}
	h.checkBounds("e1")
}

// An entry's memory must not grow beyond its VM's under bodies that were sent at once,
// most of which stall before their end.
func TestHostedIntakeWholeBodies(t *testing.T) {
	checkCallersCrowd(t, sized("/claims/1", intakeBody, intakeBody))
}

// An entry's memory must not grow beyond its VM's under bodies that arrive piece by
// piece, so that all of them grow side by side.
func TestHostedIntakePieces(t *testing.T) {
	checkCallersCrowd(t, sized("/claims/1", intakeBody, 4<<10))
}

// An entry's memory must not grow beyond its VM's under bodies in large chunks.
func TestHostedIntakeLargeChunks(t *testing.T) {
	checkCallersCrowd(t, chunked("/claims/1", intakeBody, 128<<10-1))
}

// An entry's memory must not grow beyond its VM's under bodies in chunks of 8 bytes.
func TestHostedIntakeSmallChunks(t *testing.T) {
	checkCallersCrowd(t, chunked("/claims/1", intakeBody, 8))
}

// Callers whose bodies are refused by their declared length must not hold an entry's
// connections by sending on slowly.
func TestHostedIntakeDeclaredTooLong(t *testing.T) {
	checkCallersCrowd(t, func(conn net.Conn, number int) error {
		_, err := io.WriteString(conn, crowdHead("/claims/1", number, "Content-Length: 67108864")+strings.Repeat("x", 64<<10))
		return err
	})
}

// Callers whose chunked bodies are refused at the limit must not hold an entry's memory
// or connections by sending on.
func TestHostedIntakeUndeclaredTooLong(t *testing.T) {
	checkCallersCrowd(t, chunked("/claims/1", 4<<20, 64<<10))
}

// silent returns a sender of half a request header.
func silent(conn net.Conn, number int) error {
	head := crowdHead("/claims/1", number, "X-Half: 1")
	_, err := io.WriteString(conn, head[:len(head)-4])
	return err
}

// Connections without a request must not use up an entry's descriptors, at the port of
// callers or that of readiness checks.
func TestHostedIntakeCallersPort(t *testing.T) {
	checkSurplus(t, "e1", func(v *vm) string { return v.callerAddress })
}

func TestHostedIntakeReadyPort(t *testing.T) {
	checkSurplus(t, "e1", func(v *vm) string { return portOf(v, hostedReadyPort) })
}

// Connections without a request must not use up a process's descriptors at its other
// ports.
func TestHostedIntakeAdminConnections(t *testing.T) {
	checkSurplus(t, "e1", func(v *vm) string { return v.adminAddress })
}

func TestHostedIntakeControlConnections(t *testing.T) {
	checkSurplus(t, "r1", func(v *vm) string { return portOf(v, hostedControlPort) })
}

func TestHostedIntakePeerConnections(t *testing.T) {
	checkSurplus(t, "r1", func(v *vm) string { return v.peerAddress })
}

// portOf returns the address of a VM's port.
func portOf(v *vm, port int) string {
	ip, _, _ := strings.Cut(v.peerAddress, ":")
	return net.JoinHostPort(ip, strconv.Itoa(port))
}

func checkSurplus(t *testing.T, name string, address func(*vm) string) {
	h := smallCluster(t, name)
	h.crowd(address(h.vms[name]), intakeSurplus, silent)
	h.checkBounds(name)
	if !h.servesCaller() {
		t.Error("an ordinary request was not answered beside the crowd")
	}
	if status := statusAt(portURL(h, name, address)); status == 0 {
		t.Error("a request to the port was not answered beside the crowd")
	}
	h.checkBounds(name)
}

func portURL(h *hostedCluster, name string, address func(*vm) string) string {
	return "http://" + address(h.vms[name]) + "/"
}

// statusAt returns the status of the answer to a GET request on a connection of its own,
// or 0.
func statusAt(url string) int {
	client := http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(url)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// checkPortCrowd sends a crowd of long bodies to another port than the callers' and
// checks the process.
func checkPortCrowd(t *testing.T, name string, address func(*vm) string, path string) {
	h := smallCluster(t, name)
	h.crowd(address(h.vms[name]), controlCrowd, sized(path, controlBody, 64<<10))
	h.checkBounds(name)
	if status := statusAt(portURL(h, name, address)); status == 0 {
		t.Error("a request to the port was not answered beside the crowd")
	}
	if !h.servesCaller() {
		t.Error("an ordinary request was not answered beside the crowd")
	}
	h.checkBounds(name)
}

// Documents that stall before their end must not use up a replica's memory.
func TestHostedIntakeControlPort(t *testing.T) {
	checkPortCrowd(t, "r1", func(v *vm) string { return portOf(v, hostedControlPort) }, "/v1/config/put")
}

// Calls of operators that stall before their end must not use up a process's memory.
func TestHostedIntakeAdminPort(t *testing.T) {
	checkPortCrowd(t, "e1", func(v *vm) string { return v.adminAddress }, "/twirp/waxwingcart.Operator/ApplyConfig")
}

// Calls of other processes that stall before their end must not use up a replica's memory.
func TestHostedIntakeReplicaPeerPort(t *testing.T) {
	checkPortCrowd(t, "r1", func(v *vm) string { return v.peerAddress }, "/twirp/waxwingcart.Replica/FetchConfig")
}

// Calls of other processes that stall before their end must not use up an entry's memory.
func TestHostedIntakeEntryPeerPort(t *testing.T) {
	checkPortCrowd(t, "e1", func(v *vm) string { return v.peerAddress }, "/twirp/waxwingcart.Peer/Exchange")
}
