// Package emulator provides emulated upstreams, which announce themselves, run requests and call other services,
// load generators, which act as callers, and whole fleets in one process.
// It is for demonstrations and scenarios, never for production traffic.
package emulator
