package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// vm is one VM of the platform's list.
type vm struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Class       string `json:"class"`
	Address     string `json:"address"`
	State       string `json:"state"`
	Incarnation string `json:"incarnation"`
	since       time.Time
}

// notice announces that a VM is taken back.
type notice struct {
	Seq         int64  `json:"seq"`
	VM          string `json:"vm"`
	SecondsLeft int    `json:"seconds_left"`
	until       time.Time
}

// reclaimRequest takes back one VM, all of a class, or all of a zone.
type reclaimRequest struct {
	VM      string `json:"vm,omitempty"`
	Class   string `json:"class,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Seconds int    `json:"seconds"`
}

// platform stands in for the platform.
type platform struct {
	server *Server

	mu      sync.Mutex
	vms     []vm
	notices []notice
	spares  []string
	left    map[string]int
	rented  int
	serial  int
	list    *delayLine[[]vm]
}

func (s *Server) registerPlatform() error {
	p := &platform{server: s, spares: s.opts.Spares, left: map[string]int{}}
	p.list = newDelayLine[[]vm](s.opts.ReportLag)
	for place, count := range s.opts.Capacity {
		p.left[place] = count
	}
	for _, text := range s.opts.VMs {
		fields := strings.Split(text, ",")
		if len(fields) != 4 {
			return fmt.Errorf("vm %q: expected name,zone,class,address", text)
		}
		p.add(vm{Name: fields[0], Zone: fields[1], Class: fields[2], Address: fields[3]})
	}
	// VMs of the settings are listed from the start.
	p.list.add(time.Now().Add(-s.opts.ReportLag), append([]vm(nil), p.vms...))
	s.router.HandleFunc("/vms", p.listVMs).Methods(http.MethodGet)
	s.router.HandleFunc("/vms", p.rent).Methods(http.MethodPost)
	s.router.HandleFunc("/vms/{name}", p.giveBack).Methods(http.MethodDelete)
	s.router.HandleFunc("/notices", p.listNotices).Methods(http.MethodGet)
	s.router.HandleFunc("/prices", p.prices).Methods(http.MethodGet)
	s.router.HandleFunc("/standin/reclaim", p.reclaim).Methods(http.MethodPost)
	s.router.HandleFunc("/standin/stats", p.stats).Methods(http.MethodGet)
	return nil
}

// add puts a VM on the list.
func (p *platform) add(v vm) {
	p.serial++
	v.State = "live"
	v.Incarnation = v.Name + "-" + strconv.Itoa(p.serial)
	p.vms = append(p.vms, v)
}

// changed records the list as it is now; the caller holds the lock.
func (p *platform) changed() {
	p.list.add(time.Now(), append([]vm(nil), p.vms...))
}

func (p *platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	if p.server.faults.sendGarbage(w) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	seen := []vm{}
	for _, v := range p.list.at(now) {
		if !now.Add(-p.server.opts.ReportLag).Before(v.since) {
			seen = append(seen, v)
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"vms": seen, "age_ms": p.server.opts.ReportLag.Milliseconds()})
}

func (p *platform) listNotices(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := []notice{}
	for _, n := range p.notices {
		if n.Seq > after {
			n.SecondsLeft = max(0, int(time.Until(n.until).Seconds()+0.5))
			seen = append(seen, n)
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"notices": seen, "last": len(p.notices)})
}

// rent starts a VM, or refuses where the capacity is used up. Capacity that
// is not set is none.
func (p *platform) rent(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Zone  string `json:"zone"`
		Class string `json:"class"`
	}
	if !readJSON(w, r, &request) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	place := request.Class + "/" + request.Zone
	if p.left[place] == 0 {
		writeError(w, http.StatusServiceUnavailable, "no capacity")
		return
	}
	p.left[place]--
	p.rented++
	v := vm{Name: "rented-" + strconv.Itoa(p.rented), Zone: request.Zone, Class: request.Class}
	v.since = time.Now().Add(p.server.opts.StartTime)
	if len(p.spares) > 0 {
		v.Address, p.spares = p.spares[0], p.spares[1:]
	}
	p.add(v)
	p.changed()
	writeJSON(w, http.StatusCreated, p.vms[len(p.vms)-1])
}

func (p *platform) giveBack(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, v := range p.vms {
		if v.Name == mux.Vars(r)["name"] {
			p.vms = append(p.vms[:i:i], p.vms[i+1:]...)
			p.left[v.Class+"/"+v.Zone]++
			p.changed()
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
	writeError(w, http.StatusNotFound, "no such VM")
}

func (p *platform) prices(w http.ResponseWriter, _ *http.Request) {
	prices := p.server.opts.Prices
	if prices == nil {
		prices = map[string]float64{}
	}
	writeJSON(w, http.StatusOK, map[string]any{"prices_per_hour": prices})
}

// reclaim announces that VMs are taken back, and takes them off the list when
// their time is up.
func (p *platform) reclaim(w http.ResponseWriter, r *http.Request) {
	var request reclaimRequest
	if !readJSON(w, r, &request) {
		return
	}
	if request.VM == "" && request.Class == "" && request.Zone == "" {
		writeError(w, http.StatusBadRequest, "expected vm, class or zone")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	until := time.Now().Add(time.Duration(request.Seconds) * time.Second)
	named := []string{}
	for i := range p.vms {
		v := &p.vms[i]
		if v.State != "live" || !request.covers(*v) {
			continue
		}
		v.State = "leaving"
		named = append(named, v.Name)
		p.notices = append(p.notices, notice{Seq: int64(len(p.notices)) + 1, VM: v.Name, until: until})
		p.left[v.Class+"/"+v.Zone] = 0
		incarnation := v.Incarnation
		time.AfterFunc(time.Until(until), func() { p.take(incarnation) })
	}
	p.changed()
	writeJSON(w, http.StatusOK, map[string]any{"vms": named})
}

// covers reports whether the request takes back the VM.
func (r reclaimRequest) covers(v vm) bool {
	return (r.VM == "" || r.VM == v.Name) &&
		(r.Class == "" || r.Class == v.Class) &&
		(r.Zone == "" || r.Zone == v.Zone)
}

// take removes a VM whose time is up.
func (p *platform) take(incarnation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, v := range p.vms {
		if v.Incarnation == incarnation {
			p.vms = append(p.vms[:i:i], p.vms[i+1:]...)
			p.changed()
			return
		}
	}
}

func (p *platform) stats(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"rented": p.rented, "left": p.left})
}
