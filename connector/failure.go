package connector

import (
	"context"
	"errors"

	"github.com/gypsumhoist/gypsumhoist"
)

// Failure is the error of a request that got no response over a pool.
// It is immutable and safe for concurrent use.
type Failure struct {
	// Verdict is VerdictNotRun only if no byte of the request can have reached a handler.
	Verdict gypsumhoist.Verdict
	// Reason is ReasonConnection, ReasonDeadline or ReasonCanceled.
	Reason gypsumhoist.Reason
	// Err is the cause.
	Err error
}

// Error returns verdict, reason and cause in one line.
func (fl *Failure) Error() string {
	return fl.Verdict.String() + " (" + string(fl.Reason) + "): " + fl.Err.Error()
}

// Unwrap returns the cause.
func (fl *Failure) Unwrap() error { return fl.Err }

// VerdictOf returns the verdict of the Failure in an error's chain.
// For any other error it returns VerdictMayHaveRun.
func VerdictOf(err error) gypsumhoist.Verdict {
	var fl *Failure
	if errors.As(err, &fl) {
		return fl.Verdict
	}
	return gypsumhoist.VerdictMayHaveRun
}

func newFailure(ctx context.Context, notRun bool, err error) *Failure {
	fl := &Failure{Verdict: gypsumhoist.VerdictMayHaveRun, Reason: gypsumhoist.ReasonConnection, Err: err}
	if notRun {
		fl.Verdict = gypsumhoist.VerdictNotRun
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		fl.Reason = gypsumhoist.ReasonDeadline
	case ctx.Err() != nil:
		fl.Reason = gypsumhoist.ReasonCanceled
	}
	return fl
}
