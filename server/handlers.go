package server

import (
	"encoding/json"
	"net/http"

	"github.com/uptrace/bunrouter"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/forwarder"
)

// peerHandler returns the handler of the peer port.
func (sv *Server) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(sv.gossiper.Handler())
	mux.Handle(sv.host.Handler())
	mux.Handle(sv.distributor.Handler())
	mux.Handle(sv.operatorService.Handler())
	mux.HandleFunc("GET "+explainPath+"{id}", sv.serveLocalRecords)
	mux.HandleFunc("GET "+burnPath, sv.serveLocalBurn)
	mux.HandleFunc("GET "+groupsPath, sv.serveLocalGroups)
	mux.HandleFunc("GET "+workPath, sv.serveLocalWork)
	mux.HandleFunc("GET "+quarantinePath, sv.serveLocalSuspects)
	mux.HandleFunc("POST "+liftPath+"{id}", sv.serveLocalLift)
	if sv.node == nil {
		return mux
	}
	sv.node.mount(mux)
	// Only forwarded calls count as in flight: control messages, some of which are long polls, must not delay a planned stop.
	calls := sv.drainer.Count(sv.node.forwarder.Peer(mux))
	return http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		if req.Header.Get(forwarder.HeaderHop) != "" {
			calls.ServeHTTP(wr, req)
			return
		}
		mux.ServeHTTP(wr, req)
	})
}

// operatorHandler returns the handler of the operator port.
func (sv *Server) operatorHandler() http.Handler {
	rt := bunrouter.New().Compat()
	rt.GET("/metrics", func(wr http.ResponseWriter, _ *http.Request) { sv.metrics.WritePrometheus(wr) })
	rt.GET("/health", sv.serveHealth)
	rt.GET("/explain/:id", sv.serveExplain)
	rt.GET("/route", sv.serveRoute)
	rt.GET("/report/burn", sv.serveBurn)
	rt.GET("/report/burn.html", sv.serveBurnPage)
	rt.GET("/status/shards", sv.serveShards)
	rt.GET("/status/work/:domain", sv.serveWork)
	rt.GET("/quarantine", sv.serveQuarantine)
	rt.POST("/quarantine/lift/:id", sv.serveLift)
	mux := http.NewServeMux()
	mux.Handle(sv.operatorService.Handler())
	mux.Handle("/", rt)
	return mux
}

// health is the response of /health.
type health struct {
	Instance gypsumhoist.Instance `json:"instance"`
	Leaving  bool                 `json:"leaving"`
	Revision uint64               `json:"revision"`
	InFlight int                  `json:"in_flight"`
}

// serveHealth returns 200 while the process serves, 503 while it drains or has no table.
func (sv *Server) serveHealth(wr http.ResponseWriter, _ *http.Request) {
	hl := health{
		Instance: sv.settings.Instance, Leaving: sv.drainer.Leaving(),
		Revision: sv.distributor.Holder().Current().Revision(), InFlight: sv.drainer.InFlight(),
	}
	status := http.StatusOK
	if hl.Leaving || hl.Revision == 0 {
		status = http.StatusServiceUnavailable
	}
	writeJSON(wr, status, hl)
}

func writeJSON(wr http.ResponseWriter, status int, val any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	// Fails only when the client has disconnected.
	_ = json.NewEncoder(wr).Encode(val)
}
