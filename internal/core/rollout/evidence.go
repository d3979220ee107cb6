package rollout

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// ratioBounds are the upper bounds of the buckets of the time to the first event, as a
// multiple of the predicted time. The last bucket has no bound.
var ratioBounds = [...]float64{0.75, 1.5, 2, 3, 5, 8}

const buckets = len(ratioBounds) + 1

// slowFrom lists the buckets from which a response counts as slow, each tested by itself: more
// than twice and more than three times the prediction.
var slowFrom = [...]int{3, 4}

// Counts are the counts of responses of a version on a route.
type Counts struct {
	Responses uint64
	Failures  uint64
	// Ratios counts the responses by the time to the first event, relative to the prediction.
	Ratios [buckets]uint64
}

// Bucket returns the bucket of a time to the first event.
func Bucket(actual, predicted time.Duration) int {
	// A prediction of less than a millisecond is below the resolution of the network's delay.
	ratio := float64(actual) / float64(max(predicted, time.Millisecond))
	for i, bound := range ratioBounds {
		if ratio < bound {
			return i
		}
	}
	return buckets - 1
}

func (c Counts) add(o Counts) Counts {
	c.Responses += o.Responses
	c.Failures += o.Failures
	for i := range c.Ratios {
		c.Ratios[i] += o.Ratios[i]
	}
	return c
}

// since returns what was counted after an earlier state of the counts.
func (c Counts) since(earlier Counts) Counts {
	c.Responses -= min(earlier.Responses, c.Responses)
	c.Failures -= min(earlier.Failures, c.Failures)
	for i := range c.Ratios {
		c.Ratios[i] -= min(earlier.Ratios[i], c.Ratios[i])
	}
	return c
}

// from returns the number of responses in a bucket or a later one, and of those in any.
func (c Counts) from(bucket int) (slow, all uint64) {
	for i, n := range c.Ratios {
		all += n
		if i >= bucket {
			slow += n
		}
	}
	return slow, all
}

// Key identifies counts: those of the target or of all other versions, on a route.
type Key struct {
	Target bool
	Route  string
}

// Evidence holds counts by key.
type Evidence map[Key]Counts

func (e Evidence) add(key Key, counts Counts) { e[key] = e[key].add(counts) }

func (e Evidence) since(earlier Evidence) Evidence {
	diff := make(Evidence, len(e))
	for key, counts := range e {
		diff[key] = counts.since(earlier[key])
	}
	return diff
}

// total returns the counts of all routes.
func (e Evidence) total(target bool) Counts {
	var sum Counts
	for key, counts := range e {
		if key.Target == target {
			sum = sum.add(counts)
		}
	}
	return sum
}

const (
	// badLevel is the probability below which counts of a version as good as the old one are
	// taken as proof that it is bad. It covers some hundred looks at some ten routes.
	badLevel = 1e-6
	// certainFailures is the number of failures from which certainLevel is enough. It leaves room
	// for what arrives until the 50th bad response.
	certainFailures = 30
	certainLevel    = 1e-2
	// stepLevel and completeLevel are the chances below which no further step is made, and the roll-out
	// does not complete. manyLooks is the factor by which the chance in one of several tests is raised.
	stepLevel     = 0.02
	completeLevel = 1e-4
	manyLooks     = 10
	// minFailures is the smallest number of failures that proves anything.
	minFailures = 4
	// slowLevel is the chance below which slow responses show in one span of time; two spans at
	// least a second apart prove that the target is bad. One machine that is slow for a second delays many
	// responses at once.
	slowLevel = 1e-3
	// minSlow is the smallest number of slow responses in a span that shows anything, and minSlowShare
	// by how much their share must exceed the old version's: servers are also slow for the load.
	minSlow = 3
	// certainSlow is the number of slow responses from which one span is enough, at badLevel.
	certainSlow  = 40
	minSlowShare = 0.25
	// baseFailures and baseSlow are the shares of failures and slow responses of a good version
	// if the old one has shown none.
	baseFailures = 0.005
	baseSlow     = 0.05
	// priorWeight is the number of observations that the base shares count for.
	priorWeight = 20
	maxShare    = 0.99
)

