package connector_test

import (
	"bytes"
	"log"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/logger"
)

var _ = ginkgo.Describe("RedirectStandardLog", ginkgo.Serial, func() {
	ginkgo.It("logs as events what libraries write to the standard logger", func() {
		flags, wr := log.Flags(), log.Writer()
		defer func() {
			log.SetFlags(flags)
			log.SetOutput(wr)
		}()
		var out bytes.Buffer
		connector.RedirectStandardLog(logger.New(&out, "instance", "roster-1"))
		log.Printf("Unsolicited response received on idle HTTP channel")
		Expect(out.String()).To(And(ContainSubstring("event=1103"),
			ContainSubstring(`error="Unsolicited response received on idle HTTP channel"`)))
	})
})
