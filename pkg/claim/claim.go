// Package claim makes a keyed request run at most once. A Table is the state of
// one replica: it accepts one claim for a key. An Attempt is the coordinator of
// one request: it runs only once a majority of the key's replicas has accepted
// its claim. The package does no I/O and reads no clock.
package claim

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/ring"
)

// Field is one line of an HTTP header.
type Field struct {
	Name  string
	Value string
}

// Answer is what a run gave, kept for replay.
type Answer struct {
	Outcome call.Outcome // Ran or Unknown
	Status  int
	Header  []Field
	Body    []byte
	Whole   bool // false when the answer was too long to keep
}

// Claim is the request of one attempt to be the only one that runs a key.
type Claim struct {
	Service string
	Key     string
	Print   uint64 // fingerprint of the request
	ID      string // see ID
	By      ring.Ident
}

// printDigits is the length of the fingerprint that begins an ID.
const printDigits = 16

// ID names the n-th attempt of an incarnation. It holds the fingerprint of the
// request and the incarnation: a replica which hears of the outcome before the
// claim still refuses to replay it to another request under the same key, and
// needs no more memory than the ID for the three.
func ID(mark uint64, by ring.Ident, n uint64) string {
	return fmt.Sprintf("%016x%s#%x.%x", mark, by.Name, by.Boot, n)
}

// parseID gives what ID was made of, and zeros where it wasn't made by ID.
func parseID(id string) (mark uint64, by ring.Ident) {
	if len(id) < printDigits {
		return 0, ring.Ident{}
	}
	mark, err := strconv.ParseUint(id[:printDigits], 16, 64)
	rest := id[printDigits:]
	hash, dot := strings.LastIndexByte(rest, '#'), strings.LastIndexByte(rest, '.')
	if err != nil || hash < 0 || dot < hash {
		return 0, ring.Ident{}
	}
	boot, err := strconv.ParseUint(rest[hash+1:dot], 16, 64)
	if err != nil {
		return 0, ring.Ident{}
	}
	return mark, ring.Ident{Name: rest[:hash], Boot: boot}
}

// Ask asks the incarnation To to accept a claim under a ring revision.
type Ask struct {
	Claim
	To   ring.Ident
	Ring uint64
}

// Verdict is a replica's decision on a claim.
type Verdict uint8

// The verdicts.
const (
	Accepted         Verdict = iota + 1
	Held                     // another claim has the key and may be running it
	Settled                  // the key has run
	WrongRing                // the replica has another ring revision in force
	WrongIncarnation         // the replica is another incarnation than the one asked
	Full                     // the replica can't remember more keys
	OtherPrint               // the key was used for another request
)

// Reply is a replica's answer to an Ask.
type Reply struct {
	Verdict Verdict
	Ring    uint64     // revision that the replica has in force
	ID      string     // claim that has the key
	By      ring.Ident // who made that claim
	Answer  *Answer    // with Settled
}

// Settlement withdraws a claim or records its outcome.
type Settlement struct {
	To       ring.Ident
	Service  string
	Key      string
	ID       string
	Withdraw bool
	Answer   *Answer // nil with Withdraw
}

// Record is what a replica knows of one claim.
type Record struct {
	Claim
	Age    time.Duration // since the claim
	Answer *Answer       // nil while it may run
}
