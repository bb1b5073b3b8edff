// Package announcer takes in what the upstream beside a node says about itself.
// An upstream repeats its announcement; one that is not repeated lapses.
package announcer

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// State is what an upstream says about its readiness.
type State string

// States.
const (
	StateReady    State = "ready"    // takes work
	StateWarming  State = "warming"  // takes little work, as it has just started
	StateDraining State = "draining" // takes no new work
)

// Bounds of an announcement.
const (
	slotsMax       = 10_000
	connectionsMax = 10_000
	bodyMax        = 4 << 10 // bytes
	serviceMax     = 63      // bytes
)

// Lapse is how long an announcement holds that is not repeated, unless WithLapse says otherwise.
const Lapse = 3 * time.Second

// Announcement is what an upstream says about itself. The zero value is no upstream.
type Announcement struct {
	Service gypsumhoist.Service `json:"service"`
	Address netip.AddrPort      `json:"address"`
	// Slots is how many requests the upstream runs at once, Connections how many connections it takes.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// State is ready when it is left out.
	State State `json:"state"`
	// Load is how many requests the upstream says it runs now; a hint only.
	Load int `json:"load"`
	// Boot tells two processes of one upstream apart; it may be left out.
	Boot string `json:"boot"`
	// Started is when the upstream started; it may be left out. Without it an upstream whose node starts anew counts as cold.
	Started time.Time `json:"started"`
}

// ValueError says which value of an announcement is not allowed.
type ValueError struct {
	Key     string
	Value   string
	Allowed string
}

// Error names key, value and what is allowed.
func (ve *ValueError) Error() string {
	return fmt.Sprintf("announcement: %s = %q: allowed is %s", ve.Key, ve.Value, ve.Allowed)
}

// Read reads and checks an announcement in JSON.
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
		return &ValueError{"address", an.Address.String(), "a loopback IP number with a port, as the upstream runs beside its node"}
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

// SameUpstream reports whether two announcements come from one process.
func (an Announcement) SameUpstream(other Announcement) bool {
	return an.Service == other.Service && an.Address == other.Address && an.Boot == other.Boot
}
