package call

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Print returns the fingerprint of a request: two requests with the same one
// are taken for the same. body is the hash of the body, as far as it is known
// before the first dispatch.
func Print(service, method, path, query string, body uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{service, method, path, query} {
		number(&d, uint64(len(s)))
		d.WriteString(s)
	}
	number(&d, body)
	return d.Sum64()
}

func number(d *xxhash.Digest, n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	d.Write(b[:])
}

// BodyHash returns the hash of a body for Print.
func BodyHash(body []byte) uint64 {
	return xxhash.Sum64(body)
}
