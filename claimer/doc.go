// Package claimer ensures that a non-idempotent request with an idempotency key runs at most once in the whole fleet.
//
// An entry node claims the idempotency key in the key's home failure domain before it sends the first
// byte to an upstream. Machine is the state machine that a shard group of the home domain replicates.
// Claimer is the client that an entry node uses.
package claimer
