package forwarder

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/authenticator"
	"github.com/gypsumhoist/gypsumhoist/forwarder/forwarderpb"
)

// Headers between nodes.
const (
	// HeaderHop carries a Hop message in base64; it marks a call on the peer port.
	HeaderHop = gypsumhoist.HeaderPrefix + "Hop"
	// HeaderFeedback carries a Feedback message in base64, in the header of an answer or refusal;
	// the trailer of an answer that was passed on before its end carries another one.
	HeaderFeedback = gypsumhoist.HeaderPrefix + "Feedback"
)

// messageBytesMax bounds an encoded message between nodes, in bytes.
const messageBytesMax = 16 << 10

// connectionSpecific reports whether a header concerns one connection only (RFC 9110, section 7.6.1).
func connectionSpecific(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization":
		return true
	default:
		return false
	}
}

// sanitized returns a copy of a header or trailer without what must not be forwarded:
// keys, headers of the project and connection-specific headers.
// The copy shares the slices of values, which must not be changed.
func sanitized(hd http.Header) http.Header {
	out := make(http.Header, len(hd)+addedHeaders)
	sanitizeInto(out, hd, "")
	return out
}

// addedHeaders is the capacity reserved in a copy for the headers that a node adds to a request.
const addedHeaders = 4

// sanitizeInto copies what may be forwarded of a header or trailer into another one, under names with a prefix.
func sanitizeInto(out, hd http.Header, prefix string) {
	named := connectionOptions(hd)
	for name, vals := range hd {
		if forwardable(name, vals) && !slices.Contains(named, name) {
			out[prefix+name] = vals
		}
	}
}

// connectionOptions returns the headers that a Connection header lists as connection-specific.
func connectionOptions(hd http.Header) []string {
	var names []string
	for _, val := range hd["Connection"] {
		for name := range strings.SplitSeq(val, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	return names
}

func forwardable(name string, vals []string) bool {
	return !connectionSpecific(name) && !authenticator.IsGypsumhoistHeader(name) && !authenticator.HoldsKey(name, vals)
}

func encode(msg proto.Message) string {
	data, err := proto.Marshal(msg)
	if err != nil {
		// Marshalling fails only on text that is not UTF-8; the receiver refuses an empty message.
		return ""
	}
	return base64.RawStdEncoding.EncodeToString(data)
}

func decode(txt string, msg proto.Message) error {
	if len(txt) > messageBytesMax {
		return fmt.Errorf("message of %d bytes, at most %d are allowed", len(txt), messageBytesMax)
	}
	data, err := base64.RawStdEncoding.DecodeString(txt)
	if err != nil {
		return fmt.Errorf("message is not base64: %w", err)
	}
	return proto.Unmarshal(data, msg)
}

// answerTag returns the tag that an answer to a hop must carry.
func answerTag(hop *forwarderpb.Hop) uint64 {
	return xxhash.Sum64String(hop.GetRequest()) + uint64(hop.GetAttempt())
}

// DecodeHop decodes a HeaderHop value. A value without a target, a request or a workspace is an error.
func DecodeHop(txt string) (*forwarderpb.Hop, error) {
	hop := &forwarderpb.Hop{}
	if err := decode(txt, hop); err != nil {
		return nil, err
	}
	if hop.GetTarget() == "" || hop.GetRequest() == "" || hop.GetWorkspace() == "" {
		return nil, fmt.Errorf("hop lacks target, request or workspace")
	}
	return hop, nil
}

// DecodeFeedback decodes a HeaderFeedback value. One with an unknown verdict is an error.
func DecodeFeedback(txt string) (*forwarderpb.Feedback, error) {
	fb := &forwarderpb.Feedback{}
	if err := decode(txt, fb); err != nil {
		return nil, err
	}
	if fb.GetVerdict() > uint32(gypsumhoist.VerdictRan) {
		return nil, fmt.Errorf("verdict %d is unknown", fb.GetVerdict())
	}
	return fb, nil
}
