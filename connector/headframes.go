package connector

import (
	"encoding/binary"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// Sizes of HTTP/2 in bytes.
const (
	frameHeadBytes = 9
	priorityBytes  = 5
	// fieldOverhead is what a header field counts in addition to its text (RFC 9113, 6.5.2).
	fieldOverhead = 32
	// headerTableBytes is the header table that net/http's server advertises.
	headerTableBytes = 4096
)

// resetDelay is how long a reset stream is charged at least. In a process that is short of processor time its handler may
// begin that much later.
const resetDelay = time.Second

// resetStream is a stream that the client has reset, or whose connection is closed, and whose handler may still run.
type resetStream struct {
	cost int64
	at   time.Time
}

// headFrames follows the frames of an HTTP/2 connection of a Server. It decodes each head before net/http does, charges it,
// and ends the charge when the response ends. A connection is closed for a head that has too many lines, takes too long or finds
// no room at all; where there is some room left, the next request is refused.
type headFrames struct {
	conn *headConn

	// These are used by the reading goroutine only.
	in      frameReader
	decoder *hpack.Decoder
	block   struct {
		open bool
		full bool // there was no room for it
		// trailers says that the stream was open already.
		trailers bool
		stream   uint32
		began    time.Time
		frames   int
		lines    int
		size     int64
	}
	// skip and padding are the bytes at the begin and at the end of the frame's payload that are not of the head; padded says
	// that the first byte is the length of the padding.
	skip, padding int
	padded        bool

	// out is used by the writing goroutine only.
	out frameReader

	mu       sync.Mutex
	streams  map[uint32]int64 // costs of the open streams
	reset    []resetStream    // oldest first
	handlers int              // that run
	refusals int              // requests to be refused
	closed   bool
}

func newHeadFrames(hc *headConn) *headFrames {
	hf := &headFrames{conn: hc, streams: map[uint32]int64{}}
	hf.decoder = hpack.NewDecoder(headerTableBytes, hf.countField)
	hf.decoder.SetMaxStringLength(hc.server.config.maxHeaderBytes + headerTableBytes)
	return hf
}

// frameReader splits a stream of bytes into frames.
type frameReader struct {
	head [frameHeadBytes]byte
	have int // bytes of head
	left int // bytes of the payload that have not come
}

// next consumes bytes: either up to the end of a frame's head, when it returns true, or a part of a payload.
func (fr *frameReader) next(data []byte) (payload, rest []byte, begins bool) {
	if fr.left > 0 {
		n := min(fr.left, len(data))
		fr.left -= n
		return data[:n], data[n:], false
	}
	n := copy(fr.head[fr.have:], data)
	if fr.have += n; fr.have < frameHeadBytes {
		return nil, data[n:], false
	}
	fr.have = 0
	fr.left = int(fr.head[0])<<16 | int(fr.head[1])<<8 | int(fr.head[2])
	return nil, data[n:], true
}

func (fr *frameReader) kind() http2.FrameType     { return http2.FrameType(fr.head[3]) }
func (fr *frameReader) has(flag http2.Flags) bool { return http2.Flags(fr.head[4]).Has(flag) }
func (fr *frameReader) stream() uint32            { return binary.BigEndian.Uint32(fr.head[5:]) &^ (1 << 31) }

// received follows what the client sends.
func (hf *headFrames) received(data []byte) error {
	for len(data) > 0 {
		payload, rest, begins := hf.in.next(data)
		data = rest
		var err error
		switch {
		case begins:
			err = hf.beginFrame()
		case len(payload) > 0 && hf.block.open:
			err = hf.addToBlock(payload)
		}
		if err == nil && hf.block.open && hf.in.left == 0 && (begins || len(payload) > 0) && hf.in.has(http2.FlagHeadersEndHeaders) {
			err = hf.endBlock()
		}
		if err != nil {
			return err
		}
	}
	if hf.block.open && time.Since(hf.block.began) > hf.conn.server.config.readHeaderTimeout {
		return hf.fail(causeTime)
	}
	return nil
}

// beginFrame handles the head of a frame.
func (hf *headFrames) beginFrame() error {
	switch hf.in.kind() {
	case http2.FrameHeaders:
		if hf.block.open {
			return hf.fail(causeFrames)
		}
		hf.block.open, hf.block.stream, hf.block.began = true, hf.in.stream(), time.Now()
		hf.block.full = false
		hf.mu.Lock()
		_, hf.block.trailers = hf.streams[hf.block.stream]
		hf.mu.Unlock()
		hf.block.frames, hf.block.lines, hf.block.size = 0, 0, 0
		hf.skip, hf.padding = 0, 0
		if hf.in.has(http2.FlagHeadersPadded) {
			hf.skip = 1
		}
		hf.padded = hf.skip == 1
		if hf.in.has(http2.FlagHeadersPriority) {
			hf.skip += priorityBytes
		}
	case http2.FrameContinuation:
		if !hf.block.open || hf.in.stream() != hf.block.stream {
			return hf.fail(causeFrames)
		}
		hf.skip, hf.padding, hf.padded = 0, 0, false
		if hf.block.frames++; hf.block.frames > hf.conn.server.headerLines() {
			return hf.fail(causeFrames)
		}
	case http2.FrameRSTStream:
		hf.streamReset(hf.in.stream())
	}
	return nil
}

// addToBlock decodes a part of a frame of a head.
func (hf *headFrames) addToBlock(part []byte) error {
	if hf.padded && hf.skip > 0 {
		hf.padding, hf.padded = int(part[0]), false
		hf.skip--
		part = part[1:]
	}
	n := min(hf.skip, len(part))
	hf.skip -= n
	part = part[n:]
	if over := hf.padding - hf.in.left; over > 0 {
		part = part[:max(len(part)-over, 0)]
	}
	if len(part) == 0 {
		return nil
	}
	lines, size := hf.block.lines, hf.block.size
	if _, err := hf.decoder.Write(part); err != nil {
		return hf.fail(causeFrames)
	}
	if hf.block.lines > hf.conn.server.headerLines() {
		return hf.fail(causeLines)
	}
	return hf.charge(headCost(hf.block.size-size, hf.block.lines-lines))
}

// countField counts a decoded field of a head. Beyond its limit net/http keeps none either.
func (hf *headFrames) countField(field hpack.HeaderField) {
	if hf.block.size+fieldOverhead*int64(hf.block.lines) <= int64(hf.conn.server.config.maxHeaderBytes+headerTableBytes) {
		hf.block.lines++
		hf.block.size += int64(len(field.Name) + len(field.Value))
	}
}

// endBlock handles the end of a head.
func (hf *headFrames) endBlock() error {
	hf.block.open = false
	if hf.decoder.Close() != nil {
		return hf.fail(causeFrames)
	}
	if hf.block.trailers {
		return nil
	}
	return hf.charge(streamCost)
}

// charge charges a part of the head of the block's stream.
func (hf *headFrames) charge(cost int64) error {
	if cost == 0 {
		return nil
	}
	accountant := hf.conn.server.config.accountant
	ok := accountant.tryAdd(hf.conn.charge.port, cost)
	if !ok && !accountant.force(hf.conn.charge.port, cost) {
		return hf.fail(causeBytes)
	}
	hf.mu.Lock()
	defer hf.mu.Unlock()
	if hf.closed {
		accountant.add(hf.conn.charge.port, -cost)
		return errHeadRefused
	}
	if len(hf.streams) == 0 {
		hf.refusals = 0
	}
	hf.streams[hf.block.stream] += cost
	if !ok && !hf.block.full {
		hf.block.full = true
		hf.refusals++
		hf.conn.server.refuse(causeBytes)
	}
	return nil
}

// fail counts a refusal that closes the connection.
func (hf *headFrames) fail(cs cause) error {
	hf.conn.server.refuse(cs)
	return errHeadRefused
}

// sent follows what the server sends.
func (hf *headFrames) sent(data []byte) {
	for len(data) > 0 {
		_, rest, begins := hf.out.next(data)
		data = rest
		if !begins {
			continue
		}
		kind := hf.out.kind()
		// END_STREAM is the same flag of both kinds of frames.
		if kind == http2.FrameRSTStream || (kind == http2.FrameData || kind == http2.FrameHeaders) && hf.out.has(http2.FlagDataEndStream) {
			hf.mu.Lock()
			hf.release(hf.take(hf.out.stream()))
			hf.mu.Unlock()
		}
	}
}

// streamReset handles a stream that the client has reset.
func (hf *headFrames) streamReset(stream uint32) {
	hf.mu.Lock()
	defer hf.mu.Unlock()
	cost := hf.take(stream)
	if cost == 0 {
		return
	}
	hf.refusals = max(hf.refusals-1, 0)
	hf.addReset(cost)
}

// addReset keeps a charge until the handler has ended. The mutex is held.
func (hf *headFrames) addReset(cost int64) {
	hf.reset = append(hf.reset, resetStream{cost: cost, at: time.Now()})
	if len(hf.reset) == 1 {
		hf.checkLater()
	}
}

// checkLater releases the charges for reset streams after a delay, as often as there are some.
func (hf *headFrames) checkLater() {
	time.AfterFunc(resetDelay, func() {
		hf.mu.Lock()
		defer hf.mu.Unlock()
		hf.releaseReset()
		if len(hf.reset) > 0 {
			hf.checkLater()
		}
	})
}

// take removes a stream and returns its cost. The mutex is held.
func (hf *headFrames) take(stream uint32) int64 {
	cost := hf.streams[stream]
	delete(hf.streams, stream)
	return cost
}

// release ends a charge. The mutex is held.
func (hf *headFrames) release(cost int64) {
	if cost > 0 {
		hf.conn.server.config.accountant.add(hf.conn.charge.port, -cost)
	}
}

// releaseReset ends the charges for as many reset streams as no longer have a handler. While all handlers that may run do so,
// net/http keeps further requests until one ends, also those that were reset. The mutex is held.
func (hf *headFrames) releaseReset() {
	if !hf.closed && hf.handlers >= hf.conn.server.maxStreams() {
		return
	}
	keep := max(hf.handlers-len(hf.streams), 0)
	for len(hf.reset) > keep && time.Since(hf.reset[0].at) >= resetDelay {
		hf.release(hf.reset[0].cost)
		hf.reset = hf.reset[1:]
	}
}

// close ends the charges, except for handlers that still run.
func (hf *headFrames) close() {
	hf.mu.Lock()
	defer hf.mu.Unlock()
	hf.closed = true
	for stream := range hf.streams {
		hf.addReset(hf.take(stream))
	}
}

// handlerBegins records that a handler runs, and reports whether it has to refuse its request.
func (hf *headFrames) handlerBegins() bool {
	hf.mu.Lock()
	defer hf.mu.Unlock()
	hf.handlers++
	if hf.refusals == 0 {
		return false
	}
	hf.refusals--
	return true
}

// handlerEnds records that a handler has ended.
func (hf *headFrames) handlerEnds() {
	hf.mu.Lock()
	defer hf.mu.Unlock()
	hf.handlers--
}
