// Package fleet defines the fleet configuration: the one document that
// operators change and that every process of a deployment has in force.
//
// The package holds plain data and pure functions. Parsing with source
// positions lives in package settings.
package fleet

// Config is one complete fleet configuration.
type Config struct {
	// Defaults is the policy that applies wherever no exception does.
	Defaults Policy `json:"defaults"`
	// Zones lists the availability zones.
	Zones []Zone `json:"zones"`
	// Classes lists the machine classes that can be rented.
	Classes []MachineClass `json:"classes"`
	// Services lists the services that customers call.
	Services []Service `json:"services"`
	// BackendServers lists the known backend servers.
	BackendServers []BackendServer `json:"backend_servers"`
	// Customers lists the callers and their limits.
	Customers []Customer `json:"customers"`
	// Exceptions override Defaults for a narrower scope.
	Exceptions []Exception `json:"exceptions,omitempty"`
}

// Zone is one availability zone.
type Zone struct {
	Name string `json:"name"`
	// DelaysMS gives the one-way network delay in milliseconds to other
	// zones, by zone name. A zone that is not listed counts as
	// DefaultZoneDelayMS away.
	DelaysMS map[string]float64 `json:"delays_ms,omitempty"`
}

// DefaultZoneDelayMS is the one-way delay assumed between two zones for
// which no delay is configured.
const DefaultZoneDelayMS = 5.0

// MachineClass is a kind of VM that can be rented in some zones.
type MachineClass struct {
	Name string `json:"name"`
	// Reclaimable is true if the platform may take the VM back on notice.
	Reclaimable bool `json:"reclaimable"`
	// PricesPerHour gives the price of one VM hour by zone name, in the
	// deployment's currency.
	PricesPerHour map[string]float64 `json:"prices_per_hour"`
	// TokensPerSecond is the decoding rate of one VM with a full batch.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// Slots is the number of requests that one VM runs at the same time.
	Slots int `json:"slots"`
	// KVBytesPerToken is the size of a token's exported KV cache.
	KVBytesPerToken int `json:"kv_bytes_per_token,omitempty"`
	// ExportBytesPerSecond is the rate of a VM's link for exports of KV
	// cache. Zero means that its engines export none.
	ExportBytesPerSecond float64 `json:"export_bytes_per_second,omitempty"`
}

// ServiceKind tells model services from plain application services.
type ServiceKind string

// The kinds of service.
const (
	ServiceModel ServiceKind = "model"
	ServiceApp   ServiceKind = "app"
)

// Service is a set of backend servers that serve one model or application.
type Service struct {
	Name string      `json:"name"`
	Kind ServiceKind `json:"kind"`
	// Model is the name that callers give in the "model" field. It is empty
	// for an application service.
	Model string `json:"model,omitempty"`
	// Repeatable lists the method and path prefix pairs of an application
	// service whose requests may be sent again, as "GET /records/".
	// GET and HEAD are repeatable without being listed.
	Repeatable []string `json:"repeatable,omitempty"`
	// Short marks a service whose requests must not wait behind long ones.
	Short bool `json:"short,omitempty"`
	// PeakRequestsPerSecond is the load that the planner provides for.
	PeakRequestsPerSecond float64 `json:"peak_requests_per_second,omitempty"`
	// MeanTokens is the mean number of generated tokens a request.
	MeanTokens float64 `json:"mean_tokens,omitempty"`
}

// Fencing says what a backend server does with an order's fencing number.
type Fencing string

