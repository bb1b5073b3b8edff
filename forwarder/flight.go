package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/forwarder/forwarderpb"
	"github.com/gypsumhoist/gypsumhoist/quarantiner"
)

// flight is a request that the quarantiner tracks while it runs at the upstream.
// It is nil at a node without a quarantiner.
type flight struct {
	tracked *quarantiner.Flight
}

func (fl *flight) end(end quarantiner.End) {
	if fl != nil {
		fl.tracked.End(end)
	}
}

// checkQuarantine refuses a request that the quarantiner does not let run,
// and adds the body to its fingerprint on its way to the upstream.
func (fw *Forwarder) checkQuarantine(ctx context.Context, hop *forwarderpb.Hop, out *http.Request) (*flight, *gypsumhoist.Refusal) {
	if fw.quarantine == nil {
		return nil, nil
	}
	fp := quarantiner.NewFingerprint(quarantiner.RequestInfo{
		Workspace: gypsumhoist.Workspace(hop.GetWorkspace()), Route: hop.GetRoute(),
		Method: out.Method, Target: out.URL.RequestURI(),
	}, out.Header, out.ContentLength)
	prefix, rf := peek(out, fw.quarantine.NeedsBody(fp))
	if rf != nil {
		return nil, rf
	}
	tracked, err := fw.quarantine.Begin(ctx, fp, prefix)
	if err != nil {
		return nil, asRefusal(err)
	}
	if out.Body != nil && out.Body != http.NoBody {
		out.Body = &readCloser{Reader: io.TeeReader(out.Body, fp), Closer: out.Body}
	}
	return &flight{tracked: tracked}, nil
}

// peek returns the first bytes of an outgoing body, up to size, without consuming them.
func peek(out *http.Request, size int) ([]byte, *gypsumhoist.Refusal) {
	if size == 0 || out.Body == nil || out.Body == http.NoBody {
		return nil, nil
	}
	prefix := make([]byte, size)
	num, err := io.ReadFull(out.Body, prefix)
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, bodyRefusal(err)
	}
	rest := out.Body
	out.Body = &readCloser{Reader: io.MultiReader(bytes.NewReader(prefix[:num]), rest), Closer: rest}
	return prefix[:num], nil
}

// reportBroken ends the flight of a request whose connection the upstream broke. It returns once it is known
// whether the upstream died, so that no resend overtakes the report of its death.
func (rn *localRun) reportBroken() {
	rn.flight.end(quarantiner.EndConnectionBroken)
	rn.fw.onBroken(rn.ctx)
}
