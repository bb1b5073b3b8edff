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
	// HeaderFeedback carries a Feedback message in base64, in the header of a refusal or the trailer of an answer.
	HeaderFeedback = gypsumhoist.HeaderPrefix + "Feedback"
)

// hopMessageMax bounds an encoded message between nodes, in bytes.
const hopMessageMax = 16 << 10

// perConnection reports whether a header concerns one connection only (RFC 9110, section 7.6.1).
func perConnection(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization":
		return true
	default:
		return false
	}
}

// clean returns a copy of a header or trailer with nothing in it that must not pass a node:
// no key, no header of the project, nothing that concerns one connection only.
// The copy shares the lists of values, which must not be changed.
func clean(hd http.Header) http.Header {
	out := make(http.Header, len(hd)+ownHeaders)
	cleanInto(out, hd, "")
	return out
}

// ownHeaders is how many headers a node adds to a request.
const ownHeaders = 4

// cleanInto sets what may pass a node of a header or trailer in another one, under names with a prefix.
func cleanInto(out, hd http.Header, prefix string) {
	named := connectionNames(hd)
	for name, vals := range hd {
		if mayPass(name, vals) && !slices.Contains(named, name) {
			out[prefix+name] = vals
		}
	}
}

// connectionNames returns the headers that a Connection header names as concerning one connection only.
func connectionNames(hd http.Header) []string {
	var names []string
	for _, val := range hd["Connection"] {
		for name := range strings.SplitSeq(val, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	return names
}

func mayPass(name string, vals []string) bool {
	return !perConnection(name) && !authenticator.Own(name) && !authenticator.HoldsKey(name, vals)
}

func encode(msg proto.Message) string {
	data, err := proto.Marshal(msg)
	if err != nil {
		// Only text that is not UTF-8 can't be marshalled; an empty message is refused at the other end.
		return ""
	}
	return base64.RawStdEncoding.EncodeToString(data)
}

func decode(txt string, msg proto.Message) error {
	if len(txt) > hopMessageMax {
		return fmt.Errorf("message of %d bytes, at most %d are allowed", len(txt), hopMessageMax)
	}
	data, err := base64.RawStdEncoding.DecodeString(txt)
	if err != nil {
		return fmt.Errorf("message is not base64: %w", err)
	}
	return proto.Unmarshal(data, msg)
}

// tagOf returns what an answer to a hop must carry.
func tagOf(hop *forwarderpb.Hop) uint64 {
	return xxhash.Sum64String(hop.GetRequest()) + uint64(hop.GetAttempt())
}

// DecodeHop reads a HeaderHop value. A value without a target, a request or a workspace is an error.
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

// DecodeFeedback reads a HeaderFeedback value.
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
