package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Times for callers' connections while the server stops. A request on a persistent
// connection is rejected with a reply that closes the connection; if the server closed
// the connection during the request, the caller would see a lost reply. A connection
// that the kernel has established and the server has not accepted yet is reset when
// the listener closes, so the listener stays open until callers stop opening
// connections.
const (
	// connectionGrace is the maximum time for which the listener and the connections
	// stay open.
	connectionGrace = 2 * time.Second
	// quietPeriod is the time without new connections after which the listener closes.
	quietPeriod = 250 * time.Millisecond
	// pollInterval is the time between two checks of the connections.
	pollInterval = 10 * time.Millisecond
)

// closingWriter makes replies close their connections when the server is stopping.
type closingWriter struct {
	http.ResponseWriter
	stopping func() bool
}

// WriteHeader sends the header, with Connection: close when the server is stopping.
func (w *closingWriter) WriteHeader(status int) {
	if w.stopping() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController the underlying writer.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// connections counts the open connections of callers. The zero value has none.
type connections struct {
	mu         sync.Mutex
	open       int
	lastOpened time.Time
}

// connState is the callback for http.Server.ConnState.
func (c *connections) connState(_ net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open++
		c.lastOpened = time.Now()
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
}

// isQuiet reports whether no connection is open and none was opened within quietPeriod.
func (c *connections) isQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open == 0 && time.Since(c.lastOpened) >= quietPeriod
}

// waitUntilQuiet waits until no connections are open or opened, for connectionGrace at
// most.
func (c *connections) waitUntilQuiet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, connectionGrace)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !c.isQuiet() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
