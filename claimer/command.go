package claimer

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/claimer/claimerpb"
)

func encodeCommand(msg *claimerpb.Command) []byte {
	raw, err := proto.Marshal(msg)
	if err != nil {
		return nil
	}
	return raw
}

// ClaimCommand returns the command that claims a key with a token.
func ClaimCommand(rq Request, tk Token) []byte {
	op := &claimerpb.Claim{
		Workspace: string(rq.Key.Workspace), Key: rq.Key.Text,
		Fingerprint: rq.Fingerprint[:], Token: tk[:],
		RunForMs: rq.RunFor.Milliseconds(),
	}
	return encodeCommand(&claimerpb.Command{Op: &claimerpb.Command_Claim{Claim: op}})
}

// FinishCommand returns the command that stores the answer of a request that ran.
// An answer larger than MaxAnswerSize is left out; the claim then records only that the request ran.
func FinishCommand(tk Token, an Answer) []byte {
	op := &claimerpb.Finish{Token: tk[:], TooLarge: an.size() > MaxAnswerSize}
	if !op.TooLarge {
		op.Answer = encodeAnswer(an)
	}
	return encodeCommand(&claimerpb.Command{Op: &claimerpb.Command_Finish{Finish: op}})
}

// RanCommand returns the command that records that a request ran and that its answer is not kept.
func RanCommand(tk Token) []byte {
	op := &claimerpb.Finish{Token: tk[:], TooLarge: true}
	return encodeCommand(&claimerpb.Command{Op: &claimerpb.Command_Finish{Finish: op}})
}

// ReleaseCommand returns the command that releases a claim whose request has not run and never will.
func ReleaseCommand(tk Token) []byte {
	op := &claimerpb.Release{Token: tk[:]}
	return encodeCommand(&claimerpb.Command{Op: &claimerpb.Command_Release{Release: op}})
}

// MayHaveRunCommand returns the command that records that it is unknown whether the request ran.
func MayHaveRunCommand(tk Token) []byte {
	op := &claimerpb.MayHaveRun{Token: tk[:]}
	return encodeCommand(&claimerpb.Command{Op: &claimerpb.Command_MayHaveRun{MayHaveRun: op}})
}

// DecodeClaimReply decodes a machine's reply to a claim command.
// An error means that the reply is invalid, so the claim's outcome is unknown.
func DecodeClaimReply(raw []byte, ky Key, tk Token) (Outcome, error) {
	var rp claimerpb.Reply
	if err := proto.Unmarshal(raw, &rp); err != nil {
		return nil, fmt.Errorf("decode the reply to a claim: %w", err)
	}
	after := time.Duration(rp.RetryAfterMs) * time.Millisecond
	switch rp.Code {
	case claimerpb.Code_CODE_GRANTED:
		return Granted{Key: ky, Token: tk}, nil
	case claimerpb.Code_CODE_REPLAY:
		return Replay{Answer: decodeAnswer(rp.Answer)}, nil
	}
	rf := refusalOf(rp.Code, after)
	if rf == nil {
		return nil, fmt.Errorf("reply to a claim has unexpected code %d", rp.Code)
	}
	return Refused{Refusal: rf}, nil
}

func refusalOf(code claimerpb.Code, after time.Duration) *gypsumhoist.Refusal {
	switch code {
	case claimerpb.Code_CODE_RUNNING:
		rf := gypsumhoist.MayHaveRun(gypsumhoist.ReasonDuplicate, "a request with this idempotency key is running; ask again for its answer")
		rf.RetryAfter = after
		return rf
	case claimerpb.Code_CODE_RAN:
		return &gypsumhoist.Refusal{
			Verdict: gypsumhoist.VerdictRan, Reason: gypsumhoist.ReasonDuplicate,
			Detail: "the request with this idempotency key ran; its answer was not kept",
		}
	case claimerpb.Code_CODE_UNKNOWN_OUTCOME:
		return gypsumhoist.MayHaveRun(gypsumhoist.ReasonDuplicate, "whether the request with this idempotency key ran is not known")
	case claimerpb.Code_CODE_OTHER_REQUEST:
		return gypsumhoist.NotRun(gypsumhoist.ReasonDuplicate, 0, "the idempotency key belongs to another request; this one did not run")
	case claimerpb.Code_CODE_EXPIRED:
		return gypsumhoist.MayHaveRun(gypsumhoist.ReasonClaimExpired, "the idempotency key is older than claims are kept")
	case claimerpb.Code_CODE_LOST:
		return gypsumhoist.MayHaveRun(gypsumhoist.ReasonClaimLost, "claims of the time of this idempotency key were lost")
	case claimerpb.Code_CODE_FULL:
		return gypsumhoist.NotRun(gypsumhoist.ReasonClaimUnavailable, after, "no place is left for another claim")
	case claimerpb.Code_CODE_FUTURE:
		return gypsumhoist.NotRun(gypsumhoist.ReasonBadRequest, 0, "the time of the idempotency key lies in the future")
	case claimerpb.Code_CODE_RELEASED:
		return gypsumhoist.NotRun(gypsumhoist.ReasonClaimUnavailable, 0, "the claim was given up before it was granted")
	case claimerpb.Code_CODE_BAD_COMMAND:
		return gypsumhoist.NotRun(gypsumhoist.ReasonBadRequest, 0, "the claim can't be read")
	default:
		return nil
	}
}

// DecodeEndReply decodes a machine's reply to a finish, release or may-have-run command.
// It reports whether the machine carried out the command. An invalid reply is an error.
func DecodeEndReply(raw []byte) (bool, error) {
	var rp claimerpb.Reply
	if err := proto.Unmarshal(raw, &rp); err != nil {
		return false, fmt.Errorf("decode the reply to the end of a claim: %w", err)
	}
	return rp.Code == claimerpb.Code_CODE_DONE, nil
}
