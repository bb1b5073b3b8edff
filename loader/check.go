package loader

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"
)

// ValueError tells which setting has a value that is not allowed.
type ValueError struct {
	File    string
	Key     string
	Value   string
	Allowed string
}

// Error names file, key, value and what is allowed.
func (ve *ValueError) Error() string {
	return fmt.Sprintf("%s: %s = %q: allowed is %s", ve.File, ve.Key, ve.Value, ve.Allowed)
}

// Bounds of single settings.
const (
	headerBytesMin = 4 << 10
	headerBytesMax = 1 << 20
	bodyBytesMax   = 1 << 30
	connectionsMax = 100_000
	timeMax        = time.Hour
)

const nameAllowed = "1 to 63 letters, digits, '-', '_' or '.', beginning with a letter or digit"

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$`)

// checker collects the faults of one settings file.
type checker struct {
	file   string
	faults []error
}

// Check returns all faults joined, or nil; name stands for the file.
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
	ck.rates(st)
	ck.span("stop.killed_after", st.Stop.KilledAfter, 0, timeMax)
	ck.span("stop.grace", st.Stop.Grace, 0, timeMax)
	ck.span("stop.longest", st.Stop.Longest, 0, timeMax)
	return errors.Join(ck.faults...)
}

func (ck *checker) fault(key string, value any, allowed string) {
	ck.faults = append(ck.faults, &ValueError{File: ck.file, Key: key, Value: fmt.Sprint(value), Allowed: allowed})
}

func (ck *checker) name(key, value string) {
	if !namePattern.MatchString(value) {
		ck.fault(key, value, nameAllowed)
	}
}

func (ck *checker) roles(rls []Role) {
	if len(rls) == 0 {
		ck.fault("roles", rls, `one or both of "node" and "control"`)
	}
	for _, rl := range rls {
		if rl != RoleNode && rl != RoleControl {
			ck.fault("roles", rl, `one or both of "node" and "control"`)
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
			ck.fault("listen.upstream", up, "a loopback address, as the upstream's side carries no TLS")
		}
	}
	for _, ap := range st.Peers.Seeds {
		ck.address("peers.seeds", ap)
	}
}

func (ck *checker) address(key string, ap netip.AddrPort) {
	if !ap.IsValid() || ap.Port() == 0 || ap.Addr().IsUnspecified() {
		ck.fault(key, ap, "an IP number and port such as \"127.0.0.1:7402\", neither unspecified nor port 0")
	}
}

func (ck *checker) control(st Settings) {
	if lb := st.Control.LossesBorne; lb < 0 || lb > lossesBorneMax {
		ck.fault("control.losses_borne", lb, fmt.Sprintf("0 to %d", lossesBorneMax))
	}
	if st.Has(RoleControl) && st.DataFolder == "" {
		ck.fault("data_folder", "", "a folder, since the control role keeps files")
	}
	seen := map[string]bool{}
	for _, fd := range st.Control.Founders {
		ck.name("control.founders.instance", string(fd.Instance))
		ck.address("control.founders.peer", fd.Peer)
		if seen[string(fd.Instance)] {
			ck.fault("control.founders.instance", fd.Instance, "each instance once")
		}
		seen[string(fd.Instance)] = true
	}
}

func (ck *checker) tls(st Settings) {
	files := []string{st.TLS.Authority, st.TLS.Certificate, st.TLS.Key}
	empty := slices.Index(files, "") >= 0
	if st.TLS.PlainNetwork && !empty {
		ck.fault("tls.plain_network", true, "false where certificates are named")
	}
	if empty && !slices.Equal(files, []string{"", "", ""}) {
		ck.fault("tls", files, "authority, certificate and key together, or none of them")
	}
	for key, ap := range map[string]netip.AddrPort{"listen.peers": st.Listen.Peers, "listen.operator": st.Listen.Operator} {
		if ap.IsValid() && !ap.Addr().IsLoopback() && empty && !st.TLS.PlainNetwork {
			ck.fault(key, ap, "a loopback address unless [tls] names authority, certificate and key, or says plain_network")
		}
	}
}

func (ck *checker) rates(st Settings) {
	if kp := st.Rates.Keepers; kp != KeepersElected && kp != KeepersChosen {
		ck.fault("rates.keepers", kp, `"elected" or "chosen"`)
	}
	if st.Claims.Off && st.Rates.Keepers != KeepersChosen {
		ck.fault("claims.off", true, `false unless rates.keepers is "chosen", as elected ones keep the claims too`)
	}
}

func (ck *checker) upstream(us Upstream) {
	ck.span("upstream.lapse", us.Lapse, time.Second, timeMax)
	ck.span("upstream.idle_time", us.IdleTime, 100*time.Millisecond, timeMax)
	if us.UnframedAnswers != UnframedRefuse && us.UnframedAnswers != UnframedTake {
		ck.fault("upstream.unframed_answers", us.UnframedAnswers, `"refuse" or "take"`)
	}
}

func (ck *checker) bounds(bd Bounds) {
	if bd.HeaderBytes < headerBytesMin || bd.HeaderBytes > headerBytesMax {
		ck.fault("bounds.header_bytes", bd.HeaderBytes, fmt.Sprintf("%d to %d bytes", headerBytesMin, headerBytesMax))
	}
	if bd.BodyBytes < 0 || bd.BodyBytes > bodyBytesMax {
		ck.fault("bounds.body_bytes", bd.BodyBytes, fmt.Sprintf("0 to %d bytes", bodyBytesMax))
	}
	if bd.Connections < 1 || bd.Connections > connectionsMax {
		ck.fault("bounds.connections", bd.Connections, fmt.Sprintf("1 to %d", connectionsMax))
	}
	ck.span("bounds.header_time", bd.HeaderTime, time.Millisecond, timeMax)
	ck.span("bounds.first_byte", bd.FirstByte, time.Millisecond, timeMax)
	ck.span("bounds.idle_time", bd.IdleTime, time.Second, timeMax)
}

func (ck *checker) span(key string, val Duration, lo, hi time.Duration) {
	if time.Duration(val) < lo || time.Duration(val) > hi {
		ck.fault(key, time.Duration(val), fmt.Sprintf("%s to %s", lo, hi))
	}
}
