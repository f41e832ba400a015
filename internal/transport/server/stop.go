package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Times of callers' connections while the server stops. A caller that sends on a
// kept connection gets a refusal that ends it; closing the connection under the
// request would look like a lost answer. A connection that the system made and
// the server did not accept yet is reset when the listener closes, so the
// listener stays open until callers have stopped opening them.
const (
	// connectionGrace is how long the listener and connections stay open at most.
	connectionGrace = 2 * time.Second
	// connectionQuiet is how long no connection was opened when the listener closes.
	connectionQuiet = 250 * time.Millisecond
	// connectionLook is the time between two looks at the connections.
	connectionLook = 10 * time.Millisecond
)

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
	mu     sync.Mutex
	open   int
	opened time.Time // of the newest one
}

// changed is the server's http.Server.ConnState.
func (c *connections) changed(_ net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open++
		c.opened = time.Now()
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
}

// quiet reports whether no connection is open and none was opened of late.
func (c *connections) quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open == 0 && time.Since(c.opened) >= connectionQuiet
}

// await waits until the connections are quiet, for connectionGrace at most.
func (c *connections) await(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, connectionGrace)
	defer cancel()
	look := time.NewTicker(connectionLook)
	defer look.Stop()
	for !c.quiet() {
		select {
		case <-look.C:
		case <-ctx.Done():
			return
		}
	}
}
