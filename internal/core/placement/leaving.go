package placement

import "time"

const (
	// unlistedKept is how long an instance that is not listed is remembered as
	// leaving. It covers lists of different ages at the entries, and a list that
	// lacks a server for a moment.
	unlistedKept = time.Minute
	// maxLeaving bounds the leaving instances that are remembered and not listed.
	maxLeaving = 4096
)

// leavingServer is what is known of an instance that has said that it leaves.
type leavingServer struct {
	// seen is when the instance was last listed, or heard of if it never was.
	seen time.Duration
	// own is true if this entry has the word from an answer of the instance.
	own bool
}

// SetLeaving records that a server has said itself that it leaves. The server gets no
// new work until it is forgotten, whatever lists say: a list is older than the server's
// word, and no instance returns from leaving. Servers that are not listed yet are
// remembered as well. own is true if an answer to this entry said so. SetLeaving returns
// false if this was known.
func (p *Placer) SetLeaving(now time.Duration, instance string, own bool) bool {
	if _, known := p.leaving[instance]; known {
		return false
	}
	if len(p.leaving) >= maxLeaving {
		p.forgetOldestUnlisted()
	}
	p.leaving[instance] = leavingServer{seen: now, own: own}
	return true
}

// OwnLeaving returns the instances that this entry knows as leaving from answers of
// theirs.
func (p *Placer) OwnLeaving() []string {
	var instances []string
	for instance, l := range p.leaving {
		if l.own {
			instances = append(instances, instance)
		}
	}
	return instances
}

// IsLeaving reports whether a server takes no new work, by its own word or by the list.
func (p *Placer) IsLeaving(instance string) bool {
	_, leaving := p.leaving[instance]
	s := p.servers[instance]
	return leaving || s != nil && s.Leaving
}

// AllLeaving reports whether a service has servers and all of them leave.
func (p *Placer) AllLeaving(service string) bool {
	for _, s := range p.byName[service] {
		if !p.IsLeaving(s.Name) {
			return false
		}
	}
	return len(p.byName[service]) > 0
}

// SetListed replaces the instances that the platform's list holds, those of services
// without a route included.
func (p *Placer) SetListed(now time.Duration, instances []string) {
	p.refreshListed(now)
	p.listed = make(map[string]bool, len(instances))
	for _, instance := range instances {
		p.listed[instance] = true
	}
}

// refreshListed notes that the listed leaving instances exist at present.
func (p *Placer) refreshListed(now time.Duration) {
	for instance, l := range p.leaving {
		if p.listed[instance] {
			l.seen = now
			p.leaving[instance] = l
		}
	}
}

// expireLeaving forgets the instances that have not been listed for unlistedKept.
func (p *Placer) expireLeaving(now time.Duration) {
	p.refreshListed(now)
	for instance, l := range p.leaving {
		if now-l.seen > unlistedKept {
			delete(p.leaving, instance)
		}
	}
}

func (p *Placer) forgetOldestUnlisted() {
	oldest, found := "", false
	for instance, l := range p.leaving {
		if !p.listed[instance] && (!found || l.seen < p.leaving[oldest].seen) {
			oldest, found = instance, true
		}
	}
	if found {
		delete(p.leaving, oldest)
	}
}
