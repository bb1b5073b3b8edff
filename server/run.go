package server

import (
	"errors"
	"time"

	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// readyTimeout is how long a starting node waits for enough sources of the table
// before it accepts calls under the table it has.
const readyTimeout = 5 * time.Second

// run opens the callers' port once the node has a table, and passes each new table to the components.
func (sv *Server) run() error {
	changed := sv.distributor.Holder().Changed()
	sv.setTable(sv.distributor.Holder().Current())
	if sv.node != nil && !sv.openCallers() {
		return nil
	}
	for {
		select {
		case <-sv.tmb.Dying():
			return nil
		case <-changed:
		}
		changed = sv.distributor.Holder().Changed()
		sv.setTable(sv.distributor.Holder().Current())
	}
}

// openCallers waits for the table and opens the callers' port, unless a stop has begun.
// It returns false when the process ends or the port can't be opened.
func (sv *Server) openCallers() bool {
	timeout := time.NewTimer(readyTimeout)
	defer timeout.Stop()
	select {
	case <-sv.tmb.Dying():
		return false
	case <-sv.distributor.Ready():
	case <-timeout.C:
	}
	sv.setTable(sv.distributor.Holder().Current())
	err := sv.listen("callers", sv.settings.Listen.Callers,
		sv.drainer.Count(sv.callerMiddleware(sv.node.forwarder.Callers(), sv.node.forwarder.Outbound())),
		connector.WithPipelining())
	if errors.Is(err, errStopping) {
		return true
	}
	if err != nil {
		sv.logger.Log(eventPort, "port", "callers", "err", err)
		sv.tmb.Kill(err)
		return false
	}
	sv.opened.Store(true)
	sv.logger.Log(eventReady, "revision", sv.distributor.Holder().Current().Revision())
	return true
}

// setTable passes a table to the components that need it.
func (sv *Server) setTable(tb *registrar.Table) {
	sv.gossiper.SetRevision(tb.Revision())
	if sv.node != nil {
		sv.node.setTable(tb)
	}
}
