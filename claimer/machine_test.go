package claimer_test

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/claimer"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// uuidAt returns a UUIDv7 with the given time.
func uuidAt(at time.Time, tail uint64) string {
	millis := uint64(at.UnixMilli())
	return fmt.Sprintf("%08x-%04x-7abc-8def-%012x", millis>>16, millis&0xffff, tail)
}

func request(text, body string) claimer.Request {
	return claimer.Request{
		Key: claimer.Key{Workspace: "school", Text: text}, Fingerprint: claimer.FingerprintOf(body), RunFor: 10 * time.Second,
	}
}

func token(nr byte) claimer.Token { return claimer.Token{nr} }

// claim applies a claim and returns its outcome.
func claim(ma *claimer.Machine, rq claimer.Request, tk claimer.Token, at time.Time) claimer.Outcome {
	oc, err := claimer.DecodeClaimReply(ma.Apply(claimer.ClaimCommand(rq, tk), at), rq.Key, tk)
	if err != nil {
		panic(err)
	}
	return oc
}

// refused returns the refusal in an outcome as "status verdict reason".
func refused(oc claimer.Outcome) string {
	rf, ok := oc.(claimer.Refused)
	if !ok {
		return fmt.Sprintf("%T", oc)
	}
	return fmt.Sprintf("%d %s %s", rf.Refusal.Reason.Status(), rf.Refusal.Verdict, rf.Refusal.Reason)
}

const granted = "claimer.Granted"