// verdict is what evidence says of the target.
type verdict struct {
	bad   bool
	cause string
	// chance is the lowest probability with which a version as good as the old one shows these failures,
	// and slowChance these times.
	chance, slowChance float64
	// slow says why responses are slow; empty if they are not.
	slow string
}

// judge compares the target with the old version over the same counts, in total and by route.
func judge(e Evidence) verdict {
	result := compare("", e.total(true), e.total(false))
	routes := make([]string, 0, len(e))
	for key := range e {
		if key.Target {
			routes = append(routes, key.Route)
		}
	}
	slices.Sort(routes)
	for _, route := range routes {
		if result.bad {
			break
		}
		found := compare(route, e[Key{true, route}], e[Key{false, route}])
		found.chance = min(found.chance*manyLooks, result.chance)
		found.slowChance = min(found.slowChance*manyLooks, result.slowChance)
		if result.slow != "" {
			found.slow = result.slow
		}
		result = found
	}
	return result
}

// maxRouteBytes bounds the name of a route in a cause.
const maxRouteBytes = 64

func compare(route string, target, old Counts) verdict {
	where := "in total"
	if route != "" {
		where = "on route " + strings.ToValidUTF8(route[:min(len(route), maxRouteBytes)], "")
	}
	base := share(old.Failures, old.Responses, baseFailures)
	p := 1.0
	if target.Failures > 1 {
		p = tail(target.Failures, target.Responses, base)
	}
	level := badLevel
	if target.Failures >= certainFailures {
		level = certainLevel
	}
	result := verdict{chance: p, slowChance: 1}
	if target.Failures >= minFailures && p < level {
		return verdict{bad: true, cause: fmt.Sprintf("%d of %d responses failed %s, of the old version %d of %d", target.Failures, target.Responses, where, old.Failures, old.Responses)}
	}
	return result.addSlow(where, target, old)
}

// addSlow adds what the times to the first event say.
func (result verdict) addSlow(where string, target, old Counts) verdict {
	for _, bucket := range slowFrom {
		slow, n := target.from(bucket)
		oldSlow, oldN := old.from(bucket)
		base := share(oldSlow, oldN, baseSlow)
		if n == 0 || float64(slow)/float64(n) < base+minSlowShare {
			continue
		}
		p := tail(slow, n, base)
		result.slowChance = min(result.slowChance, p)
		cause := fmt.Sprintf("%d of %d responses took more than %.1f times the predicted time %s, of the old version %d of %d", slow, n, ratioBounds[bucket-1], where, oldSlow, oldN)
		if slow >= certainSlow && p < badLevel {
			return verdict{bad: true, cause: cause}
		}
		if slow >= minSlow && p < slowLevel && result.slow == "" {
			result.slow = cause
		}
	}
	return result
}

// share returns the share of count among n, or base if that is higher. With few observations
// it is between the share and base.
func share(count, n uint64, base float64) float64 {
	return min(max(base, (float64(count)+base*priorWeight)/(float64(n)+priorWeight)), maxShare)
}

// tail returns the probability of at least k of n with probability p each, or 1 if k is not above the
// mean. The terms below the mean may be too small for a float64.
func tail(k, n uint64, p float64) float64 {
	if float64(k) <= p*float64(n) {
		return 1
	}
	term := math.Exp(logChoose(n, k) + float64(k)*math.Log(p) + float64(n-k)*math.Log1p(-p))
	sum := 0.0
	for i := k; i <= n && term > sum*negligible; i++ {
		sum += term
		term *= float64(n-i) / float64(i+1) * p / (1 - p)
	}
	return min(sum, 1)
}

// negligible is the part of a sum that a further term does not change noticeably.
const negligible = 1e-9

func logChoose(n, k uint64) float64 {
	a, _ := math.Lgamma(float64(n) + 1)
	b, _ := math.Lgamma(float64(k) + 1)
	c, _ := math.Lgamma(float64(n-k) + 1)
	return a - b - c
}
