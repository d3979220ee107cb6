package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"waxwingcart/internal/standin"
)

// Drafts are streams whose backend servers crash under one part of a prompt, and name limits
// of the requests that they take.
const (
	pathDraft     = "/drafts/"
	serviceDrafts = "drafts"
	draftEngines  = 6
	draftEvents   = 5
	// draftClients is the number of callers of drafts at each entry. The first one sends
	// requests with the crashing part.
	draftClients = 3
	// draftPrefill is the time before an answer begins, draftInterval that between events.
	draftPrefill  = 30 * time.Millisecond
	draftInterval = 20 * time.Millisecond
	// crashDown is how long a server that has crashed refuses connections.
	crashDown = 2 * time.Second
	// soundPause and badPause are the mean times between a caller's requests.
	soundPause = 200 * time.Millisecond
	badPause   = time.Second
	// troubleNumbers and crashNumbers are streams of random numbers of these events.
	troubleNumbers = 3
	crashNumbers   = 4
	// wholePrefix begins the mark of a whole request that crashes servers.
	wholePrefix = "whole"
)

// The kinds of trouble: a part or a whole request crashes servers (Amount is of the ways below),
// or one of them or all (Amount below 0) name a limit of Amount tenths of a request a second.
const (
	KindCrashing Kind = "crashing part"
	KindLimit    Kind = "limit"
)

// The ways in which servers crash, as bits: a whole request is the cause, not a part; and their
// connections are still accepted, and reset.
const (
	crashWhole = 1 << iota
	crashBehindProxy
	crashWays
)

// troubleEvents adds crashing parts and limits, which may overlap, and ends of entries.
func (p *planner) troubleEvents() {
	p.rng = rand.New(rand.NewPCG(p.Seed, troubleNumbers))
	ways := rand.New(rand.NewPCG(p.Seed, crashNumbers))
	for at := p.between(time.Second, 3*time.Second); at < p.Duration; {
		e := Event{At: at, Kind: KindCrashing, Target: serviceDrafts, For: p.between(9*time.Second, 14*time.Second), Amount: ways.IntN(crashWays)}
		p.add(e)
		at += e.For + p.between(0, 4*time.Second)
	}
	for at := p.between(time.Second, 6*time.Second); at < p.Duration; {
		e := Event{At: at, Kind: KindLimit, Target: serviceDrafts, For: p.between(7*time.Second, 12*time.Second), Amount: 5 + p.rng.IntN(45)}
		if p.chance(0.3) {
			e.Amount = -e.Amount
		}
		p.add(e)
		at += e.For + p.between(0, 4*time.Second)
	}
	for range entryFaults {
		p.entryFault(p.between(time.Second, p.Duration))
	}
}

// Reach is a request that reached a server of drafts. Bad is the crashing part that its prompt
// holds, or the mark of its body, if any.
type Reach struct {
	Engine, Entry, Bad string
	At                 time.Duration
}

// Crash is the end of a server under a part or a request.
type Crash struct {
	Bad string
	At  time.Duration
}

// Naming is a time in which a server names a limit. Told holds when each entry first got an
// answer that says so.
type Naming struct {
	Engine    string
	PerSecond float64
	From, To  time.Duration
	Told      map[string]time.Duration
}

// Draft is a client attempt without a crashing part.
type Draft struct {
	Entry string
	From  time.Duration
	Begun bool
}

// trouble is what the servers of drafts are in.
type trouble struct {
	mu          sync.Mutex
	bad         string
	behindProxy bool
}

func (t *trouble) set(bad string, behindProxy bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bad, t.behindProxy = bad, behindProxy
}

func (t *trouble) current() (bad string, behindProxy bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bad, t.behindProxy
}

// holds returns the crashing part if a prompt has it, which is never its last one, or the mark if
// it is the body.
func (t *trouble) holds(parts, body string) string {
	bad, _ := t.current()
	if bad != "" && (strings.Contains(parts, bad+":") || body == bad) {
		return bad
	}
	return ""
}

// draftEngine is a server of drafts.
type draftEngine struct {
	*engine
	server *standin.Crashable
	// naming is the index of the limit that it names, or -1. The history's lock guards it.
	naming int
}

// beginDrafts lists the servers of drafts.
func (r *run) beginDrafts() error {
	for range r.draftCount(draftEngines) {
		if err := r.platform.addDraft(); err != nil {
			return err
		}
	}
	return nil
}

// draftCount returns a number if the plan has troubles, else 0.
func (r *run) draftCount(n int) int {
	if r.plan.Troubles {
		return n
	}
	return 0
}

func (p *platform) addDraft() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.started++
	d := &draftEngine{engine: &engine{platform: p, id: fmt.Sprintf("i-%s-%d", serviceDrafts, p.started), service: serviceDrafts}, naming: -1}
	d.server = standin.NewCrashable(listener, d)
	d.address, d.listing = d.server.Address(), len(p.history.Listings)
	p.drafts, p.engines = append(p.drafts, d), append(p.engines, d.engine)
	p.history.update(func() {
		p.history.Listings = append(p.history.Listings, Listing{Service: serviceDrafts, From: p.now()})
	})
	return nil
}

