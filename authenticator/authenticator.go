// Package authenticator extracts keys from requests and tracks the calls that run at this instance's upstream.
// A key is checked only by the instance at which the request enters; further hops carry only the key's id.
package authenticator

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/gypsumhoist/gypsumhoist"
)

const bearer = "Bearer "

// ExtractKey returns the key of a request and removes every key from its headers:
// HeaderKey, a bearer Authorization that contains a key, and any other header with a key in its name or value.
// The second result is false if there is no key. Two different keys give "" and true,
// as it is unknown which of them is right.
func ExtractKey(hd http.Header) (string, bool) {
	own := hd.Values(gypsumhoist.HeaderKey)
	auth := bearerKey(hd)
	hd.Del(gypsumhoist.HeaderKey)
	StripKeys(hd)
	switch {
	case len(own) == 0:
		return auth, auth != ""
	case len(own) == 1 && (auth == "" || auth == own[0]):
		return own[0], true
	default:
		return "", true
	}
}

func bearerKey(hd http.Header) string {
	val := hd.Get("Authorization")
	if len(val) < len(bearer) || !strings.EqualFold(val[:len(bearer)], bearer) {
		return ""
	}
	tok := strings.TrimSpace(val[len(bearer):])
	if !strings.HasPrefix(tok, gypsumhoist.KeyPrefix) {
		return ""
	}
	return tok
}

// StripKeys removes every header or trailer whose name or value contains a key.
func StripKeys(hd http.Header) {
	for name, vals := range hd {
		if HoldsKey(name, vals) {
			delete(hd, name)
		}
	}
}

// HoldsKey reports whether the name of a header or one of its values contains a key.
func HoldsKey(name string, vals []string) bool { return holdsKey(name) || anyHoldsKey(vals) }

// KeyInURL reports whether a URL contains a key, in plain text or escaped.
// Such a request must be refused, as its URL ends up in logs.
func KeyInURL(ur *url.URL) bool {
	if holdsKey(ur.Path) || holdsKey(ur.RawPath) || holdsKey(ur.RawQuery) {
		return true
	}
	plain, err := url.QueryUnescape(ur.RawQuery)
	return err == nil && holdsKey(plain)
}

// IsGypsumhoistHeader reports whether a header is one of Gypsumhoist's, in any case.
// Such headers of callers and upstreams are not passed on.
func IsGypsumhoistHeader(name string) bool {
	return len(name) >= len(gypsumhoist.HeaderPrefix) &&
		strings.EqualFold(name[:len(gypsumhoist.HeaderPrefix)], gypsumhoist.HeaderPrefix)
}

func anyHoldsKey(vals []string) bool {
	for _, val := range vals {
		if holdsKey(val) {
			return true
		}
	}
	return false
}

func holdsKey(txt string) bool {
	for {
		at := strings.IndexByte(txt, gypsumhoist.KeyPrefix[0])
		other := strings.IndexByte(txt, gypsumhoist.KeyPrefix[0]-'a'+'A')
		if at < 0 || other >= 0 && other < at {
			at = other
		}
		if at < 0 {
			return false
		}
		txt = txt[at:]
		if len(txt) >= len(gypsumhoist.KeyPrefix) && strings.EqualFold(txt[:len(gypsumhoist.KeyPrefix)], gypsumhoist.KeyPrefix) {
			return true
		}
		txt = txt[1:]
	}
}
