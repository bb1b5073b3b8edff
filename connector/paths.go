package connector

import (
	"net/netip"
	"time"
)

// PathMonitor observes the network paths from a PeerPool to other instances and estimates how long they take.
// Implementations are safe for concurrent use and don't block.
type PathMonitor interface {
	// ConnectBound returns how long opening a connection takes at most if the instance is reachable.
	ConnectBound(to netip.AddrPort) time.Duration
	// AnswerBound returns how long the response to a no-op request takes at most on an open connection.
	AnswerBound(to netip.AddrPort) time.Duration
	// Connected reports that a connection was opened, Answered that a no-op request was answered.
	Connected(to netip.AddrPort, took time.Duration)
	Answered(to netip.AddrPort, took time.Duration)
	// Heard reports that bytes were received.
	Heard(to netip.AddrPort)
	// Refused reports that the remote host refused a connection.
	Refused(to netip.AddrPort)
	// TimedOut reports that a connection could not be opened since the given time, Silent that no byte has been received since
	// the given time although a response is overdue.
	TimedOut(to netip.AddrPort, since time.Time)
	Silent(to netip.AddrPort, since time.Time)
}

// defaultPaths is a Paths that returns the default timeouts and ignores all reports.
type defaultPaths struct{}

var _ PathMonitor = defaultPaths{}

func (defaultPaths) ConnectBound(netip.AddrPort) time.Duration { return DefaultDialTimeout }
func (defaultPaths) AnswerBound(netip.AddrPort) time.Duration  { return DefaultPingTimeout }
func (defaultPaths) Connected(netip.AddrPort, time.Duration)   {}
func (defaultPaths) Answered(netip.AddrPort, time.Duration)    {}
func (defaultPaths) Heard(netip.AddrPort)                      {}
func (defaultPaths) Refused(netip.AddrPort)                    {}
func (defaultPaths) TimedOut(netip.AddrPort, time.Time)        {}
func (defaultPaths) Silent(netip.AddrPort, time.Time)          {}
