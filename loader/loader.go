// Package loader reads an instance's settings from TOML and validates them.
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

// Role is a part that a process plays in the fleet. A process may have several.
type Role string

// Roles.
const (
	// RoleNode forwards calls to and from one local upstream.
	RoleNode Role = "node"
	// RoleControl replicates the table and stores it on disk.
	RoleControl Role = "control"
)

// Settings are the settings of one process. Load fills in the defaults and validates the values.
type Settings struct {
	Instance      gypsumhoist.Instance      `toml:"instance"`
	FailureDomain gypsumhoist.FailureDomain `toml:"failure_domain"`
	Roles         []Role                    `toml:"roles"`
	// DataFolder is where the control role stores its files.
	DataFolder string   `toml:"data_folder"`
	Listen     Listen   `toml:"listen"`
	Peers      Peers    `toml:"peers"`
	Control    Control  `toml:"control"`
	TLS        TLS      `toml:"tls"`
	Rates      Rates    `toml:"rates"`
	Claims     Claims   `toml:"claims"`
	Upstream   Upstream `toml:"upstream"`
	Routing    Routing  `toml:"routing"`
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

// Peers configures how an instance joins the fleet.
type Peers struct {
	Seeds []netip.AddrPort `toml:"seeds"`
}

// Control configures the replicated log of the table.
type Control struct {
	Founders []Founder `toml:"founders"`
	// SeedsFound makes the control instances at peers.seeds the founders when no founders are set.
	SeedsFound bool `toml:"seeds_found"`
	// JoinOnly is set once the log exists: an instance with an empty data folder then waits for a member of the log, and never
	// founds another one.
	JoinOnly bool `toml:"join_only"`
	// LossesBorne is the number of control instances that may be lost with their disks at the same time:
	// twice that number plus one instances vote, and further ones are spares.
	LossesBorne int `toml:"losses_borne"`
}

// Founder is an initial member of the replicated log.
type Founder struct {
	Instance gypsumhoist.Instance `toml:"instance"`
	Peer     netip.AddrPort       `toml:"peer"`
}

// TLS names PEM files for mutual TLS between instances and with operators.
type TLS struct {
	Authority   string `toml:"authority"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	// PlainNetwork allows instances and operators to communicate without encryption and authentication on other than
	// loopback addresses. It is for networks that nobody else can reach.
	PlainNetwork bool `toml:"plain_network"`
}

// Rates configures how rate limits are enforced.
type Rates struct {
	// Standby lets a node spend its share of a row's rate and burst while no keeper responds in its failure domain.
	// The fleet may then exceed the row's limit by the shares of the nodes concerned.
	// Without Standby such requests are refused.
	Standby bool `toml:"standby"`
	// Keepers says how the keeper of a rate, the node that holds its token bucket in a failure domain, is determined.
	Keepers KeeperSelection `toml:"keepers"`
}

// KeeperSelection is the way in which a failure domain's keepers are determined.
type KeeperSelection string

// Kinds of KeeperSelection.
const (
	// KeepersElected makes the leaders of shard groups the keepers: a rate never has more than one,
	// and none while its group has no majority.
	KeepersElected KeeperSelection = "elected"
	// KeepersChosen makes live nodes the keepers, chosen by hash of name: a rate always has one, and may briefly have two.
	KeepersChosen KeeperSelection = "chosen"
)

// Claims configures requests with an Idempotency-Key.
type Claims struct {
	// Off disables claims; requests with a key are then refused unless they are idempotent.
	Off bool `toml:"off"`
}

// UnframedPolicy says how to treat an upstream's response that has neither a length nor chunked encoding.
type UnframedPolicy string

// Kinds of UnframedPolicy.
const (
	// UnframedRefuse refuses such responses, as one that was truncated by an orderly close looks like a complete one.
	UnframedRefuse UnframedPolicy = "refuse"
	// UnframedAccept treats a response as complete when its connection is closed in order, and as truncated when it is reset.
	UnframedAccept UnframedPolicy = "take"
)

// Upstream configures how a node treats its local upstream.
type Upstream struct {
	// Lapse is the time after which an announcement expires unless it is repeated.
	Lapse Duration `toml:"lapse"`
	// IdleTime is how long an idle connection to the upstream stays open.
	IdleTime Duration `toml:"idle_time"`
	// UnframedAnswers is UnframedRefuse by default.
	UnframedAnswers UnframedPolicy `toml:"unframed_answers"`
}

// SpilloverPolicy says when calls leave the failure domain, for services whose upstreams report their pace.
type SpilloverPolicy string

// Kinds of SpilloverPolicy.
const (
	// SpilloverPriced lets a call leave if its domain has no room and leaving costs less than staying.
	SpilloverPriced SpilloverPolicy = "priced"
	// SpilloverOverflow takes the nearest domain with room, as for all other services.
	SpilloverOverflow SpilloverPolicy = "overflow"
	// SpilloverOff lets no call leave while an upstream of its domain is usable.
	SpilloverOff SpilloverPolicy = "off"
)

// Routing configures the choice of upstreams. It concerns only services whose upstreams report their pace.
type Routing struct {
	// LoadReports makes use of the loads and paces that upstreams report. Without it, upstreams are chosen as if they reported none.
	LoadReports bool            `toml:"load_reports"`
	Spillover   SpilloverPolicy `toml:"spillover"`
	// SpilloverMaxShare is the largest share of a service's calls that may leave the node's failure domain.
	SpilloverMaxShare float64 `toml:"spillover_max_share"`
	// SpilloverPerMegabyte is the waiting time that a megabyte between failure domains is worth.
	SpilloverPerMegabyte Duration `toml:"spillover_per_megabyte"`
}

// Bounds limit the resources that clients can use. Those of all ports count together, except that a part of HeadBytes and
// of Connections is reserved for peers, operators and the upstream.
type Bounds struct {
	HeaderBytes int   `toml:"header_bytes"`
	BodyBytes   int64 `toml:"body_bytes"`
	// Connections limits the accepted connections of all ports.
	Connections int      `toml:"connections"`
	HeaderTime  Duration `toml:"header_time"`
	FirstByte   Duration `toml:"first_byte"`
	// IdleTime is how long an idle connection of a caller stays open.
	IdleTime Duration `toml:"idle_time"`
	// HeadBytes limits the memory for the heads of requests, HeaderLines the lines of one head.
	HeadBytes   int64 `toml:"head_bytes"`
	HeaderLines int   `toml:"header_lines"`
	// AnswerBytes limits the memory for answers that wait for their clients.
	AnswerBytes int64 `toml:"answer_bytes"`
	// KernelBytes is the memory that the kernel's buffers of all accepted connections should need in each direction.
	KernelBytes int64 `toml:"kernel_bytes"`
	// ConnectionsPerClient limits the connections of one client address to the callers' port; 0 for no limit of its own.
	ConnectionsPerClient int `toml:"connections_per_client"`
	// Pipelined limits the requests of one HTTP/1.1 connection that run concurrently, Streams those of one HTTP/2 connection.
	Pipelined int `toml:"pipelined"`
	Streams   int `toml:"streams"`
	// MemoryBytes is the memory that the garbage collector aims to stay under; 0 for none.
	MemoryBytes int64 `toml:"memory_bytes"`
	// Processors is how many threads may run Go code at the same time; 0 for the runtime's choice, which is the number of processors.
	// A node with 14 calls/s on a machine with 7 used a fifth less processor time with 1.
	Processors int `toml:"processors"`
	// ReceiveBuffer is the kernel's buffer for bytes of a connection that have not been read, SendBuffer for those that the other end has not
	// acknowledged; 0 for the kernel's choice. They hold for connections with callers, operators and the upstream.
	ReceiveBuffer int `toml:"receive_buffer"`
	SendBuffer    int `toml:"send_buffer"`
}

// Stop bounds a planned stop.
type Stop struct {
	// Grace is how long the process goes on accepting calls after it has announced that it leaves.
	Grace Duration `toml:"grace"`
	// Longest bounds the wait for calls in flight.
	Longest Duration `toml:"longest"`
	// KilledAfter is the time from the environment's request to stop until it kills the process; 0 if it never does.
	// The stop completes shortly before that, whatever Grace and Longest say.
	KilledAfter Duration `toml:"killed_after"`
}

// A stop completes killMargin before the process would be killed, and its grace takes at most
// 1/graceDivisor of the time until then.
const (
	killMargin   = 250 * time.Millisecond
	graceDivisor = 2
)

// Times returns the grace and longest time of a stop, both limited by KilledAfter.
func (sp Stop) Times() (grace, longest time.Duration) {
	grace, longest = time.Duration(sp.Grace), time.Duration(sp.Longest)
	if sp.KilledAfter > 0 {
		longest = min(longest, max(time.Duration(sp.KilledAfter)-killMargin, 0))
		grace = min(grace, longest/graceDivisor)
	}
	return grace, longest
}

// Duration is a time.Duration that is written in Go's notation, such as "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (dr *Duration) UnmarshalText(txt []byte) error {
	val, err := time.ParseDuration(string(txt))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"500ms\" or \"2s\"", txt)
	}
	*dr = Duration(val)
	return nil
}

// lossesBorneMax is the limit and default of LossesBorne: every control instance votes, up to eleven of them.
const lossesBorneMax = 5

// Default returns the settings that apply where a file sets nothing.
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
			HeadBytes:   48 << 20,
			HeaderLines: 5500,
			AnswerBytes: 32 << 20,
			KernelBytes: 24 << 20,
			Pipelined:   32,
			Streams:     1000,

			ReceiveBuffer: 64 << 10,
			SendBuffer:    64 << 10,
		},
		Rates:    Rates{Keepers: KeepersElected},
		Upstream: Upstream{Lapse: Duration(3 * time.Second), IdleTime: Duration(30 * time.Second), UnframedAnswers: UnframedRefuse},
		Routing: Routing{
			LoadReports: true, Spillover: SpilloverPriced, SpilloverMaxShare: 1, SpilloverPerMegabyte: Duration(40 * time.Millisecond),
		},
		Control: Control{LossesBorne: lossesBorneMax},
		Stop:    Stop{Grace: Duration(3 * time.Second), Longest: Duration(60 * time.Second)},
	}
}

// Load reads and validates a settings file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, data)
}

// Parse reads and validates settings. The name identifies the file in errors.
// It returns a syntax error, or the *ValueErrors of all invalid settings joined.
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

// Has reports whether the process has the role.
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
