package settings

import (
	"encoding/pem"
	"net/netip"
	"net/url"
	"reflect"
	"slices"
	"strconv"
)

// logLevels are the values of log.level.
var logLevels = []string{"debug", "info", "warn", "error"}

// checkField validates the value of one field.
func (l *loader) checkField(f field) {
	v := f.value(&l.settings)
	if f.min != "" {
		l.checkBounds(f, v)
	}
	switch f.check {
	case "required":
		if v.String() == "" {
			l.fail(f.Path, "is required")
		}
	case "address":
		l.checkAddress(f.Path, v.String())
	case "optional_address":
		if v.String() != "" {
			l.checkAddress(f.Path, v.String())
		}
	case "addresses":
		for i := range v.Len() {
			l.checkAddress(f.Path, v.Index(i).String())
		}
	case "url":
		l.checkURL(f.Path, v.String())
	case "optional_url":
		if v.String() != "" {
			l.checkURL(f.Path, v.String())
		}
	case "level":
		if !slices.Contains(logLevels, v.String()) {
			l.fail(f.Path, "%q is none of %v", v.String(), logLevels)
		}
	case "pem":
		l.checkPEM(f, v.String())
	}
}

func (l *loader) checkBounds(f field, v reflect.Value) {
	low, _ := strconv.ParseFloat(f.min, 64)
	high, _ := strconv.ParseFloat(f.max, 64)
	number := 0.0
	if v.CanInt() {
		number = float64(v.Int())
	} else {
		number = v.Float()
	}
	if !(number >= low && number <= high) { // also rejects NaN
		l.fail(f.Path, "%v is outside %s", v.Interface(), f.Bounds)
	}
}

func (l *loader) checkAddress(path, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		l.fail(path, "%q is not ip:port", text)
	}
}

func (l *loader) checkURL(path, text string) {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		l.fail(path, "%q is not an http or https URL", text)
	}
}

func (l *loader) checkPEM(f field, text string) {
	if text == "" {
		return
	}
	if block, _ := pem.Decode([]byte(text)); block == nil {
		l.fail(f.Path, "is not PEM")
	}
}

// checkTLS reports TLS settings that are set without the others that they need.
func (l *loader) checkTLS() {
	t := l.settings.TLS
	if (t.CallerCert == "") != (t.CallerKey == "") {
		l.fail("tls.caller_cert", "caller_cert and caller_key go together")
	}
	values := []string{t.NodeCert, t.NodeKey, t.NodeCA, t.NodeName}
	if slices.Contains(values, "") && slices.ContainsFunc(values, func(s string) bool { return s != "" }) {
		l.fail("tls.node_cert", "node_cert, node_key, node_ca and node_name go together")
	}
}
