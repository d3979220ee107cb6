// Package fleet defines the fleet configuration: the single document that
// operators edit and that every process of a deployment applies.
//
// The package holds plain data and pure functions. Package settings parses
// configuration files and reports problems with their source positions.
package fleet

// Config is one complete fleet configuration.
type Config struct {
	// Defaults applies wherever no exception overrides a value.
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
	// Exceptions override values of Defaults in a narrower scope.
	Exceptions []Exception `json:"exceptions,omitempty"`
}

// Zone is one availability zone.
type Zone struct {
	Name string `json:"name"`
	// DelaysMS gives the one-way network delay in milliseconds to other
	// zones, by zone name. The delay to a zone that is not listed is
	// DefaultZoneDelayMS.
	DelaysMS map[string]float64 `json:"delays_ms,omitempty"`
}

// DefaultZoneDelayMS is the one-way network delay in milliseconds between
// two zones for which none is configured.
const DefaultZoneDelayMS = 5.0

// MachineClass is a kind of VM that can be rented in some zones.
type MachineClass struct {
	Name string `json:"name"`
	// Reclaimable is true if the platform may take the VM back after giving
	// notice.
	Reclaimable bool `json:"reclaimable"`
	// PricesPerHour gives the price of one VM hour by zone name, in the
	// deployment's currency.
	PricesPerHour map[string]float64 `json:"prices_per_hour"`
	// TokensPerSecond is the decoding rate of one VM at full batch size.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// Slots is the number of requests that one VM runs concurrently.
	Slots int `json:"slots"`
	// KVBytesPerToken is the size of the exported KV cache per token.
	KVBytesPerToken int `json:"kv_bytes_per_token,omitempty"`
	// ExportBytesPerSecond is the bandwidth of a VM's link for KV cache
	// exports. Zero means that its engines do not export KV caches.
	ExportBytesPerSecond float64 `json:"export_bytes_per_second,omitempty"`
}

// ServiceKind distinguishes model services from application services.
type ServiceKind string

// The service kinds.
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
	// Repeatable lists the requests of an application service that may be
	// sent more than once, each as a method and a path prefix such as
	// "GET /records/". GET and HEAD are always repeatable.
	Repeatable []string `json:"repeatable,omitempty"`
	// Short marks a service whose requests must not queue behind long ones.
	Short bool `json:"short,omitempty"`
	// PeakRequestsPerSecond is the peak load that the planner sizes the
	// service for.
	PeakRequestsPerSecond float64 `json:"peak_requests_per_second,omitempty"`
	// MeanTokens is the mean number of generated tokens per request.
	MeanTokens float64 `json:"mean_tokens,omitempty"`
}

// Fencing says whether a backend server checks the fencing number of an order.
type Fencing string

// The values of Fencing.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// BackendServer is one model engine or application server.
type BackendServer struct {
	Name string `json:"name"`
	// VM is the name of the server's VM in the platform's VM list.
	VM      string `json:"vm"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Class   string `json:"class"`
	// Address is the server's IP address and port.
	Address string `json:"address"`
	// Vendor selects the format of the server's load reports.
	Vendor  string  `json:"vendor"`
	Fencing Fencing `json:"fencing"`
}

// Customer is an organisation that sends requests.
type Customer struct {
	Name string `json:"name"`
	// KeyHashes are the lower-case hexadecimal SHA-256 hashes of the
	// customer's bearer keys.
	KeyHashes []string `json:"key_hashes"`
	// Weight is the customer's weight in fair queueing.
	Weight float64 `json:"weight"`
	// RequestsPerSecond limits the request rate across all entries.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// TokensPerSecond limits the estimated token rate across all entries.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// MaxInFlight limits concurrent requests across all entries.
	MaxInFlight int `json:"max_in_flight"`
}

// Policy is the set of values that an exception may override.
type Policy struct {
	// FirstTokenTargetMS is the latency target for the first token, or for the
	// whole response of an application service, in milliseconds.
	FirstTokenTargetMS float64 `json:"first_token_target_ms"`
	// TokenGapTargetMS is the target for the time between two tokens, in
	// milliseconds.
	TokenGapTargetMS float64 `json:"token_gap_target_ms"`
	// DeadlineMS is the time limit of a request, in milliseconds. A caller may
	// ask for a shorter one.
	DeadlineMS float64 `json:"deadline_ms"`
	// QueueLimit bounds the requests queued at one entry.
	QueueLimit int `json:"queue_limit"`
	// MaxAttempts bounds the attempts for one request.
	MaxAttempts int `json:"max_attempts"`
	// RetryBudgetRatio is the number of retries allowed per successful request.
	RetryBudgetRatio float64 `json:"retry_budget_ratio"`
	// ProgressTimeoutMS is how long a stream may make no progress before its
	// connection is considered dead, in milliseconds.
	ProgressTimeoutMS float64 `json:"progress_timeout_ms"`
	// DialTimeoutMS bounds the connection setup to a backend server, in
	// milliseconds.
	DialTimeoutMS float64 `json:"dial_timeout_ms"`
	// BodyLimitBytes bounds a request body.
	BodyLimitBytes int64 `json:"body_limit_bytes"`
	// AnswerLimitBytes bounds the response body that an idempotency record
	// stores.
	AnswerLimitBytes int64 `json:"answer_limit_bytes"`
	// RetentionS is how long idempotency records are kept, in seconds.
	RetentionS float64 `json:"retention_s"`
	// Routing selects the routing policy.
	Routing RoutingPolicy `json:"routing"`
	// PrefixAffinity routes requests with a common prefix together.
	PrefixAffinity bool `json:"prefix_affinity"`
	// Migration moves the KV caches of streams off a model engine that is
	// leaving service.
	Migration bool `json:"migration"`
	// HedgeAfterMS is the delay before an idempotent lookup is sent a second
	// time, in milliseconds. Zero disables hedging.
	HedgeAfterMS float64 `json:"hedge_after_ms"`
}

// RoutingPolicy names an algorithm that chooses a backend server.
type RoutingPolicy string

// The routing policies. All but RouteExpectedCompletion are baselines.
const (
	RouteExpectedCompletion RoutingPolicy = "expected-completion"
	RouteRoundRobin         RoutingPolicy = "round-robin"
	RouteLeastInFlight      RoutingPolicy = "least-in-flight"
)

// Exception overrides policy values for the requests in its scope.
type Exception struct {
	// Service, Customer and Zone limit the scope; an empty field matches all.
	Service  string `json:"service,omitempty"`
	Customer string `json:"customer,omitempty"`
	Zone     string `json:"zone,omitempty"`
	// Set holds the overridden values, under their JSON names in Policy.
	Set PolicyOverride `json:"set"`
	// Reason says why the exception exists. It must not be empty.
	Reason string `json:"reason"`
}

// PolicyOverride holds the values that an exception sets. A nil field keeps
// the default.
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
