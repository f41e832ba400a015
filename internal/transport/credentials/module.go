package credentials

import (
	"net/http"
	"time"

	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/protocol/settings"
)

// Module provides the credentials of the settings.
var Module = fx.Module("credentials", fx.Provide(provide))

func provide(s settings.Settings) (*Credentials, error) { return New(s.TLS) }

// Connections to the platform that are kept while idle.
const (
	platformIdleConns   = 16
	platformIdleTimeout = time.Minute
)

// PlatformTransport returns a transport for https URLs of the platform. Without
// an authority in the settings those of the operating system are trusted.
func (c *Credentials) PlatformTransport(dial DialFunc) *http.Transport {
	transport := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: platformIdleConns,
		IdleConnTimeout:     platformIdleTimeout,
	}
	if c.Enabled(Platform) {
		transport.DialTLSContext = c.Dialer(Platform, dial)
	}
	return transport
}
