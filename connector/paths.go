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

// defaultPathMonitor is a PathMonitor that returns the default timeouts and ignores all reports.
type defaultPathMonitor struct{}

var _ PathMonitor = defaultPathMonitor{}

func (defaultPathMonitor) ConnectBound(netip.AddrPort) time.Duration { return DefaultDialTimeout }
func (defaultPathMonitor) AnswerBound(netip.AddrPort) time.Duration  { return DefaultPingTimeout }
func (defaultPathMonitor) Connected(netip.AddrPort, time.Duration)   {}
func (defaultPathMonitor) Answered(netip.AddrPort, time.Duration)    {}
func (defaultPathMonitor) Heard(netip.AddrPort)                      {}
func (defaultPathMonitor) Refused(netip.AddrPort)                    {}
func (defaultPathMonitor) TimedOut(netip.AddrPort, time.Time)        {}
func (defaultPathMonitor) Silent(netip.AddrPort, time.Time)          {}
