// Package account holds the client accounts of a configuration and finds the account of a
// key. Keys are kept as digests only. The package does no I/O.
package account

import (
	"crypto/sha256"

	"plumpitch.example/plumpitch/pkg/ratelimit"
)

// Account is a client account.
type Account struct {
	Name string
	// Priority is the rank of the account's requests, 0 first. It replaces the route's
	// priority if HasPriority is set.
	Priority    int
	HasPriority bool
	Limit       ratelimit.Limit
}

// Config is an account with its keys, as the operator writes it.
type Config struct {
	Account
	Keys    []string
	Digests []Digest // of keys that are known by their digest only
}

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// maxStackKey is the length in bytes up to which a key is digested without an allocation.
const maxStackKey = 64

// NewDigest returns the digest of a key.
func NewDigest(key string) Digest {
	var buf [maxStackKey]byte
	return sha256.Sum256(append(buf[:0], key...))
}
