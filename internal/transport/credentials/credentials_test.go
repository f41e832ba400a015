package credentials

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/transport/certtest"
)

const nodeName = "nodes.test"

func nodeSettings(t *testing.T, signer, trusted *certtest.Authority, name string, notAfter time.Time) settings.TLS {
	t.Helper()
	cert, key := signer.Issue(t, name, notAfter)
	return settings.TLS{NodeCert: cert, NodeKey: key, NodeCA: trusted.PEM, NodeName: nodeName}
}

func newCredentials(t *testing.T, s settings.TLS) *Credentials {
	t.Helper()
	c, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// echo sends back what it receives on the connections of l, until l is closed.
func echo(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			io.Copy(conn, conn)
		}()
	}
}

func listen(t *testing.T, wrap func(net.Listener) net.Listener) string {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := wrap(raw)
	t.Cleanup(func() { l.Close() })
	go echo(l)
	return raw.Addr().String()
}

// ping sends a line and reads it back. Only then does a TLS 1.3 client find out
// whether the server accepted its certificate.
func ping(conn net.Conn) error {
	line := []byte("a line that is no TLS record\n")
	if _, err := conn.Write(line); err != nil {
		return err
	}
	reply := make([]byte, len(line))
	if _, err := io.ReadFull(conn, reply); err != nil {
		return err
	}
	if string(reply) != string(line) {
		return fmt.Errorf("got %q back", reply)
	}
	return nil
}

func dialPing(dial DialFunc, address string) error {
	conn, err := dial(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	return ping(conn)
}

func TestNodesAuthenticateEachOther(t *testing.T) {
	trustedCA, otherCA := certtest.NewAuthority(t), certtest.NewAuthority(t)
	valid, expired := time.Now().Add(time.Hour), time.Now().Add(-time.Hour)
	good := nodeSettings(t, trustedCA, trustedCA, nodeName, valid)
	cases := []struct {
		name           string
		server, client settings.TLS
		ok             bool
		want           string // part of the client's error
	}{
		{"both valid", good, good, true, ""},
		{"server of another name", nodeSettings(t, trustedCA, trustedCA, "other.test", valid), good, false, "not nodes.test"},
		{"client of another name", good, nodeSettings(t, trustedCA, trustedCA, "other.test", valid), false, "bad certificate"},
		{"server of another authority", nodeSettings(t, otherCA, trustedCA, nodeName, valid), good, false, "unknown authority"},
		{"client of another authority", good, nodeSettings(t, otherCA, trustedCA, nodeName, valid), false, "unknown certificate authority"},
		{"server expired", nodeSettings(t, trustedCA, trustedCA, nodeName, expired), good, false, "expired"},
		{"client expired", good, nodeSettings(t, trustedCA, trustedCA, nodeName, expired), false, "expired"},
		{"client without TLS", good, settings.TLS{}, false, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := listen(t, newCredentials(t, c.server).NodeListener)
			err := dialPing(newCredentials(t, c.client).Dialer(Nodes, new(net.Dialer).DialContext), address)
			if (err == nil) != c.ok {
				t.Fatalf("got %v, want success %v", err, c.ok)
			}
			if err != nil && !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want an error with %q", err, c.want)
			}
		})
	}
}

func TestSlowHandshakeFails(t *testing.T) {
	ca := certtest.NewAuthority(t)
	c := newCredentials(t, nodeSettings(t, ca, ca, nodeName, time.Now().Add(time.Hour)))
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		defer client.Close()
		l := c.NodeListener(&singleConnListener{conn: server})
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Fatal("a silent peer passed the handshake")
		}
		if elapsed := time.Since(start); elapsed != handshakeTimeout {
			t.Errorf("the handshake ended after %s, want %s", elapsed, handshakeTimeout)
		}
	})
}

// singleConnListener returns the same connection from each Accept.
type singleConnListener struct {
	net.Listener
	conn net.Conn
}

func (l *singleConnListener) Accept() (net.Conn, error) { return l.conn, nil }

func TestMinVersions(t *testing.T) {
	ca := certtest.NewAuthority(t)
	s := nodeSettings(t, ca, ca, nodeName, time.Now().Add(time.Hour))
	s.CallerCert, s.CallerKey = s.NodeCert, s.NodeKey
	c := newCredentials(t, s)
	pair, err := tls.X509KeyPair([]byte(s.NodeCert), []byte(s.NodeKey))
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM([]byte(ca.PEM))
	cases := []struct {
		name    string
		wrap    func(net.Listener) net.Listener
		version uint16
		ok      bool
	}{
		{"node 1.2", c.NodeListener, tls.VersionTLS12, false},
		{"node 1.3", c.NodeListener, tls.VersionTLS13, true},
		{"caller 1.1", c.CallerListener, tls.VersionTLS11, false},
		{"caller 1.2", c.CallerListener, tls.VersionTLS12, true},
		{"caller 1.3", c.CallerListener, tls.VersionTLS13, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			config := &tls.Config{
				RootCAs: pool, ServerName: nodeName, Certificates: []tls.Certificate{pair},
				MinVersion: tls.VersionTLS10, MaxVersion: tc.version,
			}
			conn, err := tls.Dial("tcp", listen(t, tc.wrap), config)
			if err == nil {
				err = ping(conn)
				conn.Close()
			}
			if (err == nil) != tc.ok {
				t.Errorf("got %v, want success %v", err, tc.ok)
			}
		})
	}
}

