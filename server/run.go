package server

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// readyPatience is how long a starting node waits to hear from several sources of the table
// before it takes calls under what it has.
const readyPatience = 5 * time.Second

// run opens the callers' port once the node has a table, and hands each new table to the duties.
func (sv *Server) run() error {
	changed := sv.spreader.Holder().Changed()
	sv.take(sv.spreader.Holder().Current())
	if sv.node != nil && !sv.openCallers() {
		return nil
	}
	for {
		select {
		case <-sv.tmb.Dying():
			return nil
		case <-changed:
		}
		changed = sv.spreader.Holder().Changed()
		sv.take(sv.spreader.Holder().Current())
	}
}

// openCallers waits for the table and opens the port where callers' requests come in.
// It returns false when the process ends or has no port.
func (sv *Server) openCallers() bool {
	late := time.NewTimer(readyPatience)
	defer late.Stop()
	select {
	case <-sv.tmb.Dying():
		return false
	case <-sv.spreader.Ready():
	case <-late.C:
	}
	sv.take(sv.spreader.Holder().Current())
	err := sv.listen("callers", sv.settings.Listen.Callers, sv.drainer.Count(sv.callersThrough(sv.node.forwarder.Callers(), sv.node.forwarder.Outbound())),
		connector.WithPipelining())
	if err != nil {
		sv.logger.Log(eventPort, "port", "callers", "err", err)
		sv.tmb.Kill(err)
		return false
	}
	sv.opened.Store(true)
	sv.logger.Log(eventReady, "revision", sv.spreader.Holder().Current().Revision())
	return true
}

// take hands a table to the duties that need it.
func (sv *Server) take(tb *registrar.Table) {
	sv.gossiper.Apply(tb.Revision())
	if sv.node != nil {
		sv.node.take(tb)
	}
}
