// Package loader reads an instance's settings from TOML and checks each value.
package loader

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/gypsumhoist/gypsumhoist"
)

// Role is what a process does for the fleet.
type Role string

// Roles.
const (
	// RoleNode forwards calls beside one upstream.
	RoleNode Role = "node"
	// RoleControl keeps the table on a disk.
	RoleControl Role = "control"
)

// Settings are all settings of one process. Load fills in defaults and checks them.
type Settings struct {
	Instance      gypsumhoist.Instance      `toml:"instance"`
	FailureDomain gypsumhoist.FailureDomain `toml:"failure_domain"`
	Roles         []Role                    `toml:"roles"`
	// DataFolder holds the files of the control role.
	DataFolder string   `toml:"data_folder"`
	Listen     Listen   `toml:"listen"`
	Peers      Peers    `toml:"peers"`
	Control    Control  `toml:"control"`
	TLS        TLS      `toml:"tls"`
	Rates      Rates    `toml:"rates"`
	Claims     Claims   `toml:"claims"`
	Upstream   Upstream `toml:"upstream"`
	Bounds     Bounds   `toml:"bounds"`
	Stop       Stop     `toml:"stop"`
}

// Listen holds the addresses of the process's four ports.
type Listen struct {
	Callers  netip.AddrPort `toml:"callers"`
	Upstream netip.AddrPort `toml:"upstream"`
	Peers    netip.AddrPort `toml:"peers"`
	Operator netip.AddrPort `toml:"operator"`
}

// Peers names instances to join through.
type Peers struct {
	Seeds []netip.AddrPort `toml:"seeds"`
}

// Control names the members that found the replicated log together.
type Control struct {
	Founders []Founder `toml:"founders"`
	// SeedsFound has the control instances at peers.seeds found the log, where no founders are named.
	SeedsFound bool `toml:"seeds_found"`
	// LossesBorne is how many control instances may be lost with their disks at one time:
	// twice as many and one vote, and further ones stand by.
	LossesBorne int `toml:"losses_borne"`
}

// Founder is one first member of the replicated log.
type Founder struct {
	Instance gypsumhoist.Instance `toml:"instance"`
	Peer     netip.AddrPort       `toml:"peer"`
}

