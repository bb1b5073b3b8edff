// Package admitter is the admission control of an upstream: it decides which requests run, which wait and which are refused.
//
// It runs in the upstream's own node. A concurrency limit adapts to measured latency, a bounded
// queue before it is ordered by importance and fair to workspaces, and requests that can't finish
// before their deadline are refused before they start. At entry nodes a Forecaster collects the cut-offs of
// the upstreams, so that requests which they would refuse are refused before any work is done for them.
package admitter
