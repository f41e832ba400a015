// Package credentials turns PEM settings into TLS configurations for callers,
// nodes, upstreams and the platform, and checks callers' bearer tokens.
//
// Nodes authenticate each other: both sides show a certificate that the nodes'
// authority signed and that holds the nodes' common name. New material takes
// effect with the next handshake; open connections are kept.
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

// Lowest TLS versions. Between nodes both ends are this program.
const (
	minCallerVersion = tls.VersionTLS12
	minNodeVersion   = tls.VersionTLS13
)

// ServerKind is a kind of server that this process connects to.
type ServerKind int

// Sides of a connection.
const (
	Nodes ServerKind = iota
	Upstreams
	Platform
)

// Credentials holds the TLS material in force. It is safe for concurrent use.
type Credentials struct {
	current atomic.Pointer[material]
}

// material is one parsed generation. A nil configuration means no TLS.
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

// Reload puts new material in force. On a fault the old one stays. Turning TLS
// on or off for a listener needs a restart.
func (c *Credentials) Reload(s settings.TLS) error {
	next, err := parse(s)
	if err != nil {
		return err
	}
	if old := c.current.Load(); old != nil && old.listensDifferently(next) {
		return fault.New(fault.StepSettings, "", "TLS of a listener is turned on or off by a restart only").WithField("tls")
	}
	c.current.Store(next)
	return nil
}

func (m *material) listensDifferently(next *material) bool {
	return (m.callerServer == nil) != (next.callerServer == nil) || (m.nodeServer == nil) != (next.nodeServer == nil)
}

func parse(s settings.TLS) (*material, error) {
	p := parser{}
	m := &material{}
	callerPair := p.pair("tls.caller_cert", s.CallerCert, s.CallerKey)
	nodePair := p.pair("tls.node_cert", s.NodeCert, s.NodeKey)
	nodeCA := p.pool("tls.node_ca", s.NodeCA)
	upstreamCA := p.pool("tls.upstream_ca", s.UpstreamCA)
	platformCA := p.pool("tls.platform_ca", s.PlatformCA)
	if len(p.faults) > 0 {
		return nil, errors.Join(p.faults...)
	}
	if callerPair != nil {
		m.callerServer = &tls.Config{Certificates: callerPair, MinVersion: minCallerVersion, NextProtos: []string{"http/1.1"}}
	}
	if nodePair != nil && nodeCA != nil {
		m.nodeServer = nodeServer(nodePair, nodeCA, s.NodeName)
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

func nodeServer(pair []tls.Certificate, authorities *x509.CertPool, name string) *tls.Config {
	return &tls.Config{
		Certificates: pair,
		ClientCAs:    authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   minNodeVersion,
		VerifyConnection: func(state tls.ConnectionState) error {
			return state.PeerCertificates[0].VerifyHostname(name)
		},
	}
}

// parser collects the faults of all PEM fields.
type parser struct {
	faults []error
}

func (p *parser) pair(field, cert, key string) []tls.Certificate {
	if cert == "" {
		return nil
	}
	pair, err := tls.X509KeyPair([]byte(cert), []byte(key))
	if err != nil {
		p.faults = append(p.faults, fault.Wrap(err, fault.StepSettings, "", "%s", field).WithField(field))
		return nil
	}
	return []tls.Certificate{pair}
}

func (p *parser) pool(field, text string) *x509.CertPool {
	if text == "" {
		return nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(text)) {
		p.faults = append(p.faults, fault.New(fault.StepSettings, "", "%s: no certificate found", field).WithField(field))
		return nil
	}
	return pool
}

// CallerListener adds TLS to the listener for callers when it is set. The HTTP
// server bounds the time of the handshake.
func (c *Credentials) CallerListener(l net.Listener) net.Listener {
	if c.current.Load().callerServer == nil {
		return l
	}
	return tls.NewListener(l, c.serverConfig(func(m *material) *tls.Config { return m.callerServer }))
}

// NodeListener adds mutual TLS to the listener for nodes when it is set. A
// handshake that takes longer than handshakeTimeout fails.
func (c *Credentials) NodeListener(l net.Listener) net.Listener {
	if c.current.Load().nodeServer == nil {
		return l
	}
	return &nodeListener{l, c.serverConfig(func(m *material) *tls.Config { return m.nodeServer })}
}

// serverConfig takes the configuration in force at each handshake.
func (c *Credentials) serverConfig(pick func(*material) *tls.Config) *tls.Config {
	return &tls.Config{
		MinVersion: minCallerVersion,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return pick(c.current.Load()), nil
		},
	}
}

// Enabled reports whether connections to a side use TLS.
func (c *Credentials) Enabled(side ServerKind) bool { return c.current.Load().clients[side] != nil }

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer adds a TLS handshake to dial when the side uses TLS. Where the
// settings give no name, the certificate must hold the host of the address.
func (c *Credentials) Dialer(side ServerKind, dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		config := c.current.Load().clients[side]
		if config == nil {
			return raw, nil
		}
		conn := tls.Client(raw, withName(config, address))
		if err := conn.HandshakeContext(ctx); err != nil {
			raw.Close()
			return nil, fault.Wrap(err, fault.StepConnect, address, "TLS handshake")
		}
		return conn, nil
	}
}

func withName(config *tls.Config, address string) *tls.Config {
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