func TestReloadKeepsOpenConnections(t *testing.T) {
	first, second := certtest.NewAuthority(t), certtest.NewAuthority(t)
	valid := time.Now().Add(time.Hour)
	old := nodeSettings(t, first, first, nodeName, valid)
	next := nodeSettings(t, second, second, nodeName, valid)
	server := newCredentials(t, old)
	address := listen(t, server.NodeListener)
	oldDial := newCredentials(t, old).Dialer(Nodes, new(net.Dialer).DialContext)
	open, err := oldDial(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer open.Close()
	if err := ping(open); err != nil {
		t.Fatal(err)
	}
	if err := server.Reload(next); err != nil {
		t.Fatal(err)
	}
	if err := ping(open); err != nil {
		t.Errorf("the open connection failed: %v", err)
	}
	if err := dialPing(oldDial, address); err == nil {
		t.Error("a node with the old authority was accepted after the reload")
	}
	if err := dialPing(newCredentials(t, next).Dialer(Nodes, new(net.Dialer).DialContext), address); err != nil {
		t.Errorf("a node with the new authority was rejected: %v", err)
	}
}

func TestInvalidReloadKeepsTheOldMaterial(t *testing.T) {
	ca := certtest.NewAuthority(t)
	good := nodeSettings(t, ca, ca, nodeName, time.Now().Add(time.Hour))
	c := newCredentials(t, good)
	bad := good
	bad.NodeKey, bad.NodeCA = "x", "y"
	for _, s := range []settings.TLS{bad, {}} {
		if err := c.Reload(s); err == nil {
			t.Error("an invalid reload was accepted")
		}
	}
	address := listen(t, c.NodeListener)
	if err := dialPing(c.Dialer(Nodes, new(net.Dialer).DialContext), address); err != nil {
		t.Errorf("the old material is no longer in use: %v", err)
	}
}

func TestNewReportsEveryError(t *testing.T) {
	_, err := New(settings.TLS{CallerCert: "x", NodeCA: "y", UpstreamCA: "z"})
	if err == nil {
		t.Fatal("invalid settings were accepted")
	}
	for _, field := range []string{"tls.caller_cert", "tls.node_ca", "tls.upstream_ca"} {
		if !strings.Contains(err.Error(), field) {
			t.Errorf("%v does not name %s", err, field)
		}
	}
}

func TestUpstreamsAndPlatformAreVerified(t *testing.T) {
	ca, other := certtest.NewAuthority(t), certtest.NewAuthority(t)
	cert, key := ca.Issue(t, "leaf.test", time.Now().Add(time.Hour))
	address := listen(t, newCredentials(t, settings.TLS{CallerCert: cert, CallerKey: key}).CallerListener)
	cases := []struct {
		name string
		kind ServerKind
		s    settings.TLS
		ok   bool
	}{
		{"upstream by its address", Upstreams, settings.TLS{UpstreamCA: ca.PEM}, true},
		{"upstream by its name", Upstreams, settings.TLS{UpstreamCA: ca.PEM, UpstreamName: "leaf.test"}, true},
		{"upstream of another name", Upstreams, settings.TLS{UpstreamCA: ca.PEM, UpstreamName: "x.test"}, false},
		{"upstream of another authority", Upstreams, settings.TLS{UpstreamCA: other.PEM}, false},
		{"platform", Platform, settings.TLS{PlatformCA: ca.PEM}, true},
		{"platform of another authority", Platform, settings.TLS{PlatformCA: other.PEM}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := dialPing(newCredentials(t, c.s).Dialer(c.kind, new(net.Dialer).DialContext), address)
			if (err == nil) != c.ok {
				t.Errorf("got %v, want success %v", err, c.ok)
			}
		})
	}
}

func TestPermitted(t *testing.T) {
	hashes := []string{TokenHash("one"), TokenHash("two"), "not hexadecimal"}
	cases := []struct {
		name, header string
		hashes       []string
		want         bool
	}{
		{"first", "Bearer one", hashes, true},
		{"second", "Bearer two", hashes, true},
		{"unknown", "Bearer three", hashes, false},
		{"hash in place of the token", "Bearer " + TokenHash("one"), hashes, false},
		{"no header", "", hashes, false},
		{"no scheme", "one", hashes, false},
		{"other scheme", "Basic one", hashes, false},
		{"empty token", "Bearer ", hashes, false},
		{"no hashes", "", nil, true},
		{"only invalid hashes", "Bearer one", []string{"zz"}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := Permitted(c.hashes, c.header); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
