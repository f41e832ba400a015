package node

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"testing"
	"time"

	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	"github.com/hickorydock/hickorydock/internal/transport/certtest"
	"github.com/hickorydock/hickorydock/internal/transport/server"
)

// noServices is a catalogue without services.
type noServices struct{}

func (noServices) Find(string) (note.Service, bool) { return note.Service{}, false }

func TestNodeServesTLSAndReloadsIt(t *testing.T) {
	ca := certtest.NewAuthority(t)
	s := settings.Default()
	s.Node.CallerAddress, s.Node.AdminAddress, s.Node.PeerAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.TLS.CallerCert, s.TLS.CallerKey = ca.Issue(t, "first.test", time.Now().Add(time.Hour))
	n, err := New(Config{Settings: s, Logs: io.Discard, Control: fx.Options(
		fx.Provide(func() server.Services { return noServices{} }),
		fx.Provide(func() server.Readiness { return func() error { return nil } }),
	)})
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer n.Stop(context.Background())
	kept, fresh := newCaller(ca), newCaller(ca)
	if name := serverName(t, kept, n.URL()); name != "first.test" {
		t.Errorf("first connection got the certificate of %q", name)
	}
	next := s.TLS
	next.CallerCert, next.CallerKey = ca.Issue(t, "second.test", time.Now().Add(time.Hour))
	if err := n.ReloadTLS(next); err != nil {
		t.Fatal(err)
	}
	if name := serverName(t, kept, n.URL()); name != "first.test" {
		t.Errorf("the kept connection was replaced: certificate of %q", name)
	}
	if name := serverName(t, fresh, n.URL()); name != "second.test" {
		t.Errorf("a new connection got the certificate of %q", name)
	}
}

func newCaller(ca *certtest.Authority) *http.Client {
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM([]byte(ca.PEM))
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
}

// serverName asks a node for its health and returns the name in its certificate.
func serverName(t *testing.T, c *http.Client, url string) string {
	t.Helper()
	response, err := c.Get(url + "/livez")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	return response.TLS.PeerCertificates[0].DNSNames[0]
}
