// Package auditor finds lost requests in saved logs: callers' requests that were refused, failed or answered late. It reports
// the second, route and failure domain of each, and the call in its call chain where the loss began.
package auditor
