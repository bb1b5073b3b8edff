// Package auditor tells from saved logs what was lost: which requests of callers were refused, failed or came late, in which
// second, of which route, in which failure domain, and at which call of their chain that began.
package auditor
