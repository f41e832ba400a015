package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connectionGrace is how long a stopping server keeps callers' connections open
// at most. A caller that sends on a kept connection gets a refusal that ends it;
// closing the connection under the request would look like a lost answer.
const connectionGrace = time.Second

// lastAnswer ends the connection with the answer when the server is stopping.
type lastAnswer struct {
	http.ResponseWriter
	stopping func() bool
}

// WriteHeader starts the answer.
func (w *lastAnswer) WriteHeader(status int) {
	if w.stopping() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController the underlying writer.
func (w *lastAnswer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// connections counts the open connections of callers. The zero value has none.
type connections struct {
	mu   sync.Mutex
	open int
	none chan struct{} // closed when open falls to 0; nil when nobody waits
}

// changed is the server's http.Server.ConnState.
func (c *connections) changed(_ net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open++
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
	if c.open == 0 && c.none != nil {
		close(c.none)
		c.none = nil
	}
}

// await waits until no connection is open, for grace at most.
func (c *connections) await(ctx context.Context, grace time.Duration) {
	c.mu.Lock()
	if c.open == 0 {
		c.mu.Unlock()
		return
	}
	none := make(chan struct{})
	c.none = none
	c.mu.Unlock()
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-none:
	case <-timer.C:
	case <-ctx.Done():
	}
}
