package server

import (
	"net/http"
	"time"

	"github.com/gypsumhoist/gypsumhoist/forwarder"
	"github.com/gypsumhoist/gypsumhoist/reporter"
)

// burnPath is the peer port's path for an instance's counts for the burn-rate report.
const burnPath = "/gypsumhoist/burn"

// observe counts the outcome of a caller's request.
func (nd *node) observe(ob forwarder.Observation) {
	nd.reporter.Observe(time.Now(), ob.Row, reporter.Classify(ob.Succeeded, ob.Reason))
}

func (sv *Server) localBurn() reporter.InstanceCounts {
	if sv.node == nil {
		return reporter.InstanceCounts{Instance: sv.settings.Instance, Rows: []reporter.RowCounts{}}
	}
	return sv.node.reporter.Counts(time.Now(), sv.settings.Instance, true)
}

// serveLocalBurn returns this instance's counts to another instance.
func (sv *Server) serveLocalBurn(wr http.ResponseWriter, _ *http.Request) {
	writeJSON(wr, http.StatusOK, sv.localBurn())
}

func (sv *Server) burn(req *http.Request) reporter.Report {
	others := gather[reporter.InstanceCounts](req.Context(), sv, burnPath)
	return reporter.Merge(time.Now(), append(others.responses, sv.localBurn()), others.silent)
}

// serveBurn returns the burn rates of all rows, summed over all known instances, to an operator.
func (sv *Server) serveBurn(wr http.ResponseWriter, req *http.Request) {
	writeJSON(wr, http.StatusOK, sv.burn(req))
}

// serveBurnPage returns the burn-rate report as HTML.
func (sv *Server) serveBurnPage(wr http.ResponseWriter, req *http.Request) {
	wr.Header().Set("Content-Type", "text/html; charset=utf-8")
	// Fails only when the client has disconnected.
	_ = reporter.WriteHTML(wr, sv.burn(req))
}
