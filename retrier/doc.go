// Package retrier bounds the retries of a request over its whole call chain.
//
// A request carries an integer retry budget that is split and never copied: a node that forwards a call draws a share of its
// balance for it, and the unspent part comes back with the answer. In addition, the retries of one row of the table are limited
// to a percentage of its first attempts, and those of a service, over all rows and nodes, to what its first attempts have earned.
package retrier
