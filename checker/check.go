package checker

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Grace periods that the guarantees grant.
const (
	// WithdrawalBound is how long requests may still run under a key after its withdrawal was reported as in force.
	WithdrawalBound = 2 * time.Second
	// DrainBound is how long a draining upstream may still get new requests.
	DrainBound = 2 * time.Second
)

// Violation is one violated guarantee.
type Violation struct {
	// Guarantee is the name of the guarantee in snake case.
	Guarantee string
	Detail    string
}

// String returns the guarantee and the detail in one line.
func (vl Violation) String() string { return vl.Guarantee + ": " + vl.Detail }

// Names of the guarantees.
const (
	GuaranteeAtMostOnce        = "at_most_once"
	GuaranteeNotRun            = "not_run_is_true"
	GuaranteeOwnAnswer         = "own_whole_answer"
	GuaranteeNoKeyUpstream     = "no_key_at_upstream"
	GuaranteeWithdrawnKey      = "withdrawn_key_stops"
	GuaranteeRate              = "rate_and_burst"
	GuaranteeDraining          = "leaving_gets_no_work"
	GuaranteeMonotonicRevision = "revision_never_back"
	GuaranteeDurableEdit       = "accepted_edit_stands"
)

// Check returns all violations of the guarantees in a history.
func Check(hs *History) []Violation {
	ck := &check{operations: hs.Operations(), runs: hs.Runs(), events: hs.Events()}
	ck.atMostOnce()
	ck.notRun()
	ck.ownAnswers()
	ck.keyLeaks()
	ck.withdrawals()
	ck.rates()
	ck.draining()
	ck.revisions()
	ck.edits()
	return ck.violations
}

// check is one check of a history.
type check struct {
	operations []*Operation
	runs       []Run
	events     []Event
	violations []Violation
}

func (ck *check) report(guarantee, format string, args ...any) {
	ck.violations = append(ck.violations, Violation{Guarantee: guarantee, Detail: fmt.Sprintf(format, args...)})
}

// executionKey groups the runs of which one at most is allowed.
type executionKey struct {
	name    string
	service gypsumhoist.Service
}

// atMostOnce finds requests that are not idempotent and ran more than once at one service.
// It counts per operation if that has an Idempotency-Key, else per attempt.
func (ck *check) atMostOnce() {
	byOperation := map[string]bool{}
	for _, op := range ck.operations {
		byOperation[op.Name] = op.UsesIdempotencyKey
	}
	counts := map[executionKey]int{}
	for _, rn := range ck.runs {
		if rn.Method != http.MethodPost {
			continue
		}
		name := rn.Attempt
		if byOperation[rn.Operation] {
			name = rn.Operation
		}
		counts[executionKey{name, rn.Service}]++
	}
	for key, num := range counts {
		if num > 1 {
			ck.report(GuaranteeAtMostOnce, "%s ran %d times at %s", key.name, num, key.service)
		}
	}
}

// notRun finds attempts that were refused as not run although an upstream ran them.
func (ck *check) notRun() {
	ran := map[string]gypsumhoist.Instance{}
	for _, rn := range ck.runs {
		ran[rn.Attempt] = rn.Instance
	}
	for _, op := range ck.operations {
		for _, att := range op.Attempts {
			if at, ok := ran[att.Name]; ok && att.Verdict == gypsumhoist.VerdictNotRun.String() {
				ck.report(GuaranteeNotRun, "%s was refused as not run (%s) and ran at %s", att.Name, att.Reason, at)
			}
		}
	}
}

// ownAnswers finds complete successful answers that do not name their operation, being cut short or those of another operation.
func (ck *check) ownAnswers() {
	for _, op := range ck.operations {
		for _, att := range op.Attempts {
			if att.Complete && att.Status == http.StatusOK && !att.Matching {
				ck.report(GuaranteeOwnAnswer, "%s got a complete answer that is not its own", att.Name)
			}
		}
	}
}

// keyLeaks finds headers in which an upstream got a key.
func (ck *check) keyLeaks() {
	for _, rn := range ck.runs {
		for name, vals := range rn.Header {
			if strings.Contains(strings.ToLower(name+strings.Join(vals, " ")), gypsumhoist.KeyPrefix) {
				ck.report(GuaranteeNoKeyUpstream, "%s saw a key in header %s of %s", rn.Instance, name, rn.Attempt)
			}
		}
	}
}

// withdrawals finds runs under a key later than WithdrawalBound after its withdrawal was in force.
func (ck *check) withdrawals() {
	withdrawnAt := map[string]time.Time{}
	for _, ev := range ck.events {
		if wi, ok := ev.(WithdrawalInForce); ok {
			withdrawnAt[wi.KeyID] = wi.At
		}
	}
	keyOf := map[string]string{}
	for _, op := range ck.operations {
		keyOf[op.Name] = op.KeyID
	}
	for _, rn := range ck.runs {
		at, ok := withdrawnAt[keyOf[rn.Operation]]
		if ok && rn.Began.After(at.Add(WithdrawalBound)) {
			ck.report(GuaranteeWithdrawnKey, "%s ran at %s %s after the key's withdrawal was in force", rn.Attempt, rn.Instance, rn.Began.Sub(at))
		}
	}
}

