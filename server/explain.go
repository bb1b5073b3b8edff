package server

import (
	"cmp"
	"net/http"
	"net/url"
	"slices"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/explainer"
)

// explainPath is the peer port's path prefix for an instance's records of one request.
const explainPath = "/gypsumhoist/explain/"

// requestParam is the path parameter that holds the request ID.
const requestParam = "id"

// serveLocalRecords returns this instance's records of a request to another instance.
func (sv *Server) serveLocalRecords(wr http.ResponseWriter, req *http.Request) {
	writeJSON(wr, http.StatusOK, sv.localRecords(gypsumhoist.RequestID(req.PathValue(requestParam))))
}

func (sv *Server) localRecords(id gypsumhoist.RequestID) []*explainer.Record {
	if sv.node == nil {
		return []*explainer.Record{}
	}
	return sv.node.records.Find(id)
}

// serveExplain returns the records that all known instances have of a request to an operator.
func (sv *Server) serveExplain(wr http.ResponseWriter, req *http.Request) {
	id := gypsumhoist.RequestID(req.URL.Path[len("/explain/"):])
	others := gather[[]*explainer.Record](req.Context(), sv, explainPath+url.PathEscape(string(id)))
	ex := explainer.Explanation{Request: id, Records: append([]*explainer.Record{}, sv.localRecords(id)...), Silent: others.silent}
	for _, rcs := range others.responses {
		ex.Records = append(ex.Records, rcs...)
	}
	slices.SortStableFunc(ex.Records, compareRecords)
	status := http.StatusOK
	if len(ex.Records) == 0 {
		status = http.StatusNotFound
	}
	writeJSON(wr, status, ex)
}

// compareRecords orders records by start time; at equal times the entry node's record precedes that of the hop.
func compareRecords(ra, rb *explainer.Record) int {
	return cmp.Or(ra.Started.Compare(rb.Started), hopRank(ra)-hopRank(rb))
}

func hopRank(rc *explainer.Record) int {
	if rc.Hop {
		return 1
	}
	return 0
}
