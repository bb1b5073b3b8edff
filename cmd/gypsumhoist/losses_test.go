package main

import (
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("losses", func() {
	const line = `time=2026-06-12T12:00:01.5Z instance=e1 event=1211 request=bb hop=false depth=0 route=/slips status=429 verdict=not_run reason=rate took=1ms steps="limiter refused spent"` + "\n"
	var folder string
	BeforeEach(func() {
		folder = GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(folder, "e1.log"), []byte(line), 0o600)).To(Succeed())
	})
	It("reads all files of a folder and writes text, a page or JSON", func() {
		var out strings.Builder
		Expect((&lossesCmd{Log: []string{folder}, out: &out}).Run()).To(Succeed())
		Expect(out.String()).To(ContainSubstring("1 of 1 requests"))
		page := filepath.Join(GinkgoT().TempDir(), "page.html")
		Expect((&lossesCmd{Log: []string{folder}, HTML: page, out: &out}).Run()).To(Succeed())
		Expect(os.ReadFile(page)).To(ContainSubstring("<rect"))
		out.Reset()
		Expect((&lossesCmd{Log: []string{folder}, JSON: true, out: &out}).Run()).To(Succeed())
		Expect(out.String()).To(ContainSubstring(`"Kind":"refused"`))
	})
	It("returns an error if the logs hold no request", func() {
		Expect((&lossesCmd{Log: []string{GinkgoT().TempDir()}}).Run()).To(MatchError(ContainSubstring("no request")))
	})
})
