package credentials

import (
	"net/http"
	"time"

	"go.uber.org/fx"

	"github.com/hickorydock/hickorydock/internal/protocol/settings"
)

// Module provides the credentials that the settings configure.
var Module = fx.Module("credentials", fx.Provide(provide))

func provide(s settings.Settings) (*Credentials, error) { return New(s.TLS) }

// Bounds of idle connections to the platform.
const (
	platformIdleConns   = 16
	platformIdleTimeout = time.Minute
)

// PlatformTransport returns a transport for https URLs of the platform. If the
// settings name no CA, it trusts those of the operating system.
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