// TLS names PEM files for mutual TLS between instances and with operators.
type TLS struct {
	Authority   string `toml:"authority"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	// PlainNetwork lets instances and operators talk without encryption or proof of identity beyond loopback.
	// It is for networks that nobody else can reach.
	PlainNetwork bool `toml:"plain_network"`
}

// Rates says how strictly rates are kept.
type Rates struct {
	// Standby lets a node spend its part of a row's rate and burst while no keeper of the rate answers in its
	// failure domain. The fleet may then exceed the row by the parts of the nodes concerned.
	// Without it such requests are refused.
	Standby bool `toml:"standby"`
	// Keepers says who keeps rates in a failure domain.
	Keepers Keepers `toml:"keepers"`
}

// Keepers is a kind of keepers of rates.
type Keepers string

// Kinds of Keepers.
const (
	// KeepersElected are the leaders of shard groups: there is never more than one for a rate, and none while
	// a group has no majority.
	KeepersElected Keepers = "elected"
	// KeepersChosen are nodes chosen by name: there is always one, and for moments there may be two.
	KeepersChosen Keepers = "chosen"
)

// Claims says whether requests may be sent under an Idempotency-Key.
type Claims struct {
	// Off has no claims kept; a request under a key that is not idempotent is refused.
	Off bool `toml:"off"`
}

// Unframed says what becomes of an upstream's answer that has neither length nor chunks.
type Unframed string

// Kinds of Unframed.
const (
	// UnframedRefuse refuses such answers, as one cut short in order can't be told from a whole one.
	UnframedRefuse Unframed = "refuse"
	// UnframedTake takes one whose connection ends in order as whole, and one that is reset as cut short.
	UnframedTake Unframed = "take"
)

// Upstream says what to make of the upstream beside a node.
type Upstream struct {
	// Lapse is how long an announcement holds that is not repeated.
	Lapse Duration `toml:"lapse"`
	// IdleTime is how long a connection to the upstream stays open without a request.
	IdleTime Duration `toml:"idle_time"`
	// UnframedAnswers is UnframedRefuse where nothing is said.
	UnframedAnswers Unframed `toml:"unframed_answers"`
}

// Bounds limit what callers can take up.
type Bounds struct {
	HeaderBytes int      `toml:"header_bytes"`
	BodyBytes   int64    `toml:"body_bytes"`
	Connections int      `toml:"connections"`
	HeaderTime  Duration `toml:"header_time"`
	FirstByte   Duration `toml:"first_byte"`
	// IdleTime is how long a caller's connection without a request stays open.
	IdleTime Duration `toml:"idle_time"`
}

// Stop bounds a planned stop.
type Stop struct {
	// Grace is how long the process answers on after it said that it leaves.
	Grace Duration `toml:"grace"`
	// Longest bounds the wait for calls in flight.
	Longest Duration `toml:"longest"`
	// KilledAfter is when the environment ends the process by force, counted from its request to stop; 0 if it never does.
	// The stop is over shortly before, whatever the other two say.
	KilledAfter Duration `toml:"killed_after"`
}

// killMargin is how long before it would be killed a process is through with its stop, and graceShare the
// part of that time which it may use for answering on.
const (
	killMargin = 250 * time.Millisecond
	graceShare = 2
)

// Times returns grace and longest time of a stop, both within KilledAfter.
func (sp Stop) Times() (grace, longest time.Duration) {
	grace, longest = time.Duration(sp.Grace), time.Duration(sp.Longest)
	if sp.KilledAfter > 0 {
		longest = min(longest, max(time.Duration(sp.KilledAfter)-killMargin, 0))
		grace = min(grace, longest/graceShare)
	}
	return grace, longest
}

// Duration is a time.Duration that reads Go's notation, such as "1.5s".
type Duration time.Duration

// UnmarshalText reads the duration.
func (dr *Duration) UnmarshalText(txt []byte) error {
	val, err := time.ParseDuration(string(txt))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"500ms\" or \"2s\"", txt)
	}
	*dr = Duration(val)
	return nil
}

// lossesBorneMax makes every control instance vote, up to eleven of them.
const lossesBorneMax = 5

// Default returns the settings that hold where a file says nothing.
func Default() Settings {
	return Settings{
		Roles:      []Role{RoleNode},
		DataFolder: "data",
		Bounds: Bounds{
			HeaderBytes: 64 << 10,
			BodyBytes:   64 << 20,
			Connections: 4096,
			HeaderTime:  Duration(5 * time.Second),
			FirstByte:   Duration(30 * time.Second),
			IdleTime:    Duration(30 * time.Second),
		},
		Rates:    Rates{Keepers: KeepersElected},
		Upstream: Upstream{Lapse: Duration(3 * time.Second), IdleTime: Duration(30 * time.Second), UnframedAnswers: UnframedRefuse},
		Control:  Control{LossesBorne: lossesBorneMax},
		Stop:     Stop{Grace: Duration(3 * time.Second), Longest: Duration(60 * time.Second)},
	}
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, data)
}

// Parse reads and checks settings; name stands for the file in errors.
// All faults found are joined in one error, each a *ValueError or a syntax error.
func Parse(name string, data []byte) (Settings, error) {
	st := Default()
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := dec.Decode(&st); err != nil {
		return Settings{}, decodeError(name, err)
	}
	if err := st.Check(name); err != nil {
		return Settings{}, err
	}
	return st, nil
}

// Has reports whether the process has a role.
func (st Settings) Has(rl Role) bool { return slices.Contains(st.Roles, rl) }

func decodeError(name string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return fmt.Errorf("%s: unknown keys:\n%s", name, strict.String())
	}
	var dec *toml.DecodeError
	if errors.As(err, &dec) {
		row, col := dec.Position()
		return fmt.Errorf("%s:%d:%d: %s: %w", name, row, col, dec.Key(), err)
	}
	return fmt.Errorf("%s: %w", name, err)
}
