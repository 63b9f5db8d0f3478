package call

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint returns a hash that identifies a request: requests with equal
// fingerprints are treated as the same request. body is the hash of the part of the
// body that is known before the first dispatch.
func Fingerprint(service, method, path, query string, body uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{service, method, path, query} {
		writeUint64(&d, uint64(len(s)))
		d.WriteString(s)
	}
	writeUint64(&d, body)
	return d.Sum64()
}

// writeUint64 adds n to the hash.
func writeUint64(d *xxhash.Digest, n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	d.Write(b[:])
}

// BodyHash returns the hash of a body for Fingerprint. It is the same however the body is divided
// into parts.
func BodyHash(parts ...[]byte) uint64 {
	var hash xxhash.Digest
	hash.Reset()
	for _, p := range parts {
		_, _ = hash.Write(p)
	}
	return hash.Sum64()
}
