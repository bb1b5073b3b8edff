package connector

import (
	"net/netip"
	"time"
)

// Paths hears what a PeerPool meets on its ways to other instances, and tells how long they usually take.
// Implementations are safe for concurrent use and return at once.
type Paths interface {
	// ConnectBound returns how long opening a connection takes at most, where it can be opened.
	ConnectBound(to netip.AddrPort) time.Duration
	// AnswerBound returns how long an answer without effect takes at most on an open connection.
	AnswerBound(to netip.AddrPort) time.Duration
	// Connected tells that a connection was opened, Answered that a question without effect was answered.
	Connected(to netip.AddrPort, took time.Duration)
	Answered(to netip.AddrPort, took time.Duration)
	// Heard tells of bytes that came.
	Heard(to netip.AddrPort)
	// Refused tells that the other machine refused a connection.
	Refused(to netip.AddrPort)
	// TimedOut tells that a connection that was asked for at a moment could not be opened, Silent that nothing has come since a
	// moment although an answer is overdue.
	TimedOut(to netip.AddrPort, since time.Time)
	Silent(to netip.AddrPort, since time.Time)
}

// anyPath is a Paths that knows and learns nothing.
type anyPath struct{}

var _ Paths = anyPath{}

func (anyPath) ConnectBound(netip.AddrPort) time.Duration { return DefaultDialTimeout }
func (anyPath) AnswerBound(netip.AddrPort) time.Duration  { return DefaultPingTimeout }
func (anyPath) Connected(netip.AddrPort, time.Duration)   {}
func (anyPath) Answered(netip.AddrPort, time.Duration)    {}
func (anyPath) Heard(netip.AddrPort)                      {}
func (anyPath) Refused(netip.AddrPort)                    {}
func (anyPath) TimedOut(netip.AddrPort, time.Time)        {}
func (anyPath) Silent(netip.AddrPort, time.Time)          {}
