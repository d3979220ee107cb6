package placement

import (
	"slices"
	"time"
)

// loneVersionPenalty is added to the score of a server for a stream that begins, in
// milliseconds, if no other server of its version takes work while another version of
// the service has several that do: the stream could not go on elsewhere.
const loneVersionPenalty = 50.0

// allows reports whether the request may be placed at a server at all.
func (r *Request) allows(s *server) bool {
	if r.Pinned && s.Version != r.Version {
		return false
	}
	return !slices.Contains(r.Exclude, s.Name) && !slices.Contains(r.Barred, s.Version)
}

// loneVersions returns the versions of which a single server takes work, if a stream
// begins and another version has more.
func (p *Placer) loneVersions(now time.Duration, request *Request) []string {
	if !request.Begins || request.Pinned || p.versions[request.Service] < 2 {
		return nil
	}
	takers := make(map[string]int)
	for _, s := range p.byName[request.Service] {
		if p.Takes(now, s.Name) {
			takers[s.Version]++
		}
	}
	var lone []string
	several := false
	for version, n := range takers {
		if n == 1 {
			lone = append(lone, version)
		}
		several = several || n > 1
	}
	if !several {
		return nil
	}
	return lone
}

// countVersions counts the versions of each service's servers.
func (p *Placer) countVersions() {
	p.versions = make(map[string]int)
	for service, servers := range p.byName {
		seen := make(map[string]bool)
		for _, s := range servers {
			seen[s.Version] = true
		}
		p.versions[service] = len(seen)
	}
}

// Versions returns the versions of a service's servers.
func (p *Placer) Versions(service string) []string {
	var versions []string
	for _, s := range p.byName[service] {
		if !slices.Contains(versions, s.Version) {
			versions = append(versions, s.Version)
		}
	}
	return versions
}

// VersionOf returns the version of a server, and false if the server is not known.
func (p *Placer) VersionOf(name string) (string, bool) {
	s := p.servers[name]
	if s == nil {
		return "", false
	}
	return s.Version, true
}

// VersionStays reports whether a service has a server of a version that doesn't leave.
func (p *Placer) VersionStays(service, version string) bool {
	for _, s := range p.byName[service] {
		if s.Version == version && !p.IsLeaving(s.Name) {
			return true
		}
	}
	return false
}

// ServersOf returns the servers of a version of a service that take work, by name.
func (p *Placer) ServersOf(now time.Duration, service, version string) []string {
	var names []string
	for _, s := range p.byName[service] {
		if s.Version == version && p.Takes(now, s.Name) {
			names = append(names, s.Name)
		}
	}
	slices.Sort(names)
	return names
}
