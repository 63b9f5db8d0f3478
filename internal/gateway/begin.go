package gateway

import (
	"math"
	"time"

	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/roster"
)

// Timing of the first reads after a start. An entry without data asks the store only if the
// other entries can't provide the data: all VMs start together, and on a quiet day two
// calls by each entry were a sixth of all calls.
const (
	// enrollTimeout is how long an entry waits for its enrolment, two calls of 4 ms.
	// A failed enrolment is retried only after a longer time.
	enrollTime = 150 * time.Millisecond
	// seedReadDelay is how long an entry in contact with others waits for the data that
	// the seeds read, and seedReadRankDelay is the additional wait per rank.
	seedsReadTime = time.Second
	beginRank     = 300 * time.Millisecond
	// minStartStep is the least delay between the reads of two entries. A read, an
	// exchange and a pull take less.
	beginStep = 20 * time.Millisecond
	// minStartDelay is the least delay of an entry that doesn't read at once: on a busy
	// machine the first readers' announcement comes later than this entry's own
	// enrolment suggests. In 27 of 72 starts of eight entries beside other work, there
	// were more calls than two by each entry plus eight.
	beginWait = 200 * time.Millisecond
	// startDelayFactor is that delay as a multiple of the enrolment's duration. The reads
	// of the first entries, their announcement and a pull take a similar number of calls.
	beginTimes = 6
	// maxStartStep bounds the delay between two entries if the enrolment took long.
	beginStepMax = 100 * time.Millisecond
	// minFirstReaders and maxFirstReaders bound the number of entries that read at once,
	// which is one in entriesPerReader of the live ones. All others would pull from a
	// single reader, which takes 40 ms on a third of a core among 14 entries.
	fewestReaders = 2
	mostReaders   = 8
	readersOf     = 4
	// maxStartSteps bounds the delay, as the entries waited for may have died since.
	beginSteps = 10
	// startWindow is the time within which entries count as started together; VMs start
	// together within 0.5 s. With 5 s, all waited 0.35 s for entries that had been killed
	// 3 s earlier and still had a record. An entry whose clock is off is not waited for,
	// which costs two calls.
	startSpan = time.Second
)

// firstReadDue reports whether an entry without data reads now. The first entries to enrol
// read at once and announce the data; the others wait in the order of their enrolment. In a
// fixed order of names the first entry might start last, and each entry that enrolled
// before it would read. The delay per entry is the duration of this entry's own enrolment, which is
// two calls. With a shorter one, entries on a busy machine read before the first ones could
// announce the data (in 53 of 72 starts).
//
// If the settings name seeds, the seeds read at once and the others get the data from them.
func (c *control) begins(now time.Time, rank int) bool {
	if c.gateway.seed() {
		return true
	}
	if c.enrolled.IsZero() && len(c.live()) > 1 {
		return now.Sub(c.started) >= seedsReadTime+time.Duration(rank)*beginRank
	}
	if c.enrolled.IsZero() && len(c.gateway.otherSeeds()) > 0 {
		return false
	}
	if c.enrolled.IsZero() {
		return now.Sub(c.started) >= enrollTime
	}
	if c.pulling != "" && now.Sub(c.pullAt) < pullPatience {
		return false // another entry's data is being transferred
	}
	step := min(max(c.enrolling, beginStep), beginStepMax)
	readers := min(max(len(c.live())/readersOf, fewestReaders), mostReaders)
	steps := min(max(c.ahead+1-readers, 0), beginSteps)
	if steps == 0 {
		return true
	}
	return now.Sub(c.enrolled) >= max(time.Duration(steps)*step, beginWait, beginTimes*c.enrolling)
}

// countEnrolledBefore returns the number of entries that started together with self and
// enrolled before it.
func ahead(self owner.Entry, items []roster.Item[owner.Entry]) (n int) {
	own := roster.Revision(math.MaxUint64)
	for _, it := range items {
		if it.Name == self.Name {
			own = it.Revision
		}
	}
	for _, it := range items {
		together := time.Duration(max(it.Value.Boot, self.Boot)-min(it.Value.Boot, self.Boot)) < startSpan
		if it.Revision < own && together {
			n++
		}
	}
	return n
}
