// Package registrarpb holds the messages of package registrar: commands of the log, table deltas,
// the Spread service between instances and the Office service for operators.
package registrarpb
