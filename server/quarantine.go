package server

import (
	"cmp"
	"context"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/quarantiner"
)

// Paths of the quarantine on the peer port.
const (
	quarantinePath = "/gypsumhoist/quarantine"
	liftPath       = "/gypsumhoist/quarantine/lift/"
)

// Suspect is a request that was in flight when an upstream crashed.
type Suspect struct {
	ID          string                `json:"id"`
	Workspace   gypsumhoist.Workspace `json:"workspace"`
	Route       string                `json:"route"`
	Method      string                `json:"method"`
	Target      string                `json:"target"`
	Quarantined bool                  `json:"quarantined"`
	// Deaths are the instances whose upstreams crashed while they ran it.
	Deaths []gypsumhoist.Instance `json:"deaths"`
	// ExpiresInSeconds is the time until the suspicion expires.
	ExpiresInSeconds float64 `json:"left_s"`
	// KnownAt are the instances that have a record of it.
	KnownAt []gypsumhoist.Instance `json:"known_at"`
}

// Quarantine is the response of /quarantine: the suspects of the whole fleet, quarantined ones first.
type Quarantine struct {
	Suspects []Suspect `json:"suspects"`
	// Silent are the instances that gave no response; suspects that only they know are missing.
	Silent []gypsumhoist.Instance `json:"silent,omitempty"`
}

// LiftResult is the result of lifting a quarantine: the instance that lifted it, or the error.
type LiftResult struct {
	Instance gypsumhoist.Instance   `json:"instance,omitempty"`
	Error    string                 `json:"error,omitempty"`
	Silent   []gypsumhoist.Instance `json:"silent,omitempty"`
}

func (sv *Server) localSuspects() []Suspect {
	out := []Suspect{}
	if sv.node == nil {
		return out
	}
	for _, en := range sv.node.quarantine.quarantiner.List() {
		su := Suspect{
			ID: en.ID, Workspace: en.Request.Workspace, Route: en.Request.Route, Method: en.Request.Method, Target: en.Request.Target,
			Quarantined:      en.Status == quarantiner.StatusQuarantined,
			ExpiresInSeconds: en.ExpiresIn.Round(time.Second).Seconds(), KnownAt: []gypsumhoist.Instance{sv.settings.Instance},
		}
		for _, pr := range en.Deaths {
			su.Deaths = append(su.Deaths, pr.Instance)
		}
		out = append(out, su)
	}
	return out
}

// serveLocalSuspects returns the suspects known to this instance to another instance.
func (sv *Server) serveLocalSuspects(wr http.ResponseWriter, _ *http.Request) {
	writeJSON(wr, http.StatusOK, sv.localSuspects())
}

// serveQuarantine returns the suspects known to any instance to an operator.
func (sv *Server) serveQuarantine(wr http.ResponseWriter, req *http.Request) {
	others := gather[[]Suspect](req.Context(), sv, quarantinePath)
	known := map[string]Suspect{}
	for _, list := range append(others.responses, sv.localSuspects()) {
		for _, su := range list {
			known[su.ID] = mergeSuspects(known[su.ID], su)
		}
	}
	qu := Quarantine{Suspects: []Suspect{}, Silent: others.silent}
	for _, su := range known {
		qu.Suspects = append(qu.Suspects, su)
	}
	slices.SortFunc(qu.Suspects, compareSuspects)
	writeJSON(wr, http.StatusOK, qu)
}

// mergeSuspects merges two records of a suspect: the more severe one, the later expiry and all instances that know it.
func mergeSuspects(sa, sb Suspect) Suspect {
	out := sa
	if sa.ID == "" || len(sb.Deaths) > len(sa.Deaths) || sb.Quarantined && !sa.Quarantined {
		out = sb
	}
	out.ExpiresInSeconds = max(sa.ExpiresInSeconds, sb.ExpiresInSeconds)
	out.KnownAt = slices.Sorted(slices.Values(slices.Concat(sa.KnownAt, sb.KnownAt)))
	return out
}

func compareSuspects(sa, sb Suspect) int {
	if sa.Quarantined != sb.Quarantined {
		if sa.Quarantined {
			return -1
		}
		return 1
	}
	return cmp.Compare(sa.ID, sb.ID)
}

func (sv *Server) localLift(id string) LiftResult {
	if sv.node == nil {
		return LiftResult{Error: "this instance does not have the node role"}
	}
	if err := sv.node.quarantine.quarantiner.Lift(id); err != nil {
		return LiftResult{Error: err.Error()}
	}
	return LiftResult{Instance: sv.settings.Instance}
}

// serveLocalLift lifts a quarantine on behalf of another instance.
func (sv *Server) serveLocalLift(wr http.ResponseWriter, req *http.Request) {
	writeJSON(wr, http.StatusOK, sv.localLift(req.PathValue("id")))
}

// serveLift lifts a quarantine for an operator: locally, or else at the first instance that knows the suspect
// and can lift it. That instance spreads the lift to all others.
func (sv *Server) serveLift(wr http.ResponseWriter, req *http.Request) {
	id := req.URL.Path[len("/quarantine/lift/"):]
	lf := sv.localLift(id)
	if lf.Error != "" {
		lf = sv.liftElsewhere(req.Context(), id, lf)
	}
	status := http.StatusOK
	if lf.Error != "" {
		status = http.StatusNotFound
	}
	writeJSON(wr, status, lf)
}

func (sv *Server) liftElsewhere(ctx context.Context, id string, own LiftResult) LiftResult {
	others := gather[[]Suspect](ctx, sv, quarantinePath)
	own.Silent = others.silent
	for _, list := range others.responses {
		for _, su := range list {
			if su.ID != id {
				continue
			}
			if lf, ok := sv.liftAt(ctx, su.KnownAt[0], id); ok {
				return lf
			}
		}
	}
	return own
}

func (sv *Server) liftAt(ctx context.Context, in gypsumhoist.Instance, id string) (LiftResult, bool) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	for _, mb := range sv.otherInstances() {
		if mb.Instance != in {
			continue
		}
		lf := fetchFrom[LiftResult](ctx, sv, mb, http.MethodPost, liftPath+url.PathEscape(id))
		if lf != nil && lf.Error == "" {
			return *lf, true
		}
	}
	return LiftResult{}, false
}
