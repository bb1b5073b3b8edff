// Package scenario runs whole fleets through scripted failures in virtual time.
//
// The scripts in testdata are in the language of rsc.io/script with the commands
// fleet, load, stop, wait, mark, slow, cold, lag, lie, cut, heal, isolate, rejoin, freeze, crash, wipe, run, revive, drain,
// withdraw, edit, race, stuck, agree, crashes, measure, recover, expect, judge and nobaseline. Each script runs twice:
// with the fleet, whose measures must meet the bounds of expect, and unless it says nobaseline with a baseline of
// pass-through nodes without any policy, whose measures are printed for comparison.
package scenario
