package replicator

import "time"

// Message is a message from one member's Core to another's.
// Messages may be lost, duplicated, delayed and reordered.
type Message struct {
	From, To Member
	Term     uint64 // the sender's; in a pre-vote request, the term of the election that would follow
	Body     Body
	// lazy messages may be delayed a little to share a request with others; it isn't sent.
	lazy bool
}

// Body is one of VoteRequest, VoteResponse, AppendRequest, AppendResponse, SnapshotRequest, SnapshotResponse,
// TimeoutNow, ReadIndexRequest, ReadIndexResponse and RemovedNotice.
type Body interface{ body() }

// VoteRequest asks for a vote.
type VoteRequest struct {
	// Pre marks a pre-vote: it asks whether the vote would be granted and changes nothing at the voter.
	Pre bool
	// Transfer marks an election that the leader itself initiated after it gave up its lease.
	Transfer bool
	// Forwarded marks a request from a non-member that a follower forwards to the leader.
	Forwarded           bool
	LastIndex, LastTerm uint64
}

// VoteResponse answers a VoteRequest.
type VoteResponse struct{ Pre, Granted bool }

// AppendRequest carries the entries after PrevIndex, or none as a heartbeat.
type AppendRequest struct {
	PrevIndex, PrevTerm uint64
	Entries             []Entry
	Commit              uint64
	// Sent is the time of sending, counted from the start of the leader's Core; responses return it.
	Sent time.Duration
}

// AppendResponse answers an AppendRequest.
type AppendResponse struct {
	Reject bool
	// PrevIndex is that of the request.
	PrevIndex uint64
	// Match is the highest index up to which the log equals the leader's; with Reject, the index to try next.
	Match uint64
	Sent  time.Duration
}

// SnapshotRequest carries a chunk of a snapshot.
type SnapshotRequest struct {
	Snapshot Snapshot // its Data is the chunk that begins at Offset
	Offset   uint64
	Total    uint64 // size of the whole data in bytes
	Sent     time.Duration
}

// SnapshotResponse answers a SnapshotRequest.
type SnapshotResponse struct {
	Index uint64 // of the snapshot
	Next  uint64 // offset of the chunk expected next
	Sent  time.Duration
}

// TimeoutNow tells a voter to start an election at once.
type TimeoutNow struct{}

// ReadIndexRequest asks the leader for the index that must be applied before a linearizable read.
type ReadIndexRequest struct{ ID uint64 }

// ReadIndexResponse answers a ReadIndexRequest.
type ReadIndexResponse struct{ ID, Index uint64 }

// RemovedNotice tells a former member that it was removed from the group.
type RemovedNotice struct{}

func (VoteRequest) body()       {}
func (VoteResponse) body()      {}
func (AppendRequest) body()     {}
func (AppendResponse) body()    {}
func (SnapshotRequest) body()   {}
func (SnapshotResponse) body()  {}
func (TimeoutNow) body()        {}
func (ReadIndexRequest) body()  {}
func (ReadIndexResponse) body() {}
func (RemovedNotice) body()     {}
