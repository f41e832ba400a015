package credentials

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

const bearerPrefix = "Bearer "

// TokenHash returns the hash that identifies a caller's token in a release note:
// its SHA-256 as 64 hexadecimal digits. Tokens must be random, since the hash has
// no salt.
func TokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Permitted reports whether an Authorization header holds a token whose hash is
// one of hashes. An empty list permits every caller. Its run time depends only
// on the number of hashes and the token's length.
func Permitted(hashes []string, authorization string) bool {
	if len(hashes) == 0 {
		return true
	}
	token, found := strings.CutPrefix(authorization, bearerPrefix)
	sum := sha256.Sum256([]byte(token))
	match := 0
	for _, text := range hashes {
		hash, err := hex.DecodeString(text)
		if err != nil {
			continue
		}
		match |= subtle.ConstantTimeCompare(hash, sum[:])
	}
	return found && match == 1
}