func (d *draftEngine) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	p, id := d.platform, req.Header.Get("Waxwingcart-Request-Id")
	w.Header().Set("Waxwingcart-Request-Id", id)
	if req.Header.Get("Waxwingcart-Expect-Instance") != d.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	entry, _, _ := strings.Cut(id, "-")
	body, _ := io.ReadAll(req.Body)
	bad := p.trouble.holds(req.Header.Get("Waxwingcart-Prefix-Hash"), string(body))
	p.history.update(func() {
		p.history.Reached = append(p.history.Reached, Reach{Engine: d.id, Entry: entry, Bad: bad, At: p.now()})
		p.history.Runs[id]++
	})
	sleep(req.Context(), draftPrefill)
	if req.Context().Err() != nil {
		return
	}
	if bad == "" {
		d.name(w, entry)
	}
	w.Header().Set("Waxwingcart-Stamp", "stamp-"+d.id)
	w.Header().Set("Content-Type", "text/event-stream")
	if bad != "" {
		if !strings.HasPrefix(bad, wholePrefix) {
			_, _ = io.WriteString(w, "id: 0\ndata: par")
			_ = http.NewResponseController(w).Flush()
		}
		crash := d.server.Crash
		if _, behindProxy := p.trouble.current(); behindProxy {
			crash = d.server.CrashBehindProxy
		}
		if crash(crashDown) {
			p.history.update(func() { p.history.Crashes = append(p.history.Crashes, Crash{Bad: bad, At: p.now()}) })
		}
		panic(http.ErrAbortHandler)
	}
	first := 0
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for i := first; i < draftEvents; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: part-%d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
		sleep(req.Context(), draftInterval)
	}
}

// name adds the limit to an answer.
func (d *draftEngine) name(w http.ResponseWriter, entry string) {
	h := d.platform.history
	h.update(func() {
		if d.naming < 0 {
			return
		}
		naming := &h.Namings[d.naming]
		if _, told := naming.Told[entry]; !told {
			naming.Told[entry] = d.platform.now()
		}
		if naming.From == 0 {
			naming.From = d.platform.now()
		}
		w.Header().Set("Server-Limit", strconv.FormatFloat(naming.PerSecond, 'f', -1, 64))
	})
}

// changeTrouble starts a trouble and ends it after its time.
func (r *run) changeTrouble(ctx context.Context, e Event) {
	if e.Kind == KindCrashing {
		bad := fmt.Sprintf("bad%d", e.At.Milliseconds())
		if e.Amount&crashWhole != 0 {
			bad = fmt.Sprintf("%s%d", wholePrefix, e.At.Milliseconds())
		}
		r.platform.trouble.set(bad, e.Amount&crashBehindProxy != 0)
		sleep(ctx, e.For)
		r.platform.trouble.set("", false)
		return
	}
	engines, perSecond := r.platform.drafts, float64(e.Amount)/10
	if e.Amount < 0 {
		perSecond = -perSecond
	} else {
		i := rand.IntN(len(engines))
		engines = engines[i : i+1]
	}
	h := r.history
	for _, d := range engines {
		h.update(func() {
			d.naming = len(h.Namings)
			h.Namings = append(h.Namings, Naming{Engine: d.id, PerSecond: perSecond, Told: make(map[string]time.Duration)})
		})
	}
	sleep(ctx, e.For)
	for _, d := range engines {
		h.update(func() {
			h.Namings[d.naming].To = r.now()
			d.naming = -1
		})
	}
}

// draftClient sends drafts to an entry until the context ends: sound ones, or ones with the
// crashing part while there is one.
func (r *run) draftClient(ctx context.Context, p *process, sound bool) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: clientTimeout}
	defer client.CloseIdleConnections()
	pause := soundPause
	if !sound {
		pause = badPause
	}
	for i := 0; ctx.Err() == nil; i++ {
		sleep(ctx, time.Duration(rand.Int64N(int64(2*pause))))
		parts, body := fmt.Sprintf("f1:300,5%x:100", rand.IntN(16)), fmt.Sprintf("prompt-%d", rand.IntN(1<<20))
		if !sound {
			bad, _ := r.platform.trouble.current()
			if bad == "" {
				continue
			}
			if strings.HasPrefix(bad, wholePrefix) {
				body = bad
			} else {
				parts = fmt.Sprintf("f1:300,%s:%d,7%x:20", bad, 50+rand.IntN(50), rand.IntN(1<<20))
			}
		}
		r.draft(client, p, fmt.Sprintf("%s-draft-%t-%d", p.name, sound, i), parts, body, sound)
	}
}

func (r *run) draft(client *http.Client, p *process, id, parts, body string, sound bool) {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.address(callersPort)+pathDraft+"x", strings.NewReader(body))
	if err != nil {
		return
	}
	request.Host = host
	request.Header.Set("Waxwingcart-Request-Id", id)
	request.Header.Set("Waxwingcart-Deadline-Ms", strconv.Itoa(streamTimeoutMS))
	request.Header.Set("Waxwingcart-Token-Count", "450,20")
	request.Header.Set("Waxwingcart-Prefix-Hash", parts+",9"+strconv.Itoa(rand.IntN(1<<20))+":50")
	request.Header.Set("Authorization", "Bearer "+keyBase)
	from := r.now()
	response, err := client.Do(request)
	answer := []byte{}
	if err == nil {
		answer, _ = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	if sound {
		begun := err == nil && response.StatusCode == http.StatusOK && strings.HasPrefix(string(answer), "id: 0\n")
		r.history.update(func() { r.history.Drafts = append(r.history.Drafts, Draft{Entry: p.name, From: from, Begun: begun}) })
	}
}
