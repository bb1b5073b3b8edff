package loader

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"
)

// ValueError reports a setting whose value is not allowed.
type ValueError struct {
	File    string
	Key     string
	Value   string
	Allowed string
}

// Error returns the file, key, value and allowed values.
func (ve *ValueError) Error() string {
	return fmt.Sprintf("%s: invalid value %s = %q: must be %s", ve.File, ve.Key, ve.Value, ve.Allowed)
}

// Bounds of numeric settings.
const (
	headerBytesMin = 4 << 10
	headerBytesMax = 1 << 20
	bodyBytesMax   = 1 << 30
	connectionsMax = 100_000
	headBytesMin   = 1 << 20
	headBytesMax   = 1 << 40
	memoryBytesMin = 64 << 20
	processorsMax  = 1024
	headerLinesMin = 100
	headerLinesMax = 1 << 20
	concurrentMax  = 100_000

	kernelBufferMin = 4 << 10
	kernelBufferMax = 64 << 20
	durationMax     = time.Hour
)

const nameAllowed = "1 to 63 letters, digits, '-', '_' or '.', beginning with a letter or digit"

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$`)

// checker collects the errors of one settings file.
type checker struct {
	file string
	errs []error
}

// Check returns the joined *ValueErrors of all invalid settings, or nil. The name identifies the file in errors.
func (st Settings) Check(name string) error {
	ck := &checker{file: name}
	ck.name("instance", string(st.Instance))
	ck.name("failure_domain", string(st.FailureDomain))
	ck.roles(st.Roles)
	ck.listen(st)
	ck.control(st)
	ck.tls(st)
	ck.bounds(st.Bounds)
	ck.upstream(st.Upstream)
	ck.routing(st.Routing)
	ck.rates(st)
	ck.duration("stop.killed_after", st.Stop.KilledAfter, 0, durationMax)
	ck.duration("stop.grace", st.Stop.Grace, 0, durationMax)
	ck.duration("stop.longest", st.Stop.Longest, 0, durationMax)
	return errors.Join(ck.errs...)
}

func (ck *checker) add(key string, value any, allowed string) {
	ck.errs = append(ck.errs, &ValueError{File: ck.file, Key: key, Value: fmt.Sprint(value), Allowed: allowed})
}

func (ck *checker) name(key, value string) {
	if !namePattern.MatchString(value) {
		ck.add(key, value, nameAllowed)
	}
}

func (ck *checker) roles(rls []Role) {
	if len(rls) == 0 {
		ck.add("roles", rls, `one or both of "node" and "control"`)
	}
	for _, rl := range rls {
		if rl != RoleNode && rl != RoleControl {
			ck.add("roles", rl, `one or both of "node" and "control"`)
		}
	}
}

func (ck *checker) listen(st Settings) {
	ck.address("listen.peers", st.Listen.Peers)
	ck.address("listen.operator", st.Listen.Operator)
	if st.Has(RoleNode) {
		ck.address("listen.callers", st.Listen.Callers)
		ck.address("listen.upstream", st.Listen.Upstream)
		if up := st.Listen.Upstream; up.IsValid() && !up.Addr().IsLoopback() {
			ck.add("listen.upstream", up, "a loopback address, as the upstream port has no TLS")
		}
	}
	for _, ap := range st.Peers.Seeds {
		ck.address("peers.seeds", ap)
	}
}

func (ck *checker) address(key string, ap netip.AddrPort) {
	if !ap.IsValid() || ap.Port() == 0 || ap.Addr().IsUnspecified() {
		ck.add(key, ap, "an IP address and port such as \"127.0.0.1:7402\", neither unspecified nor port 0")
	}
}

func (ck *checker) control(st Settings) {
	if lb := st.Control.LossesBorne; lb < 0 || lb > lossesBorneMax {
		ck.add("control.losses_borne", lb, fmt.Sprintf("0 to %d", lossesBorneMax))
	}
	if st.Has(RoleControl) && st.DataFolder == "" {
		ck.add("data_folder", "", "a folder, as the control role stores files")
	}
	seen := map[string]bool{}
	for _, fd := range st.Control.Founders {
		ck.name("control.founders.instance", string(fd.Instance))
		ck.address("control.founders.peer", fd.Peer)
		if seen[string(fd.Instance)] {
			ck.add("control.founders.instance", fd.Instance, "different for each founder")
		}
		seen[string(fd.Instance)] = true
	}
}

func (ck *checker) tls(st Settings) {
	files := []string{st.TLS.Authority, st.TLS.Certificate, st.TLS.Key}
	empty := slices.Index(files, "") >= 0
	if st.TLS.PlainNetwork && !empty {
		ck.add("tls.plain_network", true, "false when certificate files are set")
	}
	if empty && !slices.Equal(files, []string{"", "", ""}) {
		ck.add("tls", files, "authority, certificate and key together, or none of these")
	}
	for key, ap := range map[string]netip.AddrPort{"listen.peers": st.Listen.Peers, "listen.operator": st.Listen.Operator} {
		if ap.IsValid() && !ap.Addr().IsLoopback() && empty && !st.TLS.PlainNetwork {
			ck.add(key, ap, "a loopback address unless [tls] sets authority, certificate and key, or plain_network")
		}
	}
}

func (ck *checker) rates(st Settings) {
	if kp := st.Rates.Keepers; kp != KeepersElected && kp != KeepersChosen {
		ck.add("rates.keepers", kp, `"elected" or "chosen"`)
	}
	if st.Claims.Off && st.Rates.Keepers != KeepersChosen {
		ck.add("claims.off", true, `false unless rates.keepers is "chosen", as elected keepers also hold the claims`)
	}
}

func (ck *checker) upstream(us Upstream) {
	ck.duration("upstream.lapse", us.Lapse, time.Second, durationMax)
	ck.duration("upstream.idle_time", us.IdleTime, 100*time.Millisecond, durationMax)
	if us.UnframedAnswers != UnframedRefuse && us.UnframedAnswers != UnframedAccept {
		ck.add("upstream.unframed_answers", us.UnframedAnswers, `"refuse" or "take"`)
	}
}

func (ck *checker) routing(rt Routing) {
	if sp := rt.Spillover; sp != SpilloverPriced && sp != SpilloverOverflow && sp != SpilloverOff {
		ck.add("routing.spillover", sp, `"priced", "overflow" or "off"`)
	}
	if !(rt.SpilloverMaxShare >= 0 && rt.SpilloverMaxShare <= 1) {
		ck.add("routing.spillover_max_share", rt.SpilloverMaxShare, "0 to 1")
	}
	ck.duration("routing.spillover_per_megabyte", rt.SpilloverPerMegabyte, 0, durationMax)
}

func (ck *checker) bounds(bd Bounds) {
	if bd.HeaderBytes < headerBytesMin || bd.HeaderBytes > headerBytesMax {
		ck.add("bounds.header_bytes", bd.HeaderBytes, fmt.Sprintf("%d to %d bytes", headerBytesMin, headerBytesMax))
	}
	if bd.BodyBytes < 0 || bd.BodyBytes > bodyBytesMax {
		ck.add("bounds.body_bytes", bd.BodyBytes, fmt.Sprintf("0 to %d bytes", bodyBytesMax))
	}
	if bd.Connections < 1 || bd.Connections > connectionsMax {
		ck.add("bounds.connections", bd.Connections, fmt.Sprintf("1 to %d", connectionsMax))
	}
	ck.number("bounds.head_bytes", bd.HeadBytes, headBytesMin, headBytesMax)
	ck.number("bounds.answer_bytes", bd.AnswerBytes, headBytesMin, headBytesMax)
	ck.number("bounds.kernel_bytes", bd.KernelBytes, headBytesMin, headBytesMax)
	ck.number("bounds.header_lines", int64(bd.HeaderLines), headerLinesMin, headerLinesMax)
	ck.number("bounds.connections_per_client", int64(bd.ConnectionsPerClient), 0, connectionsMax)
	if bd.MemoryBytes != 0 {
		ck.number("bounds.memory_bytes", bd.MemoryBytes, memoryBytesMin, headBytesMax)
	}
	ck.number("bounds.processors", int64(bd.Processors), 0, processorsMax)
	if bd.ReceiveBuffer != 0 {
		ck.number("bounds.receive_buffer", int64(bd.ReceiveBuffer), kernelBufferMin, kernelBufferMax)
	}
	if bd.SendBuffer != 0 {
		ck.number("bounds.send_buffer", int64(bd.SendBuffer), kernelBufferMin, kernelBufferMax)
	}
	ck.number("bounds.pipelined", int64(bd.Pipelined), 1, concurrentMax)
	ck.number("bounds.streams", int64(bd.Streams), 1, concurrentMax)
	ck.duration("bounds.header_time", bd.HeaderTime, time.Millisecond, durationMax)
	ck.duration("bounds.first_byte", bd.FirstByte, time.Millisecond, durationMax)
	ck.duration("bounds.idle_time", bd.IdleTime, time.Second, durationMax)
}

func (ck *checker) number(key string, val, lo, hi int64) {
	if val < lo || val > hi {
		ck.add(key, val, fmt.Sprintf("%d to %d", lo, hi))
	}
}

func (ck *checker) duration(key string, val Duration, lo, hi time.Duration) {
	if time.Duration(val) < lo || time.Duration(val) > hi {
		ck.add(key, time.Duration(val), fmt.Sprintf("%s to %s", lo, hi))
	}
}
