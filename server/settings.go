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

// tcpNetwork returns real sockets, with mutual TLS when the settings name its files.
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
		return nil, TagTLS.Errorf("tls.authority: %s holds no certificate in PEM", st.Authority)
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

// seeds returns all addresses that the settings name for joining.
func seeds(st loader.Settings) []netip.AddrPort {
	out := append([]netip.AddrPort(nil), st.Peers.Seeds...)
	for _, fd := range st.Control.Founders {
		out = append(out, fd.Peer)
	}
	return out
}

// founders returns the peer ports of those that found the table's log: the ones named, the seeds, or this instance alone.
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

// source returns this process as the table's spreading knows it.
func (sv *Server) source() registrar.Source {
	st := sv.settings
	return registrar.Source{
		Instance: st.Instance, Domain: st.FailureDomain, Boot: uint64(sv.boot),
		Peer: st.Listen.Peers, Control: st.Has(loader.RoleControl),
	}
}
