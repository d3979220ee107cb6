package entry

import (
	"time"

	"waxwingcart/internal/core/routes"
)

// olderConfiguration is a routing configuration that was replaced. Calls that began
// under it may last until the given time.
type olderConfiguration struct {
	config *configuration
	until  time.Duration
}

// keepOlder notes that the policy's configuration is about to be replaced. The caller
// holds mu.
func (p *policy) keepOlder(now time.Duration) {
	kept := p.older[:0]
	for _, older := range p.older {
		if older.until > now {
			kept = append(kept, older)
		}
	}
	p.older = kept
	if p.config == nil || p.config.routes == nil {
		return
	}
	longest, _ := p.config.routes.LongestTimeout()
	p.older = append(p.older, olderConfiguration{p.config, now + longest})
}

// serviceInUse returns a service of the configuration, or one that it has dropped and
// calls in progress may still need, or nil. The caller holds mu.
func (p *policy) serviceInUse(now time.Duration, name string) *routes.Service {
	if service := p.config.routes.Service(name); service != nil {
		return service
	}
	for i := len(p.older) - 1; i >= 0; i-- {
		if p.older[i].until <= now {
			continue
		}
		if service := p.older[i].config.routes.Service(name); service != nil {
			return service
		}
	}
	return nil
}

// droppedInUse returns the names of the services that the configuration has dropped
// and calls in progress may still need. The caller holds mu.
func (p *policy) droppedInUse(now time.Duration) []string {
	var names []string
	for _, older := range p.older {
		if older.until <= now {
			continue
		}
		for i := range older.config.routes.Services {
			if name := older.config.routes.Services[i].Name; p.config.routes.Service(name) == nil {
				names = append(names, name)
			}
		}
	}
	return names
}
