package replicator

import "strings"

// Fallback handles groups that are not open at a Host, or open under another identity. Its methods must not block.
type Fallback interface {
	// Unknown is called for a message to a member whose group is not open here under that identity.
	// The address in to is not set.
	Unknown(group string, to, from Member)
	// Leader returns the presumed leader of the group; false means that none is known.
	Leader(group string) (Member, bool)
}

// SetFallback sets the Fallback for groups whose name begins with the prefix.
func (hs *Host) SetFallback(prefix string, fb Fallback) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.fallbacks[prefix] = fb
}

func (hs *Host) fallbackFor(group string) Fallback {
	hs.mu.RLock()
	defer hs.mu.RUnlock()
	for prefix, fb := range hs.fallbacks {
		if strings.HasPrefix(group, prefix) {
			return fb
		}
	}
	return nil
}

// notOpen returns the error of a proposal for a group that is not open here.
func (hs *Host) notOpen(group string) *ErrNoLeader {
	nl := &ErrNoLeader{Group: group, Detail: "group not open here"}
	if fb := hs.fallbackFor(group); fb != nil {
		nl.Leader, _ = fb.Leader(group)
	}
	return nl
}
