// Package registrar holds the replicated table of rows, API keys, shard placements and control instances:
// the state machine behind the replicated log, the operators' service that edits it,
// and the distribution of its revisions to every instance.
package registrar
