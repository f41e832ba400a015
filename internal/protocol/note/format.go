package note

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/pelletier/go-toml/v2"
)

// Digest returns a hash of n's content, after defaults.
func (n Note) Digest() (string, error) {
	text, err := json.Marshal(n)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:]), nil
}

// Format writes n as TOML that Parse reads back to the same note.
func (n Note) Format() ([]byte, error) {
	var text bytes.Buffer
	err := toml.NewEncoder(&text).Encode(n)
	return text.Bytes(), err
}

// ServiceNames returns the services of n's entries, in the order of the note.
func (n Note) ServiceNames() []string {
	names := make([]string, 0, len(n.Added)+len(n.Changed)+len(n.Withdrawn))
	for _, s := range n.Added {
		names = append(names, s.Name)
	}
	for _, s := range n.Changed {
		names = append(names, s.Name)
	}
	for _, w := range n.Withdrawn {
		names = append(names, w.Name)
	}
	return names
}
