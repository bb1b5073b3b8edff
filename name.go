package gypsumhoist

// Instance is the name of one process of the fleet. No two processes have the same name at a time.
// The zero value is no instance.
type Instance string

// FailureDomain is the name of a set of instances that fail together or are partitioned from the others together.
// The zero value is no failure domain.
type FailureDomain string

// Workspace is the name of a tenant, which owns keys and rows of the table.
// The zero value is no workspace.
type Workspace string

// Service is the name of a set of upstreams that serve the same routes.
// The zero value is no service.
type Service string

// RequestID identifies one request of a caller across all its hops and retries.
type RequestID string

// Importance orders requests for load shedding: the less important are shed first.
// Valid values lie between ImportanceMin and ImportanceMax.
type Importance int32

// Bounds of an Importance.
const (
	ImportanceMin Importance = 0
	ImportanceMax Importance = 100
)
