// Package journaler stores a replicated group's log on disk as checksummed segments and snapshots
// in one data folder. After a crash a save is there either completely or not at all, and saved data is either
// read back or reported as corrupt. docs/design/journaler.md gives the reasons.
package journaler
