// Package logging writes log events as single lines of key=value pairs and
// limits how often the same event is repeated. The handler is safe for
// concurrent use.
package logging

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode"

	"github.com/apex/log"
)

// Default limits on repeats of one event, which is identified by its level and
// message.
const (
	// RepeatBurst is the number of repeats written within RepeatInterval.
	RepeatBurst = 10
	// RepeatInterval is the time after which an event may be written again.
	RepeatInterval = 10 * time.Second
	// maxEvents bounds the number of events whose repeats are counted at once.
	maxEvents = 1024
)

// timeLayout is RFC 3339 with milliseconds.
const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// RateLimit bounds how often an event is repeated.
type RateLimit struct {
	// Burst is the number of repeats written within Interval.
	Burst    int
	Interval time.Duration
}

// New returns a logger that writes events of a level and above to w.
func New(w io.Writer, level log.Level) log.Interface {
	return NewLimited(w, level, RateLimit{RepeatBurst, RepeatInterval})
}

// NewLimited returns a logger with its own limit on repeats.
func NewLimited(w io.Writer, level log.Level, limit RateLimit) log.Interface {
	handler := NewHandler(w)
	handler.limit = limit
	return &log.Logger{Handler: handler, Level: level}
}

// Handler writes one line for each event: time, level and msg first, then the
// fields sorted by key.
type Handler struct {
	mu     sync.Mutex
	w      io.Writer
	events map[event]*window
	limit  RateLimit
}

type event struct {
	level   log.Level
	message string
}

// window counts the repeats of an event since start.
type window struct {
	start      time.Time
	written    int
	suppressed int
}

// NewHandler returns a handler that writes to w. Writes are serialised.
func NewHandler(w io.Writer) *Handler {
	return &Handler{w: w, events: make(map[event]*window), limit: RateLimit{RepeatBurst, RepeatInterval}}
}

// HandleLog writes one event. The first line after suppressed repeats carries
// their number in the field suppressed.
func (h *Handler) HandleLog(e *log.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	suppressed, write := h.admit(event{e.Level, e.Message}, e.Timestamp)
	if !write {
		return nil
	}
	_, err := io.WriteString(h.w, format(e, suppressed))
	return err
}

// admit decides whether an event is written now. The caller holds mu.
func (h *Handler) admit(key event, now time.Time) (suppressed int, write bool) {
	win := h.events[key]
	if win == nil {
		h.evict(now)
		win = &window{start: now}
		h.events[key] = win
	}
	if now.Sub(win.start) >= h.limit.Interval {
		suppressed = win.suppressed
		*win = window{start: now}
	}
	if win.written >= h.limit.Burst {
		win.suppressed++
		return 0, false
	}
	win.written++
	return suppressed, true
}

// evict removes events whose window has ended without suppressed repeats. If the
// table is still full, it removes all events, so that memory stays bounded.
func (h *Handler) evict(now time.Time) {
	if len(h.events) < maxEvents {
		return
	}
	for key, win := range h.events {
		if now.Sub(win.start) >= h.limit.Interval && win.suppressed == 0 {
			delete(h.events, key)
		}
	}
	if len(h.events) >= maxEvents {
		clear(h.events)
	}
}

func format(e *log.Entry, suppressed int) string {
	var line strings.Builder
	line.WriteString("time=")
	line.WriteString(e.Timestamp.UTC().Format(timeLayout))
	line.WriteString(" level=")
	line.WriteString(e.Level.String())
	line.WriteString(" msg=")
	line.WriteString(quote(e.Message))
	for _, key := range e.Fields.Names() {
		line.WriteByte(' ')
		line.WriteString(sanitiseKey(key))
		line.WriteByte('=')
		line.WriteString(quote(fmt.Sprint(e.Fields.Get(key))))
	}
	if suppressed > 0 {
		line.WriteString(" suppressed=")
		line.WriteString(strconv.Itoa(suppressed))
	}
	line.WriteByte('\n')
	return line.String()
}

// reservedKeys are the keys that the handler itself writes.
var reservedKeys = []string{"time", "level", "msg", "suppressed"}

// sanitiseKey replaces characters that would break a key=value line, and prefixes
// keys that the handler itself writes.
func sanitiseKey(key string) string {
	sanitised := strings.Map(func(r rune) rune {
		if r == '=' || r == '"' || unicode.IsSpace(r) || !unicode.IsPrint(r) {
			return '_'
		}
		return r
	}, key)
	if sanitised == "" || slices.Contains(reservedKeys, sanitised) {
		return "field_" + sanitised
	}
	return sanitised
}

// maxValueBytes bounds the text of a value, which may come from a client.
const maxValueBytes = 384

// shorten cuts a long text and states how long it was.
func shorten(text string) string {
	if len(text) <= maxValueBytes {
		return text
	}
	return text[:maxValueBytes] + "... (" + strconv.Itoa(len(text)) + " bytes)"
}

// quote returns text unchanged if it needs no quotes in a key=value line, else
// as a quoted string.
func quote(text string) string {
	text = shorten(text)
	plain := text != "" && !strings.ContainsFunc(text, func(r rune) bool {
		return r == '=' || r == '"' || r == '\\' || r == unicode.ReplacementChar || unicode.IsSpace(r) || !unicode.IsPrint(r)
	})
	if plain {
		return text
	}
	return strconv.Quote(text)
}
