package node

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
	standin "github.com/hickorydock/hickorydock/internal/standin/platform"
	"github.com/hickorydock/hickorydock/internal/transport/certtest"
	"github.com/hickorydock/hickorydock/internal/transport/credentials"
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
	connectedClient, newClient := newCaller(ca), newCaller(ca)
	if name := serverName(t, connectedClient, n.URL()); name != "first.test" {
		t.Errorf("first connection got the certificate of %q", name)
	}
	next := s.TLS
	next.CallerCert, next.CallerKey = ca.Issue(t, "second.test", time.Now().Add(time.Hour))
	if err := n.ReloadTLS(next); err != nil {
		t.Fatal(err)
	}
	if name := serverName(t, connectedClient, n.URL()); name != "first.test" {
		t.Errorf("the open connection was replaced: certificate of %q", name)
	}
	if name := serverName(t, newClient, n.URL()); name != "second.test" {
		t.Errorf("a new connection got the certificate of %q", name)
	}
}

func TestPlatformOverTLS(t *testing.T) {
	ours, theirs := certtest.NewAuthority(t), certtest.NewAuthority(t)
	cert, key := ours.Issue(t, "platform.test", time.Now().Add(time.Hour))
	pair, err := tls.X509KeyPair([]byte(cert), []byte(key))
	if err != nil {
		t.Fatal(err)
	}
	p := httptest.NewUnstartedServer(standin.New(standin.Options{}))
	p.TLS = &tls.Config{Certificates: []tls.Certificate{pair}}
	p.StartTLS()
	defer p.Close()
	for _, c := range []struct {
		name, authority string
		want            error
	}{
		{"its authority", ours.PEM, platform.ErrNotFound},
		{"another authority", theirs.PEM, platform.ErrUnavailable},
	} {
		s := settings.Default()
		s.Platform.URL, s.TLS.PlatformCA = p.URL, c.authority
		credentials, err := credentials.New(s.TLS)
		if err != nil {
			t.Fatal(err)
		}
		_, err = NewPlatformClient(s, credentials).Get(t.Context(), platform.KindCatalogue, "x")
		if !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
	}
}

func newCaller(ca *certtest.Authority) *http.Client {
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM([]byte(ca.PEM))
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
}

// serverName requests the health of a node and returns the name in its certificate.
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
