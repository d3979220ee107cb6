package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"waxwingcart/internal/settings"
)

// hostedCluster is a deployment on the stand-in of the hosting platform. Each VM
// has its own loopback address, and all listen on the same ports.
type hostedCluster struct {
	*cluster
	platform *hostedPlatform
	client   *http.Client
	// contended makes entries hold and refuse calls while capacity is insufficient.
	contended bool
	// network is the second octet of the loopback addresses.
	network int
	// replicas is the number of seeds and of voters.
	replicas int
	// replaceVoterMS is the setting of that name of all processes.
	replaceVoterMS float64
}

// freeNetwork returns the second octet of a range of loopback addresses that no
// other run of these tests uses.
func freeNetwork(t testing.TB) int {
	t.Helper()
	for range 1000 {
		network := 10 + rand.IntN(200)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.254:%d", network, hostedPeersPort))
		if err != nil {
			continue
		}
		// The listener stays open until the test ends and marks the network as used.
		t.Cleanup(func() { _ = listener.Close() })
		return network
	}
	t.Fatal("no free loopback network")
	return 0
}

// newHostedCluster starts three replicas, all with the bootstrap setting, and
// entries.
func newHostedCluster(t testing.TB, entries int) *hostedCluster {
	t.Helper()
	return startHostedCluster(t, 3, entries, false)
}

func startHostedCluster(t testing.TB, replicas, entries int, contended bool) *hostedCluster {
	t.Helper()
	h := newStoppedHostedCluster(t, replicas, contended)
	h.startVMs(entries)
	return h
}

// newStoppedHostedCluster returns a deployment of which nothing but the platform runs.
func newStoppedHostedCluster(t testing.TB, replicas int, contended bool) *hostedCluster {
	t.Helper()
	h := &hostedCluster{
		contended:      contended,
		cluster:        &cluster{t: t, dir: t.TempDir(), vms: make(map[string]*vm)},
		platform:       newHostedPlatform(t),
		client:         &http.Client{Timeout: 20 * time.Second},
		network:        freeNetwork(t),
		replicas:       replicas,
		replaceVoterMS: 1_000,
	}
	t.Cleanup(h.stopAll)
	return h
}

// startVMs adds and starts the replicas and the entries.
func (h *hostedCluster) startVMs(entries int) {
	h.t.Helper()
	for i := range h.replicas {
		h.addHostedVM(fmt.Sprintf("r%d", i+1), i)
	}
	for i := range entries {
		h.addHostedVM(fmt.Sprintf("e%d", i+1), 10+i)
	}
	for name, v := range h.vms {
		h.writeHostedSettings(v, true)
		h.start(name)
	}
}

const (
	hostedPeersPort   = 7600
	hostedAdminPort   = 7601
	hostedCallersPort = 8221
	hostedReadyPort   = 8224
	hostedControlPort = 8229
)

func (h *hostedCluster) addHostedVM(name string, number int) {
	at := func(port int) string { return fmt.Sprintf("127.%d.0.%d:%d", h.network, number+1, port) }
	h.vms[name] = &vm{
		name: name, zone: zones[number%len(zones)],
		peerAddress: at(hostedPeersPort), adminAddress: at(hostedAdminPort), callerAddress: at(hostedCallersPort),
		settingsPath: filepath.Join(h.dir, name+".json"), dataDir: filepath.Join(h.dir, name), logPath: filepath.Join(h.dir, name+".log"),
	}
}

