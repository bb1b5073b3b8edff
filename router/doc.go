// Package router picks the upstream for each attempt of a call.
//
// The nearest failure domain is preferred; farther ones take the overflow. Among upstreams at about the same
// distance the router picks the better of two random choices, judged by what this node has measured itself. Load
// reports of upstreams have a bounded effect only.
package router
