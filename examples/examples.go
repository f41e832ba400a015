// Package examples embeds the example release notes.
package examples

import _ "embed"

// First is the first release note of the demo.
//
//go:embed first.toml
var First []byte
