package replica

import (
	"testing"

	"waxwingcart/internal/core/quota"
	"waxwingcart/internal/core/serverlimit"
)

// A call that was accepted in a former term must not restart the allocator of the
// current one, which would grant the customers' units a second time.
func TestFormerTermKeepsGrants(t *testing.T) {
	l := newLimits()
	renewal := quota.Renewal{Number: 1, Limits: map[string]quota.Limit{"heirs": {Rate: 1, Burst: 100}}}
	if _, _, ok := l.renew(0, 2, renewal, serverlimit.Report{}); !ok {
		t.Fatal("term 2: not granted")
	}
	current := l.allocator
	if _, _, ok := l.renew(0, 1, renewal, serverlimit.Report{}); ok {
		t.Error("a call of term 1 was granted units in term 2")
	}
	if _, _, ok := l.renew(0, 2, renewal, serverlimit.Report{}); !ok || l.allocator != current {
		t.Error("a call of term 1 replaced the allocator of term 2")
	}
}
