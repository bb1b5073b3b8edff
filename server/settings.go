package server

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"

	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
	"github.com/gypsumhoist/gypsumhoist/loader"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// tcpNetwork returns the TCP network, with mutual TLS when the settings name certificate files.
func tcpNetwork(st loader.TLS) (*connector.TCP, error) {
	if st.Certificate == "" {
		return &connector.TCP{}, nil
	}
	cert, err := tls.LoadX509KeyPair(st.Certificate, st.Key)
	if err != nil {
		return nil, TagTLS.Errorf("tls.certificate, tls.key: %w", err)
	}
	data, err := os.ReadFile(st.Authority)
	if err != nil {
		return nil, TagTLS.Errorf("tls.authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, TagTLS.Errorf("tls.authority: %s contains no PEM certificate", st.Authority)
	}
	return &connector.TCP{
		Client: &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool, MinVersion: tls.VersionTLS13},
		Server: &tls.Config{
			Certificates: []tls.Certificate{cert}, ClientCAs: pool,
			ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
		},
	}, nil
}

func roles(st loader.Settings) gossiper.Roles {
	var rl gossiper.Roles
	if st.Has(loader.RoleNode) {
		rl |= gossiper.RoleNode
	}
	if st.Has(loader.RoleControl) {
		rl |= gossiper.RoleControl
	}
	return rl
}

// seeds returns the peer addresses to join the fleet through: the seeds and founders of the settings.
func seeds(st loader.Settings) []netip.AddrPort {
	out := append([]netip.AddrPort(nil), st.Peers.Seeds...)
	for _, fd := range st.Control.Founders {
		out = append(out, fd.Peer)
	}
	return out
}

// founders returns the peer addresses of the instances that found the table's log: the founders of the settings,
// else the seeds if peers.seeds found the log, else this instance alone.
func founders(st loader.Settings) []netip.AddrPort {
	var out []netip.AddrPort
	for _, fd := range st.Control.Founders {
		out = append(out, fd.Peer)
	}
	if len(out) == 0 && st.Control.SeedsFound {
		out = append(out, st.Peers.Seeds...)
	}
	if len(out) == 0 {
		out = append(out, st.Listen.Peers)
	}
	return out
}

// source returns this process as a source of the table.
func (sv *Server) source() registrar.Source {
	st := sv.settings
	return registrar.Source{
		Instance: st.Instance, Domain: st.FailureDomain, Boot: uint64(sv.boot),
		Peer: st.Listen.Peers, Control: st.Has(loader.RoleControl), ControlOnly: !st.Has(loader.RoleNode),
	}
}
