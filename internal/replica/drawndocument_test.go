package replica_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/observe"
	"waxwingcart/internal/operator"
	"waxwingcart/internal/replica"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

const (
	// maxDocument is the longest document that the control interface takes.
	maxDocument = 4 << 20
	// readTimeout is far longer than a read takes.
	readTimeout = 20 * time.Second
)

// drawJSON draws JSON in forms that encoders don't write.
func drawJSON(t *rapid.T, depth int) string {
	space := rapid.SampledFrom([]string{"", "", "", " ", "\n\t", "\r\n  "}).Draw(t, "space")
	kind := rapid.IntRange(0, 5).Draw(t, "kind")
	if depth == 0 {
		kind %= 4
	}
	switch kind {
	case 0:
		return space + rapid.SampledFrom([]string{"0", "-0", "1e400", "1E+2", "0.10", "-1.5e-7", "7.0", "123456789012345678901234567890"}).Draw(t, "number")
	case 1:
		return space + rapid.SampledFrom([]string{"null", "true", "false", "[]", "{}", "[ ]", "{\n}"}).Draw(t, "literal")
	case 2, 3:
		return space + `"` + strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{`a`, `\u0000`, `\ud800`, `\ud83d\ude00`, `\/`, `\"`, `\\`, `<&>`,
			"é", "\u2028", "\xff", "\x7f", `},"content":{`, `{"number":9,"content":`}), 0, 6).Draw(t, "string"), "") + `"`
	}
	var elements []string
	for i := range rapid.IntRange(0, 4).Draw(t, "elements") {
		element := drawJSON(t, depth-1) + space
		if kind == 5 {
			// Names repeat.
			element = fmt.Sprintf(`%s"%s"%s:%s`, space, rapid.SampledFrom([]string{"a", "number", "content", "version", `\u0061`}).Draw(t, fmt.Sprint("name", i)), space, element)
		}
		elements = append(elements, element)
	}
	if kind == 5 {
		return space + "{" + strings.Join(elements, ",") + space + "}"
	}
	return space + "[" + strings.Join(elements, ",") + space + "]"
}

// drawContent draws the content of a document. A few are long, or nested as deep as is accepted and beyond.
func drawContent(t *rapid.T) []byte {
	value := drawJSON(t, 5)
	switch rapid.IntRange(0, 15).Draw(t, "form") {
	case 0:
		depth := rapid.IntRange(9_990, 10_002).Draw(t, "depth")
		value = strings.Repeat("[", depth) + strings.Repeat("]", depth)
	case 1:
		length := maxDocument - rapid.IntRange(0, 64).Draw(t, "below") - len(value) - len(`[,""]`)
		value = `[` + value + `,"` + strings.Repeat("x", length) + `"]`
	case 2:
		value = `[` + value + strings.Repeat(",[]", 100_000) + strings.Repeat(" ", 100_000) + `]`
	}
	return []byte(value + rapid.SampledFrom([]string{"", " ", "\r\n\t"}).Draw(t, "after"))
}

// processes runs replicas that can be stopped and started again.
type processes struct {
	t        testing.TB
	peers    []replica.Peer
	dirs     []string
	replicas []*replica.Replica
	servers  []*http.Server
}

func startProcesses(t testing.TB, count int) *processes {
	p := &processes{t: t, replicas: make([]*replica.Replica, count), servers: make([]*http.Server, count)}
	var listeners []net.Listener
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
		p.peers = append(p.peers, replica.Peer{VM: fmt.Sprintf("r%d", i), Zone: fmt.Sprintf("z%d", i), Address: listener.Addr().String()})
		p.dirs = append(p.dirs, t.TempDir())
	}
	t.Cleanup(func() {
		for i := range p.replicas {
			p.stop(i)
		}
	})
	for i, listener := range listeners {
		p.start(i, listener)
	}
	p.awaitVoters()
	return p
}

// awaitVoters waits until all replicas vote with their present disks, and none else. Before that, another lost disk may end the log.
func (p *processes) awaitVoters() {
	for end := time.Now().Add(time.Minute); ; time.Sleep(10 * time.Millisecond) {
		voters := 0
		for _, r := range p.replicas {
			state := r.State()
			self := state.VM + "/" + state.Incarnation + "@"
			// A new voter is added before the one that it replaces is removed.
			if len(state.Voters) == len(p.replicas) && slices.ContainsFunc(state.Voters, func(voter string) bool { return strings.HasPrefix(voter, self) }) {
				voters++
			}
		}
		if voters == len(p.replicas) {
			return
		}
		if time.Now().After(end) {
			p.t.Fatal("not all replicas became voters")
		}
	}
}

