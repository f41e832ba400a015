// Package httpstatus says which statuses HTTP allows in the reply of an upstream.
package httpstatus

import "net/http"

// firstInvalidStatus is the first status above those of HTTP.
const firstInvalidStatus = 600

// IsInterim reports whether a status announces that another reply to the same request follows.
// After a switch of protocols, which no request asks for, none does.
func IsInterim(status int) bool {
	return status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
}

// IsFinal reports whether a status may be that of the reply to a request.
func IsFinal(status int) bool { return status >= 200 && status < firstInvalidStatus }