// The fencing settings.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// BackendServer is one model engine or application server.
type BackendServer struct {
	Name string `json:"name"`
	// VM is the name that the platform's list uses for the server's VM.
	VM      string `json:"vm"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Class   string `json:"class"`
	// Address is the server's IP address and port.
	Address string `json:"address"`
	// Vendor selects the shape of the server's own reports.
	Vendor  string  `json:"vendor"`
	Fencing Fencing `json:"fencing"`
}

// Customer is one caller organisation.
type Customer struct {
	Name string `json:"name"`
	// KeyHashes are the lower-case hexadecimal SHA-256 hashes of the
	// customer's bearer keys.
	KeyHashes []string `json:"key_hashes"`
	// Weight is the customer's share in the fair queues.
	Weight float64 `json:"weight"`
	// RequestsPerSecond limits the customer over all entries.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// TokensPerSecond limits estimated tokens over all entries.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// MaxInFlight limits concurrent requests over all entries.
	MaxInFlight int `json:"max_in_flight"`
}

// Policy is the complete set of values that an exception may override.
type Policy struct {
	// FirstTokenTargetMS is the target for the first token, or for the whole
	// answer of an application service, in milliseconds.
	FirstTokenTargetMS float64 `json:"first_token_target_ms"`
	// TokenGapTargetMS is the target between two tokens, in milliseconds.
	TokenGapTargetMS float64 `json:"token_gap_target_ms"`
	// DeadlineMS is the time after which a request is given up, in
	// milliseconds, unless the caller asks for less.
	DeadlineMS float64 `json:"deadline_ms"`
	// QueueLimit bounds the requests that wait at one entry.
	QueueLimit int `json:"queue_limit"`
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int `json:"max_attempts"`
	// RetryBudgetRatio is the number of retries allowed per success.
	RetryBudgetRatio float64 `json:"retry_budget_ratio"`
	// ProgressTimeoutMS is the longest silence of a stream before its
	// connection counts as dead, in milliseconds.
	ProgressTimeoutMS float64 `json:"progress_timeout_ms"`
	// DialTimeoutMS bounds connecting to a backend server, in milliseconds.
	DialTimeoutMS float64 `json:"dial_timeout_ms"`
	// BodyLimitBytes bounds the body of a request.
	BodyLimitBytes int64 `json:"body_limit_bytes"`
	// AnswerLimitBytes bounds the body that an idempotency record keeps.
	AnswerLimitBytes int64 `json:"answer_limit_bytes"`
	// RetentionS is how long idempotency records are kept, in seconds.
	RetentionS float64 `json:"retention_s"`
	// Routing selects the routing policy.
	Routing RoutingPolicy `json:"routing"`
	// PrefixAffinity routes requests with a common prefix together.
	PrefixAffinity bool `json:"prefix_affinity"`
	// Migration moves the KV cache of streams off a leaving model engine.
	Migration bool `json:"migration"`
	// HedgeAfterMS is the delay before an idempotent lookup is sent a second
	// time, in milliseconds. Zero turns hedging off.
	HedgeAfterMS float64 `json:"hedge_after_ms"`
}

// RoutingPolicy names a way to choose a backend server.
type RoutingPolicy string

// The routing policies. All but RouteExpectedCompletion are baselines.
const (
	RouteExpectedCompletion RoutingPolicy = "expected-completion"
	RouteRoundRobin         RoutingPolicy = "round-robin"
	RouteLeastInFlight      RoutingPolicy = "least-in-flight"
)

// Exception overrides policy values for the requests in its scope.
type Exception struct {
	// Service, Customer and Zone narrow the scope; an empty one matches all.
	Service  string `json:"service,omitempty"`
	Customer string `json:"customer,omitempty"`
	Zone     string `json:"zone,omitempty"`
	// Set gives the overridden values by their JSON name in Policy.
	Set PolicyOverride `json:"set"`
	// Reason says why the exception exists. It must not be empty.
	Reason string `json:"reason"`
}

// PolicyOverride holds the values that an exception sets; nil keeps the
// default.
type PolicyOverride struct {
	FirstTokenTargetMS *float64       `json:"first_token_target_ms,omitempty"`
	TokenGapTargetMS   *float64       `json:"token_gap_target_ms,omitempty"`
	DeadlineMS         *float64       `json:"deadline_ms,omitempty"`
	QueueLimit         *int           `json:"queue_limit,omitempty"`
	MaxAttempts        *int           `json:"max_attempts,omitempty"`
	RetryBudgetRatio   *float64       `json:"retry_budget_ratio,omitempty"`
	ProgressTimeoutMS  *float64       `json:"progress_timeout_ms,omitempty"`
	DialTimeoutMS      *float64       `json:"dial_timeout_ms,omitempty"`
	BodyLimitBytes     *int64         `json:"body_limit_bytes,omitempty"`
	AnswerLimitBytes   *int64         `json:"answer_limit_bytes,omitempty"`
	RetentionS         *float64       `json:"retention_s,omitempty"`
	Routing            *RoutingPolicy `json:"routing,omitempty"`
	PrefixAffinity     *bool          `json:"prefix_affinity,omitempty"`
	Migration          *bool          `json:"migration,omitempty"`
	HedgeAfterMS       *float64       `json:"hedge_after_ms,omitempty"`
}
