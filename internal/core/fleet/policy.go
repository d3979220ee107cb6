package fleet

import "slices"

// DefaultPolicy returns the values that apply where a configuration omits a
// default.
func DefaultPolicy() Policy {
	return Policy{
		FirstTokenTargetMS: 930,
		TokenGapTargetMS:   44,
		DeadlineMS:         60_000,
		QueueLimit:         256,
		MaxAttempts:        3,
		RetryBudgetRatio:   0.1,
		ProgressTimeoutMS:  2_000,
		DialTimeoutMS:      500,
		BodyLimitBytes:     1 << 20,
		AnswerLimitBytes:   64 << 10,
		RetentionS:         24 * 60 * 60,
		Routing:            RouteExpectedCompletion,
		PrefixAffinity:     true,
		Migration:          true,
		HedgeAfterMS:       0,
	}
}

// PolicyFor returns the policy for requests of a customer to a service in a
// zone: the defaults, overridden by the matching exceptions in order of
// increasing specificity. An exception whose scope sets more of service,
// customer and zone is more specific. With an equal number, a customer counts
// more than a service, and a service more than a zone.
func (c *Config) PolicyFor(service, customer, zone string) Policy {
	policy := c.Defaults
	var matching []*Exception
	for i := range c.Exceptions {
		if c.Exceptions[i].matches(service, customer, zone) {
			matching = append(matching, &c.Exceptions[i])
		}
	}
	slices.SortStableFunc(matching, func(a, b *Exception) int {
		return a.specificity() - b.specificity()
	})
	for _, e := range matching {
		e.Set.apply(&policy)
	}
	return policy
}

func (e *Exception) matches(service, customer, zone string) bool {
	return matchesScope(e.Service, service) &&
		matchesScope(e.Customer, customer) &&
		matchesScope(e.Zone, zone)
}

func matchesScope(scope, value string) bool {
	return scope == "" || scope == value
}

// specificity ranks a scope: the number of parts that are set comes first, and
// the weights of the parts break ties.
func (e *Exception) specificity() int {
	const (
		perPart  = 8
		customer = 4
		service  = 2
		zone     = 1
	)
	n := 0
	if e.Customer != "" {
		n += perPart + customer
	}
	if e.Service != "" {
		n += perPart + service
	}
	if e.Zone != "" {
		n += perPart + zone
	}
	return n
}

func (o *PolicyOverride) apply(p *Policy) {
	override(&p.FirstTokenTargetMS, o.FirstTokenTargetMS)
	override(&p.TokenGapTargetMS, o.TokenGapTargetMS)
	override(&p.DeadlineMS, o.DeadlineMS)
	override(&p.QueueLimit, o.QueueLimit)
	override(&p.MaxAttempts, o.MaxAttempts)
	override(&p.RetryBudgetRatio, o.RetryBudgetRatio)
	override(&p.ProgressTimeoutMS, o.ProgressTimeoutMS)
	override(&p.DialTimeoutMS, o.DialTimeoutMS)
	override(&p.BodyLimitBytes, o.BodyLimitBytes)
	override(&p.AnswerLimitBytes, o.AnswerLimitBytes)
	override(&p.RetentionS, o.RetentionS)
	override(&p.Routing, o.Routing)
	override(&p.PrefixAffinity, o.PrefixAffinity)
	override(&p.Migration, o.Migration)
	override(&p.HedgeAfterMS, o.HedgeAfterMS)
}

func override[T any](value, replacement *T) {
	if replacement != nil {
		*value = *replacement
	}
}