func (h *hostedCluster) writeHostedSettings(v *vm, bootstrap bool) {
	process := settings.DefaultProcess()
	process.Name, process.Zone = v.name, v.zone
	process.Trust = settings.TrustNetwork
	process.Platform = h.platform.address
	process.Listen = settings.Listen{Peers: v.peerAddress, Admin: v.adminAddress}
	process.Hosted = &settings.Hosted{GraceS: 5, UsageWindowS: 1, DutyLeaseMS: 500, ContendedCapacity: h.contended}
	process.LostReplicas, process.ReplaceVoterMS = (h.replicas-1)/2, h.replaceVoterMS
	for i := range h.replicas {
		process.Seeds = append(process.Seeds, fmt.Sprintf("127.%d.0.%d:%d", h.network, i+1, hostedControlPort))
	}
	ip, _, _ := strings.Cut(v.peerAddress, ":")
	if v.name[0] == 'e' {
		process.Roles = []settings.Role{settings.RoleEntry}
		process.Listen.Callers = v.callerAddress
		process.Hosted.Ready = ip + ":" + strconv.Itoa(hostedReadyPort)
	} else {
		process.Roles = []settings.Role{settings.RoleReplica}
		process.DataDir = v.dataDir
		process.Bootstrap = bootstrap
		process.Hosted.Control = ip + ":" + strconv.Itoa(hostedControlPort)
	}
	data, err := json.Marshal(process)
	if err != nil {
		h.t.Fatal(err)
	}
	h.writeFile(v.name+".json", string(data))
}

// document returns a configuration document with a model service, an app service
// and the extra routes.
func document(version int, extra ...map[string]any) map[string]any {
	routes := []map[string]any{
		{"name": "dossiers", "host": "desk.example", "path_prefix": "/dossiers/", "type": "stream", "resumable": true, "sticky": true,
			"timeout_ms": 10000, "slo_ms": 1000, "attempts": 2, "service": "models"},
		{"name": "replies", "host": "desk.example", "path_prefix": "/replies/", "type": "stream", "sticky": true,
			"timeout_ms": 10000, "slo_ms": 500, "attempts": 1, "service": "models"},
		{"name": "claims", "host": "desk.example", "path_prefix": "/claims/", "type": "unsafe",
			"timeout_ms": 2000, "slo_ms": 120, "attempts": 1, "service": "ledger"},
		{"name": "notices", "host": "desk.example", "path_prefix": "/notices/", "type": "safe", "public": true,
			"timeout_ms": 2000, "attempts": 1, "service": "ledger"},
		{"name": "records", "host": "desk.example", "path_prefix": "/records/", "type": "safe",
			"timeout_ms": 2000, "slo_ms": 120, "attempts": 2, "service": "ledger"},
	}
	return map[string]any{
		"version": version, "routes": append(routes, extra...),
		"services": []map[string]any{
			{"name": "models", "engine": map[string]any{"slots": 8, "kv_capacity": 100000, "stride": 1},
				"scaling": map[string]any{"min": 1, "max": 4, "boot_s": 1, "zone_prices": map[string]any{"kochi-a": 1}}},
			{"name": "ledger"},
		},
		"tenants": []map[string]any{
			{"name": "heirs", "api_keys": []string{callerKey}},
			{"name": "limited", "api_keys": []string{"limited-key"}, "rate_per_s": 1, "burst": 2},
		},
		"limits": map[string]any{"max_body_bytes": 1 << 20},
	}
}

// control returns the base URL of a replica's control interface.
func (h *hostedCluster) control(replica string) string {
	ip, _, _ := strings.Cut(h.vms[replica].peerAddress, ":")
	return "http://" + ip + ":" + strconv.Itoa(hostedControlPort)
}

// put sends a document to a replica and returns the HTTP status, or 0 if there was
// no answer.
func (h *hostedCluster) put(replica string, content any) int {
	data, err := json.Marshal(content)
	if err != nil {
		h.t.Fatal(err)
	}
	return h.putBytes(replica, string(data))
}

