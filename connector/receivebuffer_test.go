package connector_test

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"github.com/gypsumhoist/gypsumhoist/connector"
)

// TestReceiveBuffer guards against bytes of a request that are lost, repeated or overwritten by those of another connection.
func TestReceiveBuffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The buffers share their free memory.
		buffers := make([]connector.ReceiveBuffer, 3)
		want := make([][]byte, len(buffers))
		next := byte(0)
		part := func(most int) []byte {
			bytes := make([]byte, rapid.IntRange(0, most).Draw(t, "size"))
			for ix := range bytes {
				next++
				bytes[ix] = next
			}
			return bytes
		}
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				ix, added := rapid.IntRange(0, len(buffers)-1).Draw(t, "buffer"), part(5000)
				buffers[ix].Append(added)
				want[ix] = append(want[ix], added...)
			},
			"prepend": func(t *rapid.T) {
				ix, added := rapid.IntRange(0, len(buffers)-1).Draw(t, "buffer"), part(20000)
				buffers[ix].Prepend(added)
				want[ix] = append(added, want[ix]...)
			},
			"remove": func(t *rapid.T) {
				ix := rapid.IntRange(0, len(buffers)-1).Draw(t, "buffer")
				num := rapid.IntRange(0, len(want[ix])).Draw(t, "bytes")
				buffers[ix].Remove(num)
				want[ix] = want[ix][num:]
			},
			"remove all": func(t *rapid.T) {
				ix := rapid.IntRange(0, len(buffers)-1).Draw(t, "buffer")
				buffers[ix].Remove(len(want[ix]))
				want[ix] = nil
			},
			"shrink": func(t *rapid.T) { buffers[rapid.IntRange(0, len(buffers)-1).Draw(t, "buffer")].Shrink() },
			"": func(t *rapid.T) {
				for ix := range buffers {
					if !bytes.Equal(buffers[ix].Unread(), want[ix]) {
						t.Fatalf("buffer %d holds %d bytes, not the %d that it was given", ix, len(buffers[ix].Unread()), len(want[ix]))
					}
					if len(want[ix]) == 0 && buffers[ix].Size() != 0 {
						t.Fatalf("the empty buffer %d holds %d bytes of memory", ix, buffers[ix].Size())
					}
				}
			},
		})
	})
}

// TestReceiveBufferShrinks guards against connections that hold the memory of what they once received.
func TestReceiveBufferShrinks(t *testing.T) {
	var rb connector.ReceiveBuffer
	rb.Append(make([]byte, 60<<10))
	rb.Remove(59 << 10)
	rb.Shrink()
	if rb.Size() > 4<<10 {
		t.Errorf("%d bytes of memory for 1,024 unread ones", rb.Size())
	}
}
