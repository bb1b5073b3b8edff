package connector

import (
	"net/netip"
	"sync"
)

// Port is the kind of clients that a Server has.
type Port uint8

// Kinds of Port.
const (
	// PortCallers is for clients that nobody vouches for. Nothing is reserved for it.
	PortCallers Port = iota
	PortPeers
	// PortOperators also answers health checks.
	PortOperators
	PortUpstream
	portCount
)

var portNames = [portCount]string{"callers", "peers", "operators", "upstream"}

// String returns the name of the port in log events and metrics.
func (pt Port) String() string { return portNames[pt] }

// Reserved parts of the limits, in 32nds. Callers can use what is not reserved; every other port can use that as well.
// Peers have the most, as a node that refuses them is lost to its fleet: by default a quarter of the bytes is enough for some 500
// calls at a time, about the slots of a large upstream. They need fewer connections, as each carries many calls.
var (
	reservedBytes = [portCount]int64{PortPeers: 8, PortOperators: 1, PortUpstream: 2}
	reservedConns = [portCount]int64{PortPeers: 4, PortOperators: 1, PortUpstream: 2}
)

// minConnections is the least limit of connections: each port must be able to have one, and to wait for another.
const minConnections = 64

// What a request costs in memory, in bytes.
const (
	// A line with a name that occurs once costs an entry of a map, a slice of values and two strings; measured with http.ReadRequest:
	// 955 KiB for the 8,200 lines of a head of 64 KB. The rest is for the map's free entries while it grows.
	headLineCost = 200
	// A head that is being received is held twice: as received, and as parsed.
	receivingFactor = 2
	// streamCost is for the stream, the goroutine, and the buffers of an HTTP/2 request.
	streamCost = 20 << 10
	// pipelinedCost is for the in-memory connection of a pipelined request: two goroutines and two buffers of 4 KiB.
	pipelinedCost = 24 << 10
	// evictableCost is the cost from which a head in progress may be refused in favour of a smaller one.
	// Heads of ordinary requests stay below it.
	evictableCost = 16 << 10
)

// Parts of the budget of bytes.
const (
	pipelinedDivisor = 2 // pipelined requests run ahead of their turn only while less than 1/pipelinedDivisor of it is used
	// On HTTP/2 the last 1/overshootDivisor of what callers can use, and as much beyond the budget for others, is for requests that are
	// refused one by one. Beyond that the connection is closed.
	overshootDivisor = 8
	// pressureDivisor gives the part from which on the process should collect garbage more often.
	pressureDivisor = 4
)

// Limits bound what the clients of a process use together, on all its ports. A value of zero or less means the default.
type Limits struct {
	// HeadBytes is the memory for the heads of all requests that are being received or run, in bytes.
	HeadBytes int64
	// AnswerBytes is the memory for responses that wait for their clients, in bytes.
	AnswerBytes int64
	// KernelBytes is the memory that the buffers of all accepted connections should need at the kernel in each direction, in bytes. Those
	// of a new connection get smaller while there are many.
	KernelBytes int64
	// HeaderLines limits the lines of one head, and the frames of one on HTTP/2.
	HeaderLines int
	// Connections limits the accepted connections, ConnectionsPerClient those of one client address on the callers' port,
	// by default to Connections.
	Connections, ConnectionsPerClient int
	// Pipelined limits the requests of one HTTP/1.1 connection that run concurrently, Streams those of one HTTP/2 connection.
	Pipelined, Streams int
}

// DefaultLimits are the limits that apply where nothing else is set. The defaults of HeadBytes and Connections fit a process with
// 184 MB and 4,100 descriptors. A head of 16 KiB has 5,461 lines at most.
var DefaultLimits = Limits{
	HeadBytes: 48 << 20, AnswerBytes: 32 << 20, KernelBytes: 24 << 20, HeaderLines: 5500, Connections: 4096, Pipelined: 32, Streams: DefaultMaxStreams,
}

// Accountant counts what the clients of one process use, on all its ports together, and decides who is beyond a limit.
// It is built for crowds that are each inside the limits of one connection and together exceed the memory of the machine:
// it charges for the parsed form of a head while that is received, and lets a small head in by refusing the largest in progress.
// It is safe for concurrent use. The zero value is not usable; call NewAccountant.
type Accountant struct {
	limits  Limits
	answers *heldAnswers

	mu           sync.Mutex
	bytes, conns account
	// receiving holds the heads in progress that cost evictableCost or more.
	receiving map[*charge]struct{}
	clients   map[netip.Addr]int
	pressed   bool
	pressure  chan bool // of one element, which is written with the mutex held
	// freed is closed and replaced when a connection is released while a port waits for one.
	freed   chan struct{}
	waiting bool
}