func (h *hostedCluster) putBytes(replica, content string) int {
	response, err := h.client.Post(h.control(replica)+"/v1/config/put", "application/json", strings.NewReader(content))
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// version returns the version of the newest configuration document at a replica, or
// 0 if the replica does not return one.
func (h *hostedCluster) version(replica string) int {
	response, err := h.client.Get(h.control(replica) + "/v1/config/get")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var content struct {
		Version int `json:"version"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&content) != nil {
		return 0
	}
	return content.Version
}

// applyDocument commits the first document through r1 and waits until all entries
// are ready and know all servers: an entry that has read the list before the test added
// its servers is ready too.
func (h *hostedCluster) applyDocument(content map[string]any) {
	h.t.Helper()
	h.eventually("a replica acknowledges the document", func() bool { return h.put("r1", content) == http.StatusOK })
	for name, v := range h.vms {
		if name[0] != 'e' {
			continue
		}
		ip, _, _ := strings.Cut(v.peerAddress, ":")
		h.eventually(name+" is ready", func() bool {
			response, err := h.client.Get("http://" + ip + ":" + strconv.Itoa(hostedReadyPort) + "/v1/readyz")
			if err != nil {
				return false
			}
			defer response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
		for _, id := range h.platform.listed() {
			h.eventually(name+" knows "+id, func() bool { return len(h.linesWith(name, `step="discover" server="`+id+`"`)) > 0 })
		}
	}
}

// hostedAnswer is the answer that a caller receives.
type hostedAnswer struct {
	status int
	header http.Header
	body   string
	// complete is false if the answer was cut off; closes is true if the entry asked
	// to close the connection.
	complete, closes bool
}

func (h *hostedCluster) call(entry, method, path, id, key, body string, header ...string) hostedAnswer {
	h.t.Helper()
	req, err := http.NewRequest(method, "http://"+h.vms[entry].callerAddress+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	req.Host = "desk.example"
	req.Header.Set("Waxwingcart-Request-Id", id)
	req.Header.Set("Waxwingcart-Deadline-Ms", "8000")
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	response, err := h.client.Do(req)
	if err != nil {
		return hostedAnswer{}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return hostedAnswer{response.StatusCode, response.Header, string(data), err == nil, response.Close}
}

// streamBody returns the body of a stream from an event on.
func streamBody(from int) string {
	var b strings.Builder
	for i := from; i < streamEvents; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: part-%d\n\n", i, i)
	}
	return b.String()
}

// Three replicas that all have the bootstrap setting start a single log. Calls
// reach the server with path, query and body unchanged, and without headers that
// only the system may set. Answers reach the caller unchanged, with the server's
// Waxwingcart-Stamp header.
func TestHostedCalls(t *testing.T) {
	h := newHostedCluster(t, 2)
	models := []*hostedEngine{h.platform.addEngine(t, "i-m1", "models"), h.platform.addEngine(t, "i-m2", "models")}
	ledger := h.platform.addEngine(t, "i-a1", "ledger")
	h.applyDocument(document(7))
	for _, replica := range []string{"r1", "r2", "r3"} {
		h.eventually(replica+" reads back version 7", func() bool { return h.version(replica) == 7 })
	}

	got := h.call("e1", "POST", "/dossiers/1?x=%2f", "id-1", callerKey, "prompt", "Waxwingcart-Token-Count", "50,20",
		"Waxwingcart-Prefix-Hash", "a:20,b:30", "Waxwingcart-Tenant", "forged", "Kv-From", "forged")
	if got.status != 200 || !got.complete || got.body != streamBody(0) || !strings.HasPrefix(got.header.Get("Waxwingcart-Stamp"), "stamp-i-m") {
		t.Errorf("stream: got %+v, want status 200, the complete stream and the stamp of a model server", got)
	}
	for _, engine := range models {
		header := engine.header("id-1")
		if header == nil {
			continue
		}
		left, _ := strconv.Atoi(header.Get("Waxwingcart-Deadline-Ms"))
		if header.Get("Waxwingcart-Tenant") != "heirs" || header.Get("Kv-From") != "" || header.Get("Authorization") != "" || left <= 0 || left > 8000 {
			t.Errorf("the server saw %v, want customer heirs, no Kv-From or Authorization header, and at most 8000 ms left", header)
		}
	}
	if got := h.call("e2", "POST", "/claims/9", "id-2", callerKey, "call"); got.status != 200 || got.body != "POST /claims/9 call" {
		t.Errorf("claim: got %+v, want status 200 with method, path and body unchanged", got)
	}
	if got := h.call("e2", "GET", "/records/9?q=a%20b", "id-3", callerKey, ""); got.body != "GET /records/9?q=a%20b " {
		t.Errorf("record: got %+v, want path and query unchanged", got)
	}
	if got := h.call("e1", "GET", "/records/9", "id-4", "nobody", ""); got.status != 401 {
		t.Errorf("unknown key: got %+v, want status 401", got)
	}
	if got := h.call("e1", "GET", "/notices/9", "id-7", "nobody", "", "Waxwingcart-Tenant", "forged"); got.status != 200 || ledger.header("id-7").Get("Waxwingcart-Tenant") != "" {
		t.Errorf("public call: got %+v, want status 200; the server saw %v, want no forged customer", got, ledger.header("id-7"))
	}
	if got := h.call("e1", "GET", "/nowhere/9", "id-5", callerKey, ""); got.status != 404 {
		t.Errorf("unknown route: got %+v, want status 404", got)
	}
	for _, engine := range models {
		engine.fail.Set(true)
	}
	if got := h.call("e1", "POST", "/dossiers/1", "id-6", callerKey, "prompt"); got.status != 500 || got.body != "failed\n" || got.header.Get("Waxwingcart-Stamp") == "" {
		t.Errorf("a server's own error: got %+v, want its status 500, body and stamp", got)
	}
	// A request that a server answered with an error has run and counts once.
	h.eventually("usage is reported", func() bool { return h.platform.reportedUsage("heirs") == 4 })
	h.eventually("servers are ordered", func() bool {
		h.platform.mu.Lock()
		defer h.platform.mu.Unlock()
		return len(h.platform.orders) > 0
	})
	h.checkDuties()
}

// checkDuties fails the test if the platform recorded violations.
func (h *hostedCluster) checkDuties() {
	h.t.Helper()
	h.platform.mu.Lock()
	defer h.platform.mu.Unlock()
	for _, violation := range h.platform.violations {
		h.t.Errorf("the rules for reports and orders were broken: %s", violation)
	}
}

// A resumable stream that its server breaks off is continued at another server
// without a gap. A stream that must not run twice is cut off after its one run.
func TestHostedBrokenStreams(t *testing.T) {
	h := newHostedCluster(t, 1)
	first, second := h.platform.addEngine(t, "i-m1", "models"), h.platform.addEngine(t, "i-m2", "models")
	h.platform.addEngine(t, "i-a1", "ledger")
	h.applyDocument(document(7))
	first.cutAfter.Set(5)
	second.cutAfter.Set(5)
	for i := range 4 {
		if i == 2 {
			second.cutAfter.Set(-1)
		}
		id := fmt.Sprintf("r-%d", i)
		got := h.call("e1", "POST", "/replies/1", id, callerKey, "prompt", "Waxwingcart-Token-Count", "50,20")
		if got.complete && got.body != streamBody(0) {
			t.Errorf("reply %d looks complete with %d bytes, but is not the whole stream", i, len(got.body))
		}
		first.mu.Lock()
		second.mu.Lock()
		if runs := first.runs[id] + second.runs[id]; runs != 1 {
			t.Errorf("reply %d ran %d times, want once", i, runs)
		}
		second.mu.Unlock()
		first.mu.Unlock()
	}
	for i := range 12 {
		got := h.call("e1", "POST", "/dossiers/1", fmt.Sprintf("d-%d", i), callerKey, "prompt", "Waxwingcart-Token-Count", "50,20")
		if !got.complete || got.body != streamBody(0) {
			t.Errorf("dossier %d: got complete %t, %d bytes, want the complete stream", i, got.complete, len(got.body))
		}
	}
	if got := h.call("e1", "POST", "/dossiers/1", "d-last", callerKey, "prompt", "Last-Event-Id", "11"); got.body != streamBody(12) {
		t.Errorf("a stream resumed by its caller got %q, want the events from 12 on", got.body)
	}
}

// A request that all servers refuse without running it is answered with 503 and a
// Retry-After header. Requests beyond a customer's rate limit are answered with 429.
func TestHostedRefusals(t *testing.T) {
	h := newHostedCluster(t, 1)
	engine := h.platform.addEngine(t, "i-m1", "models")
	h.platform.addEngine(t, "i-a1", "ledger")
	h.applyDocument(document(7))
	engine.refuse.Set(true)
	got := h.call("e1", "POST", "/replies/1", "id-1", callerKey, "prompt")
	wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.status != 503 || err != nil || wait <= 0 || got.header.Get("Waxwingcart-Stamp") != "" {
		t.Errorf("got %+v, want status 503 with a positive Retry-After header and no stamp", got)
	}
	if runs, _ := engine.count(); runs != 0 {
		t.Errorf("the refused request ran %d times, want none", runs)
	}
	refused := 0
	for i := range 10 {
		if got := h.call("e1", "GET", "/records/1", fmt.Sprintf("l-%d", i), "limited-key", ""); got.status == 429 {
			refused++
		}
	}
	if refused < 5 {
		t.Errorf("%d of 10 calls were refused under a limit of 1/s with a burst of 2, want at least 5", refused)
	}
}

// A call that may be repeated goes to another server after a server's error. For
// one that must not be repeated the error is passed to the caller after one run.
func TestHostedServerErrors(t *testing.T) {
	h := newHostedCluster(t, 1)
	failing, healthy := h.platform.addEngine(t, "i-a1", "ledger"), h.platform.addEngine(t, "i-a2", "ledger")
	h.applyDocument(document(7))
	failing.fail.Set(true)
	for i := range 6 {
		if got := h.call("e1", "GET", "/records/1", fmt.Sprintf("s-%d", i), callerKey, ""); got.status != 200 {
			t.Errorf("record %d: got %+v, want status 200", i, got)
		}
	}
	healthy.fail.Set(true)
	got := h.call("e1", "POST", "/claims/1", "u-1", callerKey, "call")
	if got.status != 500 || got.body != "failed\n" || got.header.Get("Waxwingcart-Stamp") == "" {
		t.Errorf("claim: got %+v, want the server's status 500, body and stamp", got)
	}
	failing.mu.Lock()
	healthy.mu.Lock()
	if runs := failing.runs["u-1"] + healthy.runs["u-1"]; runs != 1 {
		t.Errorf("the claim ran %d times, want once", runs)
	}
	healthy.mu.Unlock()
	failing.mu.Unlock()
}

// A document with any invalid part is refused and an older one is acknowledged;
// neither changes the configuration. The newest document survives the loss of the
// replica that acknowledged it, including its disk.
func TestHostedDocuments(t *testing.T) {
	h := newHostedCluster(t, 1)
	h.platform.addEngine(t, "i-a1", "ledger")
	h.applyDocument(document(7))
	invalid := map[string]any{
		"truncated":            nil,
		"unknown service":      document(8, map[string]any{"name": "x", "host": "h", "path_prefix": "/x/", "timeout_ms": 5, "service": "gone"}),
		"same host and prefix": document(8, map[string]any{"name": "x", "host": "desk.example", "path_prefix": "/claims/", "timeout_ms": 5, "service": "ledger"}),
		"no timeout":           document(8, map[string]any{"name": "x", "host": "h", "path_prefix": "/x/", "timeout_ms": 0, "service": "ledger"}),
	}
	for name, content := range invalid {
		status := h.putBytes("r2", `{"version":8,"routes":[`)
		if content != nil {
			status = h.put("r2", content)
		}
		if status != 400 {
			t.Errorf("%s: got status %d, want 400", name, status)
		}
	}
	if status := h.put("r2", document(3)); status != 200 {
		t.Errorf("older document: got status %d, want 200", status)
	}
	if version := h.version("r3"); version != 7 {
		t.Errorf("version %d in force, want 7", version)
	}
	added := map[string]any{"name": "added", "host": "desk.example", "path_prefix": "/added/", "type": "safe", "timeout_ms": 1000, "attempts": 1, "service": "ledger"}
	h.eventually("version 9 is acknowledged", func() bool { return h.put("r1", document(9, added)) == 200 })
	h.eventually("the entry serves by version 9", func() bool {
		return h.call("e1", "GET", "/added/1", "a-1", callerKey, "").status == 200
	})
	served := uint64(0)
	call := func() {
		served++
		if got := h.call("e1", "GET", "/records/1", fmt.Sprintf("u-%d", served), callerKey, ""); got.status != 200 {
			t.Errorf("call %d: got %+v, want status 200", served, got)
		}
	}
	before := h.platform.reportedUsage("heirs")
	for range 15 {
		call()
		time.Sleep(100 * time.Millisecond)
	}
	if err := h.stop("r1", syscall.SIGKILL); err == nil {
		t.Error("the killed replica exited without an error")
	}
	for range 15 {
		call()
		time.Sleep(100 * time.Millisecond)
	}
	h.eventually("version 9 is read back without the first replica", func() bool { return h.version("r2") == 9 && h.version("r3") == 9 })
	h.vms["r1"].dataDir += "-new"
	h.writeHostedSettings(h.vms["r1"], false)
	h.start("r1")
	h.eventually("the replica with a new disk reads version 9", func() bool { return h.version("r1") == 9 })
	h.eventually("the usage of both leaders' windows is reported", func() bool { return h.platform.reportedUsage("heirs") >= before+served })
	h.eventually("version 10 is acknowledged", func() bool { return h.put("r1", document(10)) == 200 })
	h.checkDuties()
}

// When a caller disconnects, its stream is cancelled at the server. An entry keeps
// running after SIGHUP, which reloads its settings. After SIGTERM it finishes its
// streams, closes keep-alive connections and exits without an error.
func TestHostedDisconnectAndShutdown(t *testing.T) {
	h := newHostedCluster(t, 1)
	engine := h.platform.addEngine(t, "i-m1", "models")
	h.platform.addEngine(t, "i-a1", "ledger")
	h.applyDocument(document(7))
	engine.eventInterval.Set(100)
	h.client.Timeout = 300 * time.Millisecond
	if got := h.call("e1", "POST", "/replies/1", "gone-1", callerKey, "prompt"); got.complete {
		t.Error("the stream ended before its caller disconnected")
	}
	h.client.Timeout = 20 * time.Second
	h.eventually("the server notices that the caller disconnected", func() bool { _, disconnects := engine.count(); return disconnects == 1 })

	h.signal("e1", syscall.SIGHUP)
	streamed := make(chan hostedAnswer, 1)
	go func() { streamed <- h.call("e1", "POST", "/replies/1", "drain-1", callerKey, "prompt") }()
	h.eventually("the stream runs", func() bool { return engine.header("drain-1") != nil })
	h.signal("e1", syscall.SIGTERM)
	h.eventually("answers ask to close the connection", func() bool {
		return h.call("e1", "GET", "/records/1", "c-1", callerKey, "").closes
	})
	if got := <-streamed; !got.complete || got.body != streamBody(0) {
		t.Errorf("the stream of a stopped entry: got complete %t, %d bytes, want the complete stream", got.complete, len(got.body))
	}
	v := h.vms["e1"]
	if err := v.cmd.Wait(); err != nil {
		t.Errorf("the stopped entry exited with %v, want no error", err)
	}
	v.cmd = nil
}
