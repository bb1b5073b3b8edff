// Package sharder runs the shard groups of a failure domain: small replicated groups in memory
// that store the domain's claims and whose leaders hold its rate limit buckets. Groups elect their leaders
// and replace failed members within the domain; the table only states which generation of a group is in force,
// and its initial members.
// docs/design/sharder.md gives the reasons.
package sharder
