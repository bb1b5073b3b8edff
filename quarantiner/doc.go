// Package quarantiner keeps a request that has crashed one upstream from crashing many.
//
// The requests in flight at an upstream when it dies become suspects, and the other nodes are notified.
// A suspect runs only with a permit, of which the fleet grants one at a time for each request head, and
// a node runs only one suspect at a time. A suspect that completes is cleared; one that was in flight at
// two deaths is quarantined, that is, refused until its deaths expire or an operator lifts the quarantine.
package quarantiner
