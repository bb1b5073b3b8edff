// Package limiter enforces the rate and burst of each row of the table over the whole fleet.
//
// The rate and burst of a row are split into one share per failure domain. The leader of a shard group is
// the keeper of that shard's token buckets in its domain: under its lease it runs a DomainBucket, which holds
// the domain's shares of all rows of the shard. A NodeBucket holds the few whole tokens that a node has taken
// in advance for one row. DomainBuckets of different domains transfer tokens to each other. A token is in one
// place at a time, and each place counts against exactly one domain's share. So no loss, partition or crash
// lets the fleet spend more than burst + rate * window in any window.
//
// DomainBucket, NodeBucket and Plan do no I/O and take the time as an argument. Limiter runs them;
// the forwarder calls it for each request.
package limiter