var _ = Describe("a machine", func() {
	var ma *claimer.Machine
	var rq claimer.Request
	answer := claimer.Answer{Status: 201, Header: http.Header{"Etag": {"a", "b"}}, Body: []byte("booked")}

	BeforeEach(func() {
		ma = claimer.NewMachine(claimer.Settings{}, 1, start)
		rq = request("trip-7", "pay")
		Expect(refused(claim(ma, rq, token(1), start))).To(Equal(granted))
	})

	It("grants a claim that is sent again with the same token", func() {
		Expect(refused(claim(ma, rq, token(1), start))).To(Equal(granted))
		Expect(ma.Len()).To(Equal(1))
	})

	It("refuses a second claim while the first runs, with a time to retry after", func() {
		oc := claim(ma, rq, token(2), start)
		Expect(refused(oc)).To(Equal("409 may_have_run duplicate"))
		Expect(oc.(claimer.Refused).Refusal.RetryAfter).To(Equal(time.Second))
	})

	It("replays the complete stored answer", func() {
		ma.Apply(claimer.FinishCommand(token(1), answer), start)
		Expect(claim(ma, rq, token(2), start)).To(Equal(claimer.Replay{Answer: answer}))
		Expect(claim(ma, rq, token(1), start)).To(Equal(claimer.Replay{Answer: answer}))
	})

	It("replies only that the request ran when the answer is too large", func() {
		ma.Apply(claimer.FinishCommand(token(1), claimer.Answer{Status: 200, Body: make([]byte, claimer.MaxAnswerSize+1)}), start)
		Expect(refused(claim(ma, rq, token(2), start))).To(Equal("409 ran duplicate"))
	})

	It("frees a key whose request did not run, and refuses the released token", func() {
		ma.Apply(claimer.ReleaseCommand(token(1)), start)
		Expect(refused(claim(ma, rq, token(1), start))).To(Equal("503 not_run claim_unavailable"))
		Expect(refused(claim(ma, rq, token(2), start))).To(Equal(granted))
	})

	It("does not release a claim whose outcome is unknown", func() {
		ma.Apply(claimer.MayHaveRunCommand(token(1)), start)
		ma.Apply(claimer.ReleaseCommand(token(1)), start)
		oc := claim(ma, rq, token(2), start)
		Expect(refused(oc)).To(Equal("409 may_have_run duplicate"))
		Expect(oc.(claimer.Refused).Refusal.RetryAfter).To(BeZero())
	})

	It("treats a claim past its run time as unknown, and still accepts a late finish", func() {
		late := start.Add(time.Minute)
		Expect(claim(ma, rq, token(2), late).(claimer.Refused).Refusal.RetryAfter).To(BeZero())
		ma.Apply(claimer.FinishCommand(token(1), answer), late)
		Expect(claim(ma, rq, token(2), late)).To(Equal(claimer.Replay{Answer: answer}))
	})

	It("refuses another request with the same key as not run", func() {
		Expect(refused(claim(ma, request("trip-7", "cancel"), token(2), start))).To(Equal("409 not_run duplicate"))
	})

	It("refuses a token whose release arrives before its claim", func() {
		other := request("trip-8", "pay")
		ma.Apply(claimer.ReleaseCommand(token(9)), start)
		Expect(refused(claim(ma, other, token(9), start))).To(Equal("503 not_run claim_unavailable"))
	})

	It("grants an untimed key again after the retention, and refuses a timed one as expired", func() {
		timed := request(uuidAt(start, 1), "pay")
		Expect(refused(claim(ma, timed, token(3), start))).To(Equal(granted))
		late := start.Add(2 * time.Hour)
		Expect(refused(claim(ma, rq, token(4), late))).To(Equal(granted))
		Expect(refused(claim(ma, timed, token(5), late))).To(Equal("409 may_have_run claim_expired"))
		Expect(ma.Len()).To(Equal(1))
	})

	It("refuses a key whose time lies in the future", func() {
		Expect(refused(claim(ma, request(uuidAt(start.Add(2*time.Minute), 1), "pay"), token(3), start))).To(Equal("400 not_run bad_request"))
	})

	It("does not let its time go back", func() {
		timed := request(uuidAt(start, 1), "pay")
		claim(ma, rq, token(3), start.Add(2*time.Hour))
		Expect(refused(claim(ma, timed, token(5), start))).To(Equal("409 may_have_run claim_expired"))
	})

	DescribeTable("of a later generation refuses keys that an earlier one may have held",
		func(text string, after time.Duration, want string) {
			again := claimer.NewMachine(claimer.Settings{}, 2, start)
			Expect(refused(claim(again, request(text, "pay"), token(1), start.Add(after)))).To(Equal(want))
		},
		Entry("a key timed before the generation formed", uuidAt(start.Add(-time.Second), 1), time.Minute, "409 may_have_run claim_lost"),
		Entry("a key timed within the skew after that", uuidAt(start.Add(time.Minute), 1), 2*time.Minute, "409 may_have_run claim_lost"),
		Entry("a key timed later", uuidAt(start.Add(2*time.Minute), 1), 2*time.Minute, granted),
		Entry("an untimed key within the retention", "trip-7", 59*time.Minute, "409 may_have_run claim_lost"),
		Entry("an untimed key after the retention", "trip-7", 61*time.Minute, granted),
	)

	It("refuses new claims when it is full, and keeps the old ones", func() {
		small := claimer.NewMachine(claimer.Settings{MaxBytes: 4000}, 1, start)
		count := 0
		for nr := range byte(30) {
			oc := claim(small, request(fmt.Sprintf("k%d", nr), "pay"), token(nr+1), start)
			if refused(oc) == granted {
				count++
				continue
			}
			Expect(refused(oc)).To(Equal("503 not_run claim_unavailable"))
		}
		Expect(count).To(BeNumerically("~", 6, 1))
		Expect(small.Bytes()).To(BeNumerically("<=", 2000), "one workspace gets at most half")
		Expect(refused(claim(small, request("k0", "pay"), token(77), start))).To(Equal("409 may_have_run duplicate"))
		small.Apply(claimer.FinishCommand(token(1), claimer.Answer{Status: 200, Body: make([]byte, 3000)}), start)
		Expect(refused(claim(small, request("k0", "pay"), token(78), start))).To(Equal("409 ran duplicate"))
	})

	It("replies to an invalid command", func() {
		_, err := claimer.DecodeClaimReply(ma.Apply([]byte("\xff\xff"), start), rq.Key, token(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(ma.Len()).To(Equal(1))
	})
})

// TestNoRequestRunsTwice simulates entry nodes against one machine. Commands are delayed, duplicated,
// reordered or lost, and at times the machine is replaced by one restored from its snapshot.
func TestNoRequestRunsTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ma, now := claimer.NewMachine(claimer.Settings{}, 1, start), start
		type attempt struct {
			tk    claimer.Token
			key   int
			ended bool
		}
		var attempts []*attempt
		var sent [][]byte
		runs := map[int]int{}
		requests := func(key int) claimer.Request {
			if key%2 == 0 {
				return request(fmt.Sprintf("key-%d", key), "pay")
			}
			return request(uuidAt(start, uint64(key)), "pay")
		}
		for step := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-2, 20).Draw(rt, "seconds")) * time.Second)
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0, 1: // an entry node claims, and runs the request if it receives the grant
				at := &attempt{tk: token(byte(step + 1)), key: rapid.IntRange(0, 3).Draw(rt, "key")}
				cmd := claimer.ClaimCommand(requests(at.key), at.tk)
				sent = append(sent, cmd)
				raw := ma.Apply(cmd, now)
				oc, err := claimer.DecodeClaimReply(raw, requests(at.key).Key, at.tk)
				if _, ok := oc.(claimer.Granted); err != nil || !ok {
					continue
				}
				if rapid.Bool().Draw(rt, "heard") {
					runs[at.key]++
					attempts = append(attempts, at)
				} else {
					sent = append(sent, claimer.ReleaseCommand(at.tk)) // the request never runs, so the claim may be released
				}
			case 2: // a run ends
				if len(attempts) == 0 {
					continue
				}
				at := attempts[rapid.IntRange(0, len(attempts)-1).Draw(rt, "run")]
				if at.ended {
					continue
				}
				at.ended = true
				var cmd []byte
				switch rapid.IntRange(0, 2).Draw(rt, "end") {
				case 0:
					cmd = claimer.FinishCommand(at.tk, claimer.Answer{Status: 200})
				case 1:
					cmd = claimer.MayHaveRunCommand(at.tk)
				case 2:
					cmd = claimer.ReleaseCommand(at.tk) // the upstream's node reported not_run
					runs[at.key]--
				}
				sent = append(sent, cmd)
				if rapid.Bool().Draw(rt, "lost") {
					continue
				}
				ma.Apply(cmd, now)
			case 3, 4: // an old command arrives, possibly for the second time
				if len(sent) > 0 {
					ma.Apply(sent[rapid.IntRange(0, len(sent)-1).Draw(rt, "old")], now)
				}
			case 5: // a new leader continues from a snapshot
				next := claimer.NewMachine(claimer.Settings{}, 1, start)
				if err := next.Restore(ma.Snapshot()); err != nil {
					rt.Fatal(err)
				}
				if !bytes.Equal(next.Snapshot(), ma.Snapshot()) || next.Bytes() != ma.Bytes() {
					rt.Fatal("a restored machine differs")
				}
				ma = next
			}
			for key, count := range runs {
				if count > 1 {
					rt.Fatalf("key %d ran %d times", key, count)
				}
			}
		}
	})
}

func ExampleFingerprintOf() {
	one := claimer.FingerprintOf("POST", "/orders", "crate")
	fmt.Println(one == claimer.FingerprintOf("POST", "/orders", "crate"), one == claimer.FingerprintOf("POST", "/order", "scrate"))
	// Output: true false
}

func ExampleHome() {
	domains := []gypsumhoist.FailureDomain{"hobart", "kingston"}
	fmt.Println(claimer.Home(claimer.Key{Workspace: "school", Text: "hobart/order-7"}, domains))
	// Output: hobart
}
