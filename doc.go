// Package gypsumhoist holds the types that callers, upstreams and the packages of the project share:
// verdicts, reasons, header names and the identifiers used in the table.
//
// All types are plain values that are safe for concurrent use once built.
package gypsumhoist
