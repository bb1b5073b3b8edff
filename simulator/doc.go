// Package simulator holds tests only: a discrete-event simulation of deployments, their nodes and their callers, in virtual time and
// without a network, with the cores of admission as the product uses them. It shows what callers get from admission as a whole, where
// the tests of admitter and throttler have one service each.
package simulator
