// Package examples embeds the example release notes.
package examples

import _ "embed"

// FirstNote is the first release note of the demo.
//
//go:embed first.toml
var FirstNote []byte
