// Package credentials turns PEM settings into TLS configurations for callers,
// nodes, upstreams and the platform, and checks callers' bearer tokens.
//
// Nodes authenticate each other: both ends present a certificate that is signed by
// the nodes' CA and valid for the DNS name that all nodes share. New material
// takes effect with the next handshake; open connections are kept.
package credentials

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"sync/atomic"

	"github.com/hickorydock/hickorydock/internal/protocol/fault"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
)

// Minimum TLS versions. Connections between nodes require a newer one, since both
// ends run this program.
const (
	minCallerVersion = tls.VersionTLS12
	minNodeVersion   = tls.VersionTLS13
)

// ServerKind is a kind of server that this process connects to.
type ServerKind int

// Kinds of servers.
const (
	Nodes ServerKind = iota
	Upstreams
	Platform
)

// Credentials holds the current TLS material. It is safe for concurrent use.
type Credentials struct {
	current atomic.Pointer[material]
}

// material is the result of parsing the TLS settings once. A nil configuration
// means no TLS.
type material struct {
	callerServer *tls.Config
	nodeServer   *tls.Config
	clients      [Platform + 1]*tls.Config
}

// New parses the TLS settings.
func New(s settings.TLS) (*Credentials, error) {
	c := &Credentials{}
	return c, c.Reload(s)
}

// Reload replaces the material. On an error the old material remains in use.
// Turning TLS on or off for a listener requires a restart.
func (c *Credentials) Reload(s settings.TLS) error {
	next, err := parse(s)
	if err != nil {
		return err
	}
	if old := c.current.Load(); old != nil && old.changesListenerTLS(next) {
		return fault.New(fault.StepSettings, "", "turning TLS of a listener on or off requires a restart").WithField("tls")
	}
	c.current.Store(next)
	return nil
}

// changesListenerTLS reports whether next turns TLS of a listener on or off.
func (m *material) changesListenerTLS(next *material) bool {
	return (m.callerServer == nil) != (next.callerServer == nil) || (m.nodeServer == nil) != (next.nodeServer == nil)
}

func parse(s settings.TLS) (*material, error) {
	p := parser{}
	m := &material{}
	callerPair := p.keyPair("tls.caller_cert", s.CallerCert, s.CallerKey)
	nodePair := p.keyPair("tls.node_cert", s.NodeCert, s.NodeKey)
	nodeCA := p.certPool("tls.node_ca", s.NodeCA)
	upstreamCA := p.certPool("tls.upstream_ca", s.UpstreamCA)
	platformCA := p.certPool("tls.platform_ca", s.PlatformCA)
	if len(p.errs) > 0 {
		return nil, errors.Join(p.errs...)
	}
	if callerPair != nil {
		m.callerServer = &tls.Config{Certificates: callerPair, MinVersion: minCallerVersion, NextProtos: []string{"http/1.1"}}
	}
	if nodePair != nil && nodeCA != nil {
		m.nodeServer = nodeServerConfig(nodePair, nodeCA, s.NodeName)
		m.clients[Nodes] = &tls.Config{Certificates: nodePair, RootCAs: nodeCA, ServerName: s.NodeName, MinVersion: minNodeVersion}
	}
	if upstreamCA != nil {
		m.clients[Upstreams] = &tls.Config{Certificates: nodePair, RootCAs: upstreamCA, ServerName: s.UpstreamName, MinVersion: minCallerVersion}
	}
	if platformCA != nil {
		m.clients[Platform] = &tls.Config{Certificates: nodePair, RootCAs: platformCA, MinVersion: minCallerVersion}
	}
	return m, nil
}

func nodeServerConfig(pair []tls.Certificate, clientCAs *x509.CertPool, name string) *tls.Config {
	return &tls.Config{
		Certificates: pair,
		ClientCAs:    clientCAs,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   minNodeVersion,
		VerifyConnection: func(state tls.ConnectionState) error {
			return state.PeerCertificates[0].VerifyHostname(name)
		},
	}
}

// parser collects the errors of all PEM fields.
type parser struct {
	errs []error
}

func (p *parser) keyPair(field, cert, key string) []tls.Certificate {
	if cert == "" {
		return nil
	}
	pair, err := tls.X509KeyPair([]byte(cert), []byte(key))
	if err != nil {
		p.errs = append(p.errs, fault.Wrap(err, fault.StepSettings, "", "%s", field).WithField(field))
		return nil
	}
	return []tls.Certificate{pair}
}

func (p *parser) certPool(field, text string) *x509.CertPool {
	if text == "" {
		return nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(text)) {
		p.errs = append(p.errs, fault.New(fault.StepSettings, "", "%s: no certificate found", field).WithField(field))
		return nil
	}
	return pool
}

// CallerListener adds TLS to the listener for callers if it is configured. The
// HTTP server bounds the time of the handshake.
func (c *Credentials) CallerListener(l net.Listener) net.Listener {
	if c.current.Load().callerServer == nil {
		return l
	}
	return tls.NewListener(l, c.serverConfig(func(m *material) *tls.Config { return m.callerServer }))
}

// NodeListener adds mutual TLS to the listener for nodes if it is configured. A
// handshake that takes longer than handshakeTimeout fails.
func (c *Credentials) NodeListener(l net.Listener) net.Listener {
	if c.current.Load().nodeServer == nil {
		return l
	}
	return &nodeListener{l, c.serverConfig(func(m *material) *tls.Config { return m.nodeServer })}
}

// serverConfig returns a configuration that selects from the current material at
// each handshake.
func (c *Credentials) serverConfig(selectConfig func(*material) *tls.Config) *tls.Config {
	return &tls.Config{
		MinVersion: minCallerVersion,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return selectConfig(c.current.Load()), nil
		},
	}
}

// Enabled reports whether connections to a kind of server use TLS.
func (c *Credentials) Enabled(kind ServerKind) bool { return c.current.Load().clients[kind] != nil }

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer adds a TLS handshake to dial if connections to that kind of server use
// TLS. If the settings give no server name, the certificate must be valid for the
// host of the address.
func (c *Credentials) Dialer(kind ServerKind, dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		config := c.current.Load().clients[kind]
		if config == nil {
			return raw, nil
		}
		conn := tls.Client(raw, withServerName(config, address))
		if err := conn.HandshakeContext(ctx); err != nil {
			raw.Close()
			return nil, fault.Wrap(err, fault.StepConnect, address, "TLS handshake")
		}
		return conn, nil
	}
}

// withServerName returns config with the host of address as the server name, unless
// the settings give one.
func withServerName(config *tls.Config, address string) *tls.Config {
	if config.ServerName != "" {
		return config
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	named := config.Clone()
	named.ServerName = host
	return named
}
