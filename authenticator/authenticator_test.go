package authenticator_test

import (
	"net/http"
	"net/url"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/authenticator"
)

const key = "ghk_0123456789"

var _ = Describe("ExtractKey", func() {
	DescribeTable("returns the key and removes all keys",
		func(hd http.Header, want string) {
			came := hd.Get("Gypsumhoist-Key") != "" || hd.Get("Authorization") != ""
			got, found := authenticator.ExtractKey(hd)
			Expect(got).To(Equal(want))
			Expect(found).To(Equal(came))
			for name, vals := range hd {
				Expect(name + strings.Join(vals, "")).NotTo(ContainSubstring(key))
			}
		},
		Entry("none", http.Header{"Accept": {"*/*"}}, ""),
		Entry("own header", http.Header{"Gypsumhoist-Key": {key}}, key),
		Entry("bearer", http.Header{"Authorization": {"bearer " + key}}, key),
		Entry("twice the same key", http.Header{"Gypsumhoist-Key": {key}, "Authorization": {"Bearer " + key}}, key),
		Entry("two different keys", http.Header{"Gypsumhoist-Key": {key}, "Authorization": {"Bearer ghk_other"}}, ""),
		Entry("own header twice", http.Header{"Gypsumhoist-Key": {key, "ghk_other"}}, ""),
		Entry("copies elsewhere", http.Header{"Gypsumhoist-Key": {key}, "Cookie": {"a=" + key}, "X-Copy": {strings.ToUpper(key)}}, key),
	)

	It("leaves other credentials alone", func() {
		hd := http.Header{"Authorization": {"Basic dXNlcjpwYXNz"}}
		_, found := authenticator.ExtractKey(hd)
		Expect(found).To(BeFalse())
		Expect(hd.Get("Authorization")).To(Equal("Basic dXNlcjpwYXNz"))
	})
})

var _ = Describe("KeyInURL", func() {
	DescribeTable("finds plain and escaped keys", func(txt string, want bool) {
		ur, err := url.Parse(txt)
		Expect(err).NotTo(HaveOccurred())
		Expect(authenticator.KeyInURL(ur)).To(Equal(want))
	},
		Entry("clean", "/slips/7?day=3", false),
		Entry("query", "/slips?key="+key, true),
		Entry("escaped query", "/slips?key=%67hk%5F0123", true),
		Entry("path", "/slips/"+key, true),
		Entry("upper case", "/slips?k=GHK_0123", true),
	)
})

var _ = DescribeTable("the check for headers of Gypsumhoist ignores case",
	func(name string, want bool) { Expect(authenticator.IsGypsumhoistHeader(name)).To(Equal(want)) },
	Entry("lower case", "gypsumhoist-call", true),
	Entry("canonical case", "Gypsumhoist-Hop", true),
	Entry("upper case", "GYPSUMHOIST-KEY", true),
	Entry("another header", "Accept", false),
	Entry("a name that is too short", "Gypsumhoist", false),
)

var _ = Describe("Calls", func() {
	It("finds a call only while it runs", func() {
		cs := authenticator.NewCalls[int]()
		tok := cs.Begin(&authenticator.Call[int]{Workspace: "w", Budget: 3})
		cl, ok := cs.Find(tok)
		Expect(ok).To(BeTrue())
		Expect(cl.Workspace).To(Equal(gypsumhoist.Workspace("w")))
		cs.End(tok)
		_, ok = cs.Find(tok)
		Expect(ok).To(BeFalse())
		Expect(cs.Len()).To(BeZero())
	})

	It("gives each call a unique token", func() {
		cs := authenticator.NewCalls[int]()
		seen := map[string]bool{}
		for range 1000 {
			seen[cs.Begin(&authenticator.Call[int]{})] = true
		}
		Expect(seen).To(HaveLen(1000))
	})
})

func FuzzExtractKey(f *testing.F) {
	f.Add("Authorization", "Bearer ghk_a", "Cookie", "ghk_a")
	f.Fuzz(func(t *testing.T, na, va, nb, vb string) {
		hd := http.Header{}
		hd.Add(na, va)
		hd.Add(nb, vb)
		authenticator.ExtractKey(hd)
		for name, vals := range hd {
			for _, val := range vals {
				if strings.Contains(strings.ToLower(name+"\x00"+val), gypsumhoist.KeyPrefix) {
					t.Fatalf("a key is left in %q: %q", name, val)
				}
			}
		}
	})
}
