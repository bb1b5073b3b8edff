package claimer

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/claimer/claimerpb"
)

func reply(code claimerpb.Code) *claimerpb.Reply { return &claimerpb.Reply{Code: code} }

func replyAfter(code claimerpb.Code, after time.Duration) *claimerpb.Reply {
	return &claimerpb.Reply{Code: code, RetryAfterMs: after.Milliseconds()}
}

func (ma *Machine) claim(op *claimerpb.Claim) *claimerpb.Reply {
	ky, err := ParseKey(gypsumhoist.Workspace(op.Workspace), op.Key)
	if err != nil || len(op.Token) != len(Token{}) || len(op.Fingerprint) != len(Fingerprint{}) {
		return reply(claimerpb.Code_CODE_BAD_COMMAND)
	}
	tk, fp := Token(op.Token), Fingerprint(op.Fingerprint)
	if _, released := ma.released[tk]; released {
		return reply(claimerpb.Code_CODE_RELEASED)
	}
	if rc := ma.records[ky]; rc != nil {
		return ma.replyToClaimed(rc, tk, fp)
	}
	if _, taken := ma.byToken[tk]; taken {
		return reply(claimerpb.Code_CODE_BAD_COMMAND)
	}
	if code := ma.checkKeyTime(ky); code != claimerpb.Code_CODE_GRANTED {
		return reply(code)
	}
	rc := ma.newRecord(ky, tk, fp, time.Duration(op.RunForMs)*time.Millisecond)
	if !ma.hasRoom(rc) {
		return replyAfter(claimerpb.Code_CODE_FULL, fullRetryAfter)
	}
	ma.insert(rc)
	return reply(claimerpb.Code_CODE_GRANTED)
}

// replyToClaimed returns the reply to a claim of a key that is already claimed.
func (ma *Machine) replyToClaimed(rc *record, tk Token, fp Fingerprint) *claimerpb.Reply {
	if rc.fingerprint != fp {
		return reply(claimerpb.Code_CODE_OTHER_REQUEST)
	}
	if rc.token == tk && rc.state == stateRunning {
		return reply(claimerpb.Code_CODE_GRANTED)
	}
	switch rc.state {
	case stateAnswered:
		return &claimerpb.Reply{Code: claimerpb.Code_CODE_REPLAY, Answer: encodeAnswer(rc.answer)}
	case stateRan:
		return reply(claimerpb.Code_CODE_RAN)
	case stateRunning:
		if left := rc.runUntil.Sub(ma.now); left > 0 {
			return replyAfter(claimerpb.Code_CODE_RUNNING, min(left, runningRetryAfter))
		}
	}
	return reply(claimerpb.Code_CODE_UNKNOWN_OUTCOME)
}

// checkKeyTime returns CODE_GRANTED unless the time of a key that is not claimed lies in the future,
// or the key may have had a claim that has expired or was lost.
func (ma *Machine) checkKeyTime(ky Key) claimerpb.Code {
	made, timed := ky.Time()
	if timed && made.After(ma.now.Add(ma.st.CallerSkew)) {
		return claimerpb.Code_CODE_FUTURE
	}
	if timed && ma.now.Sub(made) > ma.st.Retention {
		return claimerpb.Code_CODE_EXPIRED
	}
	if ma.generation > 1 && ma.mayBeLost(made, timed) {
		return claimerpb.Code_CODE_LOST
	}
	return claimerpb.Code_CODE_GRANTED
}

// mayBeLost reports whether an earlier generation may have held a claim of the key.
func (ma *Machine) mayBeLost(made time.Time, timed bool) bool {
	if timed {
		return made.Before(ma.formedAt.Add(ma.st.CallerSkew + ma.st.LeaderSkew))
	}
	return ma.now.Before(ma.formedAt.Add(ma.st.Retention + ma.st.LeaderSkew))
}

func (ma *Machine) newRecord(ky Key, tk Token, fp Fingerprint, runFor time.Duration) *record {
	runFor = min(max(runFor, 0), maxRunFor)
	runUntil := ma.now.Add(runFor)
	keepFrom := runUntil
	if made, timed := ky.Time(); timed && made.After(keepFrom) {
		keepFrom = made
	}
	return &record{
		key: ky, token: tk, fingerprint: fp,
		runUntil: runUntil, keepUntil: keepFrom.Add(ma.st.Retention + ma.st.LeaderSkew),
	}
}

func (ma *Machine) hasRoom(rc *record) bool {
	size := rc.baseSize()
	return ma.bytes+size <= ma.st.MaxBytes &&
		ma.perWorkspace[rc.key.Workspace]+size <= ma.st.MaxBytes/2
}

func (ma *Machine) findByToken(raw []byte) *record {
	if len(raw) != len(Token{}) {
		return nil
	}
	return ma.byToken[Token(raw)]
}

func (ma *Machine) finish(op *claimerpb.Finish) *claimerpb.Reply {
	rc := ma.findByToken(op.Token)
	if rc == nil {
		return reply(claimerpb.Code_CODE_NO_CLAIM)
	}
	if rc.state == stateAnswered || rc.state == stateRan {
		return reply(claimerpb.Code_CODE_DONE)
	}
	an := decodeAnswer(op.Answer)
	if op.TooLarge || !ma.hasRoomForAnswer(rc, an) {
		rc.state = stateRan
		return reply(claimerpb.Code_CODE_DONE)
	}
	rc.state, rc.answer = stateAnswered, an
	ma.addAnswer(rc)
	return reply(claimerpb.Code_CODE_DONE)
}

func (ma *Machine) hasRoomForAnswer(rc *record, an Answer) bool {
	size := an.size()
	return size <= MaxAnswerSize &&
		ma.answerBytes+size <= ma.st.MaxBytes/2 &&
		ma.bytes+size <= ma.st.MaxBytes &&
		ma.perWorkspace[rc.key.Workspace]+size <= ma.st.MaxBytes/2
}

// release removes a running claim. It keeps a tombstone of the token, also of an unknown one,
// because a copy of the claim may still arrive.
func (ma *Machine) release(op *claimerpb.Release) *claimerpb.Reply {
	if len(op.Token) != len(Token{}) {
		return reply(claimerpb.Code_CODE_BAD_COMMAND)
	}
	rc := ma.findByToken(op.Token)
	if rc != nil && rc.state != stateRunning {
		return reply(claimerpb.Code_CODE_NO_CLAIM)
	}
	if rc != nil {
		ma.remove(rc)
	}
	ma.addTombstone(tombstone{token: Token(op.Token), keepUntil: ma.now.Add(tombstoneTTL)})
	return reply(claimerpb.Code_CODE_DONE)
}

func (ma *Machine) mayHaveRun(op *claimerpb.MayHaveRun) *claimerpb.Reply {
	rc := ma.findByToken(op.Token)
	if rc == nil {
		return reply(claimerpb.Code_CODE_NO_CLAIM)
	}
	if rc.state == stateRunning {
		rc.state = stateUnknown
	}
	return reply(claimerpb.Code_CODE_DONE)
}
