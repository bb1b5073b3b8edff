// Package estimator derives response timeouts from measured round-trip times (RFC 6298).
package estimator