// tokenSpan is the time in which one request took its token: after it was sent and before it ran.
type tokenSpan struct{ sent, ran time.Time }

// rates finds windows in which a row's requests took more tokens than its burst and rate allow.
// A request counts in a window only if it was both sent and run in it, as its token was then certainly taken there.
func (ck *check) rates() {
	firstRun := map[string]time.Time{}
	for _, rn := range ck.runs {
		key := rn.Attempt + " " + string(rn.Service)
		if at, ok := firstRun[key]; !ok || rn.Began.Before(at) {
			firstRun[key] = rn.Began
		}
	}
	for _, ev := range ck.events {
		lf, ok := ev.(LimitInForce)
		if !ok {
			continue
		}
		ck.windows(lf, ck.spans(lf, firstRun))
	}
}

func (ck *check) spans(lf LimitInForce, firstRun map[string]time.Time) []tokenSpan {
	var out []tokenSpan
	for _, op := range ck.operations {
		if op.Workspace != lf.Workspace || op.Route != lf.Route {
			continue
		}
		for _, att := range op.Attempts {
			ran, ok := firstRun[att.Name+" "+string(op.Service)]
			if !ok || att.Sent.Before(lf.From) || !lf.Until.IsZero() && ran.After(lf.Until) {
				continue
			}
			out = append(out, tokenSpan{att.Sent, ran})
		}
	}
	sort.Slice(out, func(ia, ib int) bool { return out[ia].ran.Before(out[ib].ran) })
	return out
}

// maxWindowStarts bounds the window starts that are tried; they are evenly spaced over the spans.
const maxWindowStarts = 400

func (ck *check) windows(lf LimitInForce, spans []tokenSpan) {
	step := max(len(spans)/maxWindowStarts, 1)
	for first := 0; first < len(spans); first += step {
		from := spans[first].sent
		count := 0.0
		for _, sp := range spans {
			if sp.sent.Before(from) {
				continue
			}
			count++
			allowed := lf.Burst + lf.Rate*sp.ran.Sub(from).Seconds()
			if count > allowed+1e-6 {
				ck.report(GuaranteeRate, "%s %s ran %.0f requests within %s, allowed are %.2f",
					lf.Workspace, lf.Route, count, sp.ran.Sub(from), allowed)
				return
			}
		}
	}
}

// draining finds runs that began later than DrainBound after their upstream began to drain.
func (ck *check) draining() {
	for _, ev := range ck.events {
		ds, ok := ev.(DrainStarted)
		if !ok {
			continue
		}
		restarted := ck.nextStart(ds)
		for _, rn := range ck.runs {
			if rn.Instance == ds.Instance && rn.Began.After(ds.At.Add(DrainBound)) && rn.Began.Before(restarted) {
				ck.report(GuaranteeDraining, "%s began %s at %s, %s after its drain began", rn.Attempt, rn.Service, rn.Instance, rn.Began.Sub(ds.At))
			}
		}
	}
}

// nextStart returns when a drained instance started again, or a time in the far future if it did not.
func (ck *check) nextStart(ds DrainStarted) time.Time {
	next := time.Unix(1<<40, 0)
	for _, ev := range ck.events {
		if st, ok := ev.(InstanceStarted); ok && st.Instance == ds.Instance && st.At.After(ds.At) && st.At.Before(next) {
			next = st.At
		}
	}
	return next
}

// process identifies one process of an instance.
type process struct {
	instance gypsumhoist.Instance
	boot     int
}

// revisions finds processes whose table went back to an older revision.
func (ck *check) revisions() {
	last := map[process]uint64{}
	for _, ev := range ck.events {
		ro, ok := ev.(RevisionObserved)
		if !ok {
			continue
		}
		key := process{ro.Instance, ro.Boot}
		if ro.Revision < last[key] {
			ck.report(GuaranteeMonotonicRevision, "%s went from revision %d back to %d", ro.Instance, last[key], ro.Revision)
		}
		last[key] = ro.Revision
	}
}

// edits finds reads that lack an edit accepted earlier, or differ from it at the same revision.
func (ck *check) edits() {
	var all []EditAccepted
	for _, ev := range ck.events {
		if ed, ok := ev.(EditAccepted); ok {
			all = append(all, ed)
		}
	}
	slices.SortFunc(all, func(ea, eb EditAccepted) int { return ea.At.Compare(eb.At) })
	for _, ev := range ck.events {
		rr, ok := ev.(RowRead)
		if !ok {
			continue
		}
		for _, ed := range all {
			if ed.At.Before(rr.At) && rr.Revision < ed.Revision {
				ck.report(GuaranteeDurableEdit, "a read at %s shows revision %d, but %d was accepted at %s", rr.At, rr.Revision, ed.Revision, ed.At)
			}
			if ed.Revision == rr.Revision && ed.Text != rr.Text {
				ck.report(GuaranteeDurableEdit, "revision %d was accepted as %q and reads as %q", ed.Revision, ed.Text, rr.Text)
			}
		}
	}
}
