package forwarder_test

import (
	"net/http"
	"net/url"
	"path"
	"strings"
	"testing"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/forwarder"
)

func FuzzDecodeHop(f *testing.F) {
	f.Add("")
	f.Add("CgdzbGlwcy0xEgExGgF3")
	f.Add("!")
	f.Fuzz(func(t *testing.T, txt string) {
		hop, err := forwarder.DecodeHop(txt)
		if err == nil && (hop.GetTarget() == "" || hop.GetRequest() == "" || hop.GetWorkspace() == "") {
			t.Fatal("hop without target, request or workspace")
		}
	})
}

func FuzzDecodeFeedback(f *testing.F) {
	f.Add("")
	f.Add("CgEx")
	f.Add("!")
	f.Fuzz(func(t *testing.T, txt string) {
		fb, err := forwarder.DecodeFeedback(txt)
		if err == nil && fb.GetVerdict() > uint32(gypsumhoist.VerdictRan) {
			t.Fatal("unknown verdict")
		}
	})
}

// FuzzTarget checks that path.Clean leaves an accepted path unchanged, but for a trailing slash,
// and that no target with a key is accepted.
func FuzzTarget(f *testing.F) {
	for _, txt := range []string{"/slips/7?day=3", "/a/../b", "/%2e%2e/b", "//x", "/a/", "/?k=ghk_0", "/?k=%67hk_0"} {
		f.Add(txt)
	}
	f.Fuzz(func(t *testing.T, txt string) {
		ur, err := url.ParseRequestURI(txt)
		if err != nil {
			return
		}
		if plain := strings.TrimSuffix(ur.Path, "/"); forwarder.UnambiguousPath(ur.Path) && plain != "" && path.Clean(plain) != plain {
			t.Fatalf("path %q passes", ur.Path)
		}
		if forwarder.CheckTarget(&http.Request{Method: http.MethodGet, URL: ur}) != nil {
			return
		}
		if query, err := url.QueryUnescape(ur.RawQuery); strings.Contains(ur.Path, gypsumhoist.KeyPrefix) ||
			err == nil && strings.Contains(query, gypsumhoist.KeyPrefix) {
			t.Fatalf("a key passes in %q", txt)
		}
	})
}
