// Package forwarderpb holds the messages that accompany a call between two nodes.
package forwarderpb