// account is one limited quantity.
type account struct {
	limit, total int64
	reserved     [portCount]int64 // in 32nds
	used         [portCount]int64
}

// reserve returns what is kept for a port.
func (at *account) reserve(pt Port) int64 { return at.limit * at.reserved[pt] / 32 }

// room reports whether a port may use n more: all that is used and all that is reserved for others must fit.
func (at *account) room(pt Port, n int64) bool {
	sum := at.total + n
	for other := range portCount {
		if other != pt {
			sum += max(at.reserve(other)-at.used[other], 0)
		}
	}
	return sum <= at.limit
}

func (at *account) add(pt Port, n int64) {
	at.total += n
	at.used[pt] += n
}

// charge is what one head costs while it is received and its request runs.
type charge struct {
	port Port
	// evict stops the reception. It is called with the accountant's mutex released.
	evict func()

	// These are guarded by the accountant's mutex.
	cost      int64
	receiving bool
	evicted   bool
}

// NewAccountant returns an accountant for one process.
func NewAccountant(lm Limits) *Accountant {
	def := DefaultLimits
	positive(&def.HeadBytes, lm.HeadBytes)
	positive(&def.AnswerBytes, lm.AnswerBytes)
	positive(&def.KernelBytes, lm.KernelBytes)
	positive(&def.HeaderLines, lm.HeaderLines)
	positive(&def.Connections, lm.Connections)
	def.ConnectionsPerClient = def.Connections
	positive(&def.ConnectionsPerClient, lm.ConnectionsPerClient)
	positive(&def.Pipelined, lm.Pipelined)
	positive(&def.Streams, lm.Streams)
	return &Accountant{
		limits: def, answers: newHeldAnswers(def.AnswerBytes), bytes: account{limit: def.HeadBytes, reserved: reservedBytes},
		conns:     account{limit: int64(max(def.Connections, minConnections)), reserved: reservedConns},
		receiving: map[*charge]struct{}{}, clients: map[netip.Addr]int{}, freed: make(chan struct{}),
		pressure: make(chan bool, 1),
	}
}

// HeadBytes returns the memory that is charged for heads now, in bytes.
func (ac *Accountant) HeadBytes() int64 {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	return ac.bytes.total
}

// Pressure returns a channel with the last change of pressure: true when clients begin to use a quarter of HeadBytes, false when they use
// less than an eighth again. It has one reader.
func (ac *Accountant) Pressure() <-chan bool { return ac.pressure }

// AnswerBytes returns the memory that is counted for responses that wait for their clients now, in bytes.
func (ac *Accountant) AnswerBytes() int64 { return ac.answers.bytes() }

// Connections returns the number of open connections that were accepted.
func (ac *Accountant) Connections() int64 {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	return ac.conns.total
}

// receive charges n more bytes for a head in progress. If there is no room, larger heads in progress are evicted;
// it returns false, and charges nothing, if there are none or if this head was evicted.
func (ac *Accountant) receive(cg *charge, n int64) bool {
	ac.mu.Lock()
	if cg.evicted {
		ac.mu.Unlock()
		return false
	}
	var victims []*charge
	for !ac.bytes.room(cg.port, n) {
		victim := ac.largest(cg, n)
		if victim == nil {
			break
		}
		ac.settle(victim)
		victim.evicted = true
		victims = append(victims, victim)
	}
	ok := ac.bytes.room(cg.port, n)
	if ok {
		ac.addBytes(cg.port, n)
		cg.cost += n
		if cg.cost >= evictableCost {
			cg.receiving = true
			ac.receiving[cg] = struct{}{}
		}
	}
	ac.mu.Unlock()
	for _, victim := range victims {
		victim.evict()
	}
	return ok
}

// largest returns the head in progress that costs most, if that is more than the given one with n more bytes,
// among those whose eviction makes room for it. The mutex is held.
func (ac *Accountant) largest(cg *charge, n int64) *charge {
	var found *charge
	for other := range ac.receiving {
		helps := other.port == cg.port || ac.bytes.used[other.port] > ac.bytes.reserve(other.port)
		if helps && other != cg && other.cost > cg.cost+n && (found == nil || other.cost > found.cost) {
			found = other
		}
	}
	return found
}

