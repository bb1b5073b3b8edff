package server

import (
	"cmp"
	"net/http"
	"strconv"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/forwarder"
)

// routeError is the response of /route if it can't be answered.
type routeError struct {
	Error string `json:"error"`
}

// serveRoute says to an operator where a caller's request would go from this node now.
func (sv *Server) serveRoute(wr http.ResponseWriter, req *http.Request) {
	if sv.node == nil {
		writeJSON(wr, http.StatusNotFound, routeError{"this instance takes no requests of callers; ask a node"})
		return
	}
	rq, problem := routeQuery(req)
	if problem != "" {
		writeJSON(wr, http.StatusBadRequest, routeError{problem})
		return
	}
	writeJSON(wr, http.StatusOK, sv.node.forwarder.Route(rq))
}

// routeQuery reads the parameters of /route, and says what is wrong with them.
func routeQuery(req *http.Request) (rq forwarder.RouteQuery, problem string) {
	vals := req.URL.Query()
	rq = forwarder.RouteQuery{
		Method: cmp.Or(vals.Get("method"), http.MethodGet), Host: vals.Get("host"), Target: vals.Get("path"),
		Workspace: gypsumhoist.Workspace(vals.Get("workspace")),
	}
	if text := vals.Get("importance"); text != "" {
		num, err := strconv.Atoi(text)
		if err != nil || num < int(gypsumhoist.ImportanceMin) || num > int(gypsumhoist.ImportanceMax) {
			return rq, "importance must be a number from 0 to 100"
		}
		im := gypsumhoist.Importance(num)
		rq.Importance = &im
	}
	if text := vals.Get("time_left"); text != "" {
		left, err := time.ParseDuration(text)
		if err != nil || left < time.Millisecond {
			return rq, "time_left must be a duration of a millisecond or more, such as 1.5s"
		}
		rq.TimeLeft = left
	}
	return rq, ""
}
