package replicator

import (
	"errors"
	"fmt"
)

// ErrNoLeader is the error of a proposal or read that definitely was not accepted and never will be.
type ErrNoLeader struct {
	Group string
	// Leader is the member to try instead; the zero value means that none is known.
	Leader Member
	// Detail is the reason in a few words.
	Detail string
}

// Error returns the group, the reason and the leader if one is known.
func (er *ErrNoLeader) Error() string {
	if er.Leader == (Member{}) {
		return fmt.Sprintf("group %s: not accepted: %s", er.Group, er.Detail)
	}
	return fmt.Sprintf("group %s: not accepted: %s; leader is %s at %s", er.Group, er.Detail, er.Leader.ID(), er.Leader.Peer)
}

// ErrUnknownOutcome is the error of a proposal that may have been accepted, or may still be.
type ErrUnknownOutcome struct {
	Group string
	Cause error // never nil
}

// Error returns the group and the cause.
func (er *ErrUnknownOutcome) Error() string {
	return fmt.Sprintf("group %s: outcome unknown: %v", er.Group, er.Cause)
}

// Unwrap returns the cause.
func (er *ErrUnknownOutcome) Unwrap() error { return er.Cause }

// ErrChange is the error of a membership change that the leader refused. It was not made.
type ErrChange struct {
	Change Change
	Detail string
}

// Error returns the change and the reason.
func (er *ErrChange) Error() string {
	return fmt.Sprintf("%s of %s refused: %s", er.Change.Kind, er.Change.Member.ID(), er.Detail)
}

// ErrStopped is the cause that errors wrap when a group was stopped while a call was pending.
var ErrStopped = errors.New("group stopped")

// ErrReopened is returned for an attempt to open a group under an identity whose state is lost.
var ErrReopened = errors.New("identity was a member of this group before and its state is lost")
