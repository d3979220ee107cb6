package lineage

import (
	"slices"
	"time"
)

// version is a version that streams in progress may have.
type version struct {
	Version
	listed bool
	// until is when the last stream of the version ends, once it is not listed.
	until time.Duration
}

func (v *version) live(now time.Duration) bool { return v.listed || v.until > now }

// version returns the entry of the history for a version.
func (b *Book) version(key Version) *version {
	v := b.versions[key]
	if v == nil {
		v = &version{Version: key}
		b.versions[key] = v
	}
	return v
}

// Listed records the versions of a list that was read from the platform at a time,
// those of leaving servers included.
func (b *Book) Listed(readAt time.Duration, versions []Version) {
	if b.listed && readAt < b.readAt {
		for _, key := range versions {
			b.claim(key, readAt+unlistedUse+StreamBound)
		}
		return
	}
	b.advance(readAt)
	for _, v := range b.versions {
		if v.listed {
			v.listed = false
			v.until = max(v.until, readAt+unlistedUse+StreamBound)
		}
	}
	for _, key := range versions {
		b.version(key).listed = true
	}
}

// Confirmed records that the latest list was still the present one at a time.
func (b *Book) Confirmed(readAt time.Duration) {
	if b.listed && readAt > b.readAt {
		b.advance(readAt)
	}
}

// advance records the time of the latest list. After a gap the history is complete from
// that list on.
func (b *Book) advance(readAt time.Duration) {
	if !b.listed || readAt-b.readAt > maxListGap {
		b.since = readAt
		b.resets++
	}
	b.readAt, b.listed = readAt, true
	b.Checked(readAt)
}

// Resets counts how often the history began anew, the first list included.
func (b *Book) Resets() uint64 { return b.resets }

// claim keeps a version in the history until a time.
func (b *Book) claim(key Version, until time.Duration) *version {
	v := b.version(key)
	v.until = max(v.until, until)
	return v
}

// fresh reports whether the latest list can be taken for the present one.
func (b *Book) fresh(now time.Duration) bool { return b.listed && now-b.readAt <= maxListAge }

// Reach returns how far back the history is complete, at most StreamBound. It is zero
// while the latest list is too old.
func (b *Book) Reach(now time.Duration) time.Duration {
	if !b.fresh(now) {
		return 0
	}
	return min(max(now-b.since, 0), StreamBound)
}

// Complete reports whether the history reaches back as far as any stream that is expected.
func (b *Book) Complete(now time.Duration) bool {
	return b.bound > 0 && b.Reach(now) >= b.bound
}

// single returns the version of a service that has had no other one for as long as a
// stream can last. On a platform whose lists name no versions, the empty one needs no
// history.
func (b *Book) single(now time.Duration, service string) (string, bool) {
	names := b.Versions(now, service)
	if len(names) != 1 || !b.fresh(now) {
		return "", false
	}
	if names[0] != "" && !b.Complete(now) {
		return "", false
	}
	return names[0], true
}

// Services returns the sorted services of which versions are known.
func (b *Book) Services() []string {
	var services []string
	for key := range b.versions {
		if !slices.Contains(services, key.Service) {
			services = append(services, key.Service)
		}
	}
	slices.Sort(services)
	return services
}

// Versions returns the sorted versions that streams of a service may have.
func (b *Book) Versions(now time.Duration, service string) []string {
	var names []string
	for key, v := range b.versions {
		if key.Service == service && v.live(now) {
			names = append(names, key.Name)
		}
	}
	slices.Sort(names)
	return names
}
