package announcer_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/announcer"
)

const validBody = `{"service":"slips","address":"127.0.0.1:9000","slots":20,"connections":200}`

// notification is one call of the function set by WithNotify.
type notification struct {
	state announcer.State
	cause announcer.Cause
	after time.Duration
}

// inBubble runs a spec in virtual time with an announcer and its notifications.
func inBubble(spec func(an *announcer.Announcer, calls *[]notification)) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			var notifications []notification
			began := time.Now()
			an := announcer.New(announcer.WithNotify(func(nw announcer.Announcement, ca announcer.Cause) {
				notifications = append(notifications, notification{nw.State, ca, time.Since(began)})
			}))
			an.Start()
			defer an.Stop()
			spec(an, &notifications)
		})
	}
}

func send(an *announcer.Announcer, method, body string) *httptest.ResponseRecorder {
	rc := httptest.NewRecorder()
	an.Handler(http.NotFoundHandler()).ServeHTTP(rc, httptest.NewRequest(method, announcer.Path, strings.NewReader(body)))
	return rc
}

var _ = Describe("an announcement", func() {
	It("expires once, three seconds after it was last repeated", inBubble(func(an *announcer.Announcer, calls *[]notification) {
		Expect(send(an, http.MethodPost, validBody).Body.String()).To(MatchJSON(`{"lapses_after_ms":3000}`))
		time.Sleep(2900 * time.Millisecond)
		send(an, http.MethodPost, validBody)
		time.Sleep(2900 * time.Millisecond)
		Expect(an.Current().Service).To(BeEquivalentTo("slips"))
		time.Sleep(10 * time.Second)
		Expect(an.Current()).To(Equal(announcer.Announcement{}))
		Expect(*calls).To(HaveLen(3))
		Expect((*calls)[2].cause).To(Equal(announcer.CauseExpired))
		Expect((*calls)[2].after).To(BeNumerically("~", 5900*time.Millisecond, 300*time.Millisecond))
	}))
	It("ends at once when the upstream withdraws it, and does not expire later", inBubble(func(an *announcer.Announcer, calls *[]notification) {
		send(an, http.MethodPost, validBody)
		Expect(send(an, http.MethodDelete, "").Code).To(Equal(http.StatusNoContent))
		time.Sleep(10 * time.Second)
		Expect(*calls).To(HaveLen(2))
		Expect((*calls)[1].cause).To(Equal(announcer.CauseWithdrawn))
	}))
	It("that is refused does not replace the current one", inBubble(func(an *announcer.Announcer, _ *[]notification) {
		send(an, http.MethodPost, validBody)
		Expect(send(an, http.MethodPost, strings.Replace(validBody, "20,", "0,", 1)).Code).To(Equal(http.StatusBadRequest))
		Expect(an.Current().Slots).To(Equal(20))
	}))
	DescribeTable("with an invalid value is refused with the key, the value and the allowed values",
		func(old, bad, key, allowed string) {
			_, err := announcer.Read(strings.NewReader(strings.Replace(validBody, old, bad, 1)))
			var ve *announcer.ValueError
			Expect(errors.As(err, &ve)).To(BeTrue())
			Expect(ve.Key).To(Equal(key))
			Expect(err).To(MatchError(And(ContainSubstring(key), ContainSubstring(ve.Value), ContainSubstring(allowed))))
		},
		Entry("no service", `"slips"`, `""`, "service", "1 to 63 bytes"),
		Entry("a long service", `"slips"`, fmt.Sprintf("%q", strings.Repeat("s", 64)), "service", "1 to 63 bytes"),
		Entry("another instance", "127.0.0.1:9000", "10.0.0.1:9000", "address", "loopback"),
		Entry("no port", "127.0.0.1:9000", "127.0.0.1:0", "address", "port"),
		Entry("no slots", `"slots":20`, `"slots":0`, "slots", "1 to 10000"),
		Entry("too many slots", `"slots":20`, `"slots":10001`, "slots", "1 to 10000"),
		Entry("no connections", `"connections":200`, `"connections":-1`, "connections", "1 to 10000"),
		Entry("an unknown state", `{`, `{"state":"up",`, "state", "ready, warming or draining"),
		Entry("a load below zero", `{`, `{"load":-1,`, "load", "0 or more"),
	)
	It("with an unknown key is refused with the name of the key", func() {
		_, err := announcer.Read(strings.NewReader(`{"sloots":3}`))
		Expect(err).To(MatchError(ContainSubstring("sloots")))
	})
})

func FuzzRead(f *testing.F) {
	f.Add(validBody)
	f.Add(`{"service":"s","address":"[::1]:1","slots":1,"connections":1,"state":"draining","load":3,"boot":"b"}`)
	f.Add(`{"address":"127.0.0.1:9000%"}`)
	f.Add(`{`)
	f.Fuzz(func(t *testing.T, txt string) {
		an, err := announcer.Read(strings.NewReader(txt))
		if err != nil {
			return
		}
		if an.Service == "" || an.Slots < 1 || an.Connections < 1 || an.Load < 0 || an.State == "" ||
			!an.Address.Addr().IsLoopback() || an.Address.Port() == 0 {
			t.Fatalf("%q was read as %+v", txt, an)
		}
	})
}
