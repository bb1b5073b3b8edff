package server

import (
	"net/http"
	"slices"

	"github.com/uptrace/bunrouter"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
)

// workPath is the peer port's path for an instance's InstanceWork.
const workPath = "/gypsumhoist/work"

// InstanceWork says what runs at the upstream beside an instance, and which table it has.
type InstanceWork struct {
	Instance gypsumhoist.Instance      `json:"instance"`
	Domain   gypsumhoist.FailureDomain `json:"failure_domain"`
	Revision uint64                    `json:"revision"`
	// Requests counts the requests that run or wait at the upstream.
	Requests int `json:"requests"`
}

// DomainWork is the response of /status/work/NAME: what runs at the upstreams of a failure domain.
type DomainWork struct {
	Domain    gypsumhoist.FailureDomain `json:"failure_domain"`
	Evacuated bool                      `json:"evacuated"`
	Revision  uint64                    `json:"revision"`
	Requests  int                       `json:"requests"`
	Instances []InstanceWork            `json:"instances"`
	// Silent are the known instances of the domain that gave no response: requests may run there.
	Silent []gypsumhoist.Instance `json:"silent,omitempty"`
	// Partial is set at an instance of another domain, which in a large fleet knows only some of the domain's instances.
	Partial bool `json:"partial"`
}

func (sv *Server) localWork() InstanceWork {
	iw := InstanceWork{Instance: sv.settings.Instance, Domain: sv.settings.FailureDomain, Revision: sv.Revision()}
	if sv.node != nil {
		ld := sv.node.admitter.Load()
		iw.Requests = ld.InFlight + ld.Waiting
	}
	return iw
}

// serveLocalWork returns what runs at this instance's upstream to another instance.
func (sv *Server) serveLocalWork(wr http.ResponseWriter, _ *http.Request) {
	writeJSON(wr, http.StatusOK, sv.localWork())
}

// serveWork returns what runs at the upstreams of a failure domain to an operator.
func (sv *Server) serveWork(wr http.ResponseWriter, req *http.Request) {
	domain := gypsumhoist.FailureDomain(bunrouter.ParamsFromContext(req.Context()).ByName("domain"))
	dw := DomainWork{
		Domain: domain, Evacuated: slices.Contains(sv.Evacuated(), domain), Revision: sv.Revision(), Instances: []InstanceWork{},
		Partial: domain != sv.settings.FailureDomain,
	}
	if !dw.Partial {
		dw.Instances = append(dw.Instances, sv.localWork())
	}
	others := gatherFrom[InstanceWork](req.Context(), sv, slices.DeleteFunc(sv.otherInstances(), func(mb gossiper.Member) bool { return mb.Domain != domain }), workPath)
	dw.Instances = append(dw.Instances, others.responses...)
	dw.Silent = others.silent
	for _, iw := range dw.Instances {
		dw.Requests += iw.Requests
	}
	if len(dw.Instances) == 0 && len(dw.Silent) == 0 {
		writeJSON(wr, http.StatusNotFound, dw)
		return
	}
	writeJSON(wr, http.StatusOK, dw)
}