// force charges n bytes beyond what tryAdd grants, up to a bound, and reports whether it did.
// Callers never use what is reserved for others.
func (ac *Accountant) force(pt Port, n int64) bool {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	least := n
	if pt != PortCallers {
		least -= ac.bytes.limit / overshootDivisor
	}
	if !ac.bytes.room(pt, least) {
		return false
	}
	ac.addBytes(pt, n)
	return true
}

// received records that a head is complete, and that its request now costs n bytes. It returns false if the head was evicted.
func (ac *Accountant) received(cg *charge, n int64) bool {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if cg.evicted {
		return false
	}
	delete(ac.receiving, cg)
	cg.receiving = false
	ac.addBytes(cg.port, n-cg.cost)
	cg.cost = n
	return true
}

// release ends the charge for a head.
func (ac *Accountant) release(cg *charge) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	ac.settle(cg)
}

// close ends the charge for the heads of a connection; nothing is charged for it afterwards.
func (ac *Accountant) close(cg *charge) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	ac.settle(cg)
	cg.evicted = true
}

// settle removes a charge from the account. The mutex is held.
func (ac *Accountant) settle(cg *charge) {
	delete(ac.receiving, cg)
	cg.receiving = false
	ac.addBytes(cg.port, -cg.cost)
	cg.cost = 0
}

// addBytes changes what is charged, and reports a change of pressure. The mutex is held.
func (ac *Accountant) addBytes(pt Port, n int64) {
	ac.bytes.add(pt, n)
	divisor := int64(pressureDivisor)
	if ac.pressed {
		divisor *= 2
	}
	if pressed := ac.bytes.total > ac.bytes.limit/divisor; pressed != ac.pressed {
		ac.pressed = pressed
		select {
		case <-ac.pressure:
		default:
		}
		ac.pressure <- pressed
	}
}

// add changes what is charged without a head in progress; n is negative for a release.
func (ac *Accountant) add(pt Port, n int64) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	ac.addBytes(pt, n)
}

// tryAdd charges n bytes and reports whether there was room for them.
func (ac *Accountant) tryAdd(pt Port, n int64) bool {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	least := n
	if pt == PortCallers {
		least += ac.bytes.limit / overshootDivisor
	}
	if !ac.bytes.room(pt, least) {
		return false
	}
	ac.addBytes(pt, n)
	return true
}

// tryPipelined charges a request that could also wait for its turn, and reports whether it may run now.
func (ac *Accountant) tryPipelined(pt Port, n int64) bool {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if ac.bytes.total+n > ac.bytes.limit/pipelinedDivisor {
		return false
	}
	ac.addBytes(pt, n)
	return true
}

// acquireConn waits until a port may have one more connection; it returns false once the listener is closed.
func (ac *Accountant) acquireConn(pt Port, closed <-chan struct{}) bool {
	for {
		ac.mu.Lock()
		if ac.conns.room(pt, 1) {
			ac.conns.add(pt, 1)
			ac.mu.Unlock()
			return true
		}
		ac.waiting = true
		freed := ac.freed
		ac.mu.Unlock()
		select {
		case <-freed:
		case <-closed:
			return false
		}
	}
}

// releaseConn ends a connection. The address is invalid if it was not counted.
func (ac *Accountant) releaseConn(pt Port, client netip.Addr) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	ac.conns.add(pt, -1)
	if client.IsValid() {
		if ac.clients[client]--; ac.clients[client] <= 0 {
			delete(ac.clients, client)
		}
	}
	if ac.waiting {
		ac.waiting = false
		close(ac.freed)
		ac.freed = make(chan struct{})
	}
}

// kernelShareMin is the least buffer of a connection in bytes; a smaller one would need an acknowledgement for each packet.
const kernelShareMin = 8 << 10

// kernelShare returns the largest buffer at the kernel that a new connection should have in each direction, in bytes.
func (ac *Accountant) kernelShare() int {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	return int(max(ac.limits.KernelBytes/max(ac.conns.total, 1), kernelShareMin))
}

// countClient counts a connection of a client address and reports whether the address may have it.
func (ac *Accountant) countClient(client netip.Addr) bool {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if ac.clients[client] >= ac.limits.ConnectionsPerClient {
		return false
	}
	ac.clients[client]++
	return true
}