func (p *processes) start(i int, listener net.Listener) {
	name := p.peers[i].VM
	r, err := replica.New(replica.Options{
		Self: p.peers[i], Peers: append(append([]replica.Peer(nil), p.peers[:i]...), p.peers[i+1:]...),
		DataDir: p.dirs[i], Bootstrap: i == 0, ReplaceAfter: time.Second, Client: rpc.NewClient("secret"),
		Logger: observe.NewLogger(io.Discard, "error", name, p.peers[i].Zone), Registry: prometheus.NewRegistry(),
		Fail: func(err error) { p.t.Errorf("replica %s ended by itself: %v", name, err) },
	})
	if err != nil {
		p.t.Fatalf("replica %s does not start: %v", name, err)
	}
	server := &http.Server{Handler: rpc.RequireKey(rpc.NewKey("secret"), wire.NewReplicaServer(r.Service()))}
	go func() { _ = server.Serve(listener) }()
	r.Start()
	p.replicas[i], p.servers[i] = r, server
}

func (p *processes) stop(i int) {
	if p.replicas[i] == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = p.replicas[i].Stop(ctx)
	_ = p.servers[i].Close()
	p.replicas[i] = nil
}

// restart stops replicas and starts them again.
func (p *processes) restart(which ...int) {
	for _, i := range which {
		p.stop(i)
	}
	for _, i := range which {
		listener, err := net.Listen("tcp", p.peers[i].Address)
		if err != nil {
			p.t.Fatal(err)
		}
		p.start(i, listener)
	}
}

func (p *processes) service(r *replica.Replica) *operator.Service {
	var addresses []string
	for _, peer := range p.peers {
		addresses = append(addresses, peer.Address)
	}
	return &operator.Service{Replica: r, Replicas: rpc.NewReplicas(rpc.NewClient("secret"), addresses)}
}

// read checks that a document is read back byte for byte from a replica's own state.
func (p *processes) read(t *rapid.T, i int, want fleet.NumberedDocument, where string) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	// Each document makes one revision. Without this wait, the service would fetch the document from the leader.
	if _, err := p.replicas[i].NumberedDocument(ctx, want.Number); err != nil {
		t.Fatalf("replica %d, %s: revision %d: %v", i, where, want.Number, err)
	}
	got, err := p.service(p.replicas[i]).Document(ctx)
	if err != nil || got.Number != want.Number || !bytes.Equal(got.Content, want.Content) {
		t.Fatalf("replica %d, %s: got document %d of %d bytes, %v, expected document %d of %d bytes: %.200q",
			i, where, got.Number, len(got.Content), err, want.Number, len(want.Content), want.Content)
	}
}

// Each document that is accepted is read back byte for byte: from the replicas that got it in the log, after a
// restart from the log, at a replica that lost its disk and got the state, and after a restart from the state. No
// replica ends. Snapshots with a numbered document were once written that no replica could read.
func TestAcceptedDocumentsAreReadBack(t *testing.T) {
	before := replica.SetCompaction(replication.CompactionLimits{Entries: 4, MinBytes: 4 << 20, MaxBytes: 64 << 20})
	t.Cleanup(func() { replica.SetCompaction(before) })
	p := startProcesses(t, 3)
	var last fleet.NumberedDocument
	var accepted, refused, restarts, lostDisks int
	rapid.Check(t, func(t *rapid.T) {
		content := drawContent(t)
		next := fleet.NumberedDocument{Number: last.Number + 1, Content: content}
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		defer cancel()
		if err := p.service(nil).PutDocument(ctx, next); err != nil {
			if !rpc.IsPermanent(err) {
				t.Fatalf("put of %d bytes: %v", len(content), err)
			}
			refused++
			return
		}
		accepted++
		last = fleet.NumberedDocument{Number: next.Number, Content: bytes.Trim(content, " \t\r\n")}
		for i := range p.replicas {
			p.read(t, i, last, "after the put")
		}
		switch i := rapid.IntRange(0, 2).Draw(t, "replica"); rapid.IntRange(0, 5).Draw(t, "then") {
		case 1, 2:
			restarts++
			p.restart(i)
			p.read(t, i, last, "after a restart")
		case 3:
			lostDisks++
			p.awaitVoters()
			// After this, no replica has the log before its snapshot.
			p.restart(0, 1, 2)
			for i := range p.replicas {
				p.read(t, i, last, "after a restart of all")
			}
			p.dirs[i] = p.t.TempDir()
			p.restart(i)
			p.read(t, i, last, "with an empty disk")
			p.restart(i)
			p.read(t, i, last, "after a restart from the state")
		}
	})
	if accepted == 0 || restarts == 0 || lostDisks == 0 {
		t.Error("not all steps were taken")
	}
	t.Logf("%d documents were accepted and %d refused; one replica restarted %d times, and %d disks were lost", accepted, refused, restarts, lostDisks)
}
