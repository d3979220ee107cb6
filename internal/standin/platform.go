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

// vm is one VM in the platform's list.
type vm struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Class       string `json:"class"`
	Address     string `json:"address"`
	State       string `json:"state"`
	Incarnation string `json:"incarnation"`
	listedFrom  time.Time
}

// notice announces that a VM will be reclaimed.
type notice struct {
	Seq         int64  `json:"seq"`
	VM          string `json:"vm"`
	SecondsLeft int    `json:"seconds_left"`
	reclaimAt   time.Time
}

// reclaimRequest reclaims the VMs that match all fields that are set.
type reclaimRequest struct {
	VM      string `json:"vm,omitempty"`
	Class   string `json:"class,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Seconds int    `json:"seconds"`
}

// platform simulates the platform that rents out VMs.
type platform struct {
	server *Server

	mu           sync.Mutex
	vms          []vm
	notices      []notice
	spares       []string
	capacity     map[string]int // VMs left to rent, by class/zone
	rented       int
	incarnations int
	listed       *delayedValue[[]vm]
}

func (s *Server) registerPlatform() error {
	p := &platform{server: s, spares: s.opts.Spares, capacity: map[string]int{}}
	p.listed = newDelayedValue[[]vm](s.opts.ReportLag)
	for pool, count := range s.opts.Capacity {
		p.capacity[pool] = count
	}
	for _, text := range s.opts.VMs {
		fields := strings.Split(text, ",")
		if len(fields) != 4 {
			return fmt.Errorf("vm %q: expected name,zone,class,address", text)
		}
		p.addVM(vm{Name: fields[0], Zone: fields[1], Class: fields[2], Address: fields[3]})
	}
	// The configured VMs are listed from the start, in spite of the report lag.
	p.listed.set(time.Now().Add(-s.opts.ReportLag), append([]vm(nil), p.vms...))
	s.router.HandleFunc("/vms", p.listVMs).Methods(http.MethodGet)
	s.router.HandleFunc("/vms", p.rent).Methods(http.MethodPost)
	s.router.HandleFunc("/vms/{name}", p.release).Methods(http.MethodDelete)
	s.router.HandleFunc("/notices", p.listNotices).Methods(http.MethodGet)
	s.router.HandleFunc("/prices", p.prices).Methods(http.MethodGet)
	s.router.HandleFunc("/standin/reclaim", p.reclaim).Methods(http.MethodPost)
	s.router.HandleFunc("/standin/stats", p.stats).Methods(http.MethodGet)
	return nil
}

// addVM adds a VM with a new incarnation to the list.
func (p *platform) addVM(v vm) {
	p.incarnations++
	v.State = "live"
	v.Incarnation = v.Name + "-" + strconv.Itoa(p.incarnations)
	p.vms = append(p.vms, v)
}

// recordList records the current list, which callers see after the report lag. The
// caller must hold the lock.
func (p *platform) recordList() {
	p.listed.set(time.Now(), append([]vm(nil), p.vms...))
}

func (p *platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	if p.server.faults.sendGarbage(w) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	visible := []vm{}
	for _, v := range p.listed.get(now) {
		if !now.Add(-p.server.opts.ReportLag).Before(v.listedFrom) {
			visible = append(visible, v)
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"vms": visible, "age_ms": p.server.opts.ReportLag.Milliseconds()})
}

func (p *platform) listNotices(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	visible := []notice{}
	for _, n := range p.notices {
		if n.Seq > after {
			n.SecondsLeft = max(0, int(time.Until(n.reclaimAt).Seconds()+0.5))
			visible = append(visible, n)
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"notices": visible, "last": len(p.notices)})
}

// rent starts a VM, or refuses if no capacity of the class and zone is left. A class
// and zone without configured capacity has none.
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
	pool := request.Class + "/" + request.Zone
	if p.capacity[pool] == 0 {
		writeError(w, http.StatusServiceUnavailable, "no capacity")
		return
	}
	p.capacity[pool]--
	p.rented++
	v := vm{Name: "rented-" + strconv.Itoa(p.rented), Zone: request.Zone, Class: request.Class}
	v.listedFrom = time.Now().Add(p.server.opts.StartTime)
	if len(p.spares) > 0 {
		v.Address, p.spares = p.spares[0], p.spares[1:]
	}
	p.addVM(v)
	p.recordList()
	writeJSON(w, http.StatusCreated, p.vms[len(p.vms)-1])
}

func (p *platform) release(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, v := range p.vms {
		if v.Name == mux.Vars(r)["name"] {
			p.vms = append(p.vms[:i:i], p.vms[i+1:]...)
			p.capacity[v.Class+"/"+v.Zone]++
			p.recordList()
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

// reclaim announces that VMs will be reclaimed and removes them from the list after
// the given time. The remaining capacity of their class and zone is lost at once.
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
	reclaimAt := time.Now().Add(time.Duration(request.Seconds) * time.Second)
	reclaimed := []string{}
	for i := range p.vms {
		v := &p.vms[i]
		if v.State != "live" || !request.matches(*v) {
			continue
		}
		v.State = "leaving"
		reclaimed = append(reclaimed, v.Name)
		p.notices = append(p.notices, notice{Seq: int64(len(p.notices)) + 1, VM: v.Name, reclaimAt: reclaimAt})
		p.capacity[v.Class+"/"+v.Zone] = 0
		incarnation := v.Incarnation
		time.AfterFunc(time.Until(reclaimAt), func() { p.removeReclaimed(incarnation) })
	}
	p.recordList()
	writeJSON(w, http.StatusOK, map[string]any{"vms": reclaimed})
}

// matches reports whether the request applies to the VM.
func (r reclaimRequest) matches(v vm) bool {
	return (r.VM == "" || r.VM == v.Name) &&
		(r.Class == "" || r.Class == v.Class) &&
		(r.Zone == "" || r.Zone == v.Zone)
}

// removeReclaimed removes a VM when its notice period is over.
func (p *platform) removeReclaimed(incarnation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, v := range p.vms {
		if v.Incarnation == incarnation {
			p.vms = append(p.vms[:i:i], p.vms[i+1:]...)
			p.recordList()
			return
		}
	}
}

func (p *platform) stats(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"rented": p.rented, "left": p.capacity})
}
