// Package announcer receives the announcements of the upstream that runs beside a node on the same instance.
// An upstream repeats its announcement; an announcement that is not repeated expires.
package announcer

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// State is the readiness of an upstream as announced.
type State string

// States.
const (
	StateReady    State = "ready"    // accepts requests
	StateWarming  State = "warming"  // accepts few requests, as it has just started
	StateDraining State = "draining" // accepts no new requests
)

// Bounds of an announcement.
const (
	slotsMax       = 10_000
	connectionsMax = 10_000
	bodyMax        = 4 << 10 // bytes
	serviceMax     = 63      // bytes
)

// DefaultExpiry is how long an announcement is valid without being repeated, by default.
const DefaultExpiry = 3 * time.Second

// Announcement describes an upstream. The zero value means that there is no upstream.
type Announcement struct {
	Service gypsumhoist.Service `json:"service"`
	Address netip.AddrPort      `json:"address"`
	// Slots is how many requests the upstream runs concurrently, Connections how many connections it accepts.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// State may be omitted; it is then ready.
	State State `json:"state"`
	// Load is how many requests the upstream reports to be running now; it is only a hint.
	Load int `json:"load"`
	// Boot distinguishes successive processes of an upstream; it may be omitted.
	Boot string `json:"boot"`
	// Started is when the upstream started; it may be omitted. Without it the upstream counts as cold after a restart of its node.
	Started time.Time `json:"started"`
}

// ValueError is the error of an announcement with an invalid value.
type ValueError struct {
	Key     string
	Value   string
	Allowed string
}

// Error returns a text with the key, the value and the allowed values.
func (ve *ValueError) Error() string {
	return fmt.Sprintf("announcement: %s = %q: allowed is %s", ve.Key, ve.Value, ve.Allowed)
}

// Read reads and validates an announcement in JSON.
func Read(rd io.Reader) (Announcement, error) {
	var an Announcement
	dec := json.NewDecoder(io.LimitReader(rd, bodyMax))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&an); err != nil {
		return Announcement{}, fmt.Errorf("announcement: %w", err)
	}
	if an.State == "" {
		an.State = StateReady
	}
	return an, an.check()
}

func (an Announcement) check() error {
	switch {
	case an.Service == "" || len(an.Service) > serviceMax:
		return &ValueError{"service", string(an.Service), fmt.Sprintf("a name of 1 to %d bytes", serviceMax)}
	case !an.Address.IsValid() || !an.Address.Addr().IsLoopback() || an.Address.Port() == 0:
		return &ValueError{"address", an.Address.String(), "a loopback IP address with a port, as the upstream runs beside its node"}
	case an.Slots < 1 || an.Slots > slotsMax:
		return &ValueError{"slots", fmt.Sprint(an.Slots), fmt.Sprintf("1 to %d", slotsMax)}
	case an.Connections < 1 || an.Connections > connectionsMax:
		return &ValueError{"connections", fmt.Sprint(an.Connections), fmt.Sprintf("1 to %d", connectionsMax)}
	case an.State != StateReady && an.State != StateWarming && an.State != StateDraining:
		return &ValueError{"state", string(an.State), "ready, warming or draining"}
	case an.Load < 0:
		return &ValueError{"load", fmt.Sprint(an.Load), "0 or more"}
	default:
		return nil
	}
}

// SameUpstream reports whether two announcements come from the same process.
func (an Announcement) SameUpstream(other Announcement) bool {
	return an.Service == other.Service && an.Address == other.Address && an.Boot == other.Boot
}
