// Package estimator derives answer timeouts from measured round-trip times (RFC 6298).
package estimator
