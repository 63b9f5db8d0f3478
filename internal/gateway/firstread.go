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
	enrollTimeout = 150 * time.Millisecond
	// seedReadDelay is how long an entry in contact with others waits for the data that
	// the seeds read, and seedReadRankDelay is the additional wait per rank.
	seedReadDelay     = time.Second
	seedReadRankDelay = 300 * time.Millisecond
	// minStartStep is the least delay between the reads of two entries. A read, an
	// exchange and a pull take less.
	minStartStep = 20 * time.Millisecond
	// minStartDelay is the least delay of an entry that doesn't read at once: on a busy
	// machine the first readers' announcement comes later than this entry's own
	// enrolment suggests. Without it, 27 of 72 starts of eight entries beside other work
	// took more than two calls per entry plus eight.
	minStartDelay = 200 * time.Millisecond
	// startDelayFactor is the least delay of the same entries as a multiple of the
	// enrolment's duration. They wait for the reads of the first entries, their
	// announcement and a pull, which take a similar number of calls.
	startDelayFactor = 6
	// maxStartStep bounds the delay between two entries if the enrolment took long.
	maxStartStep = 100 * time.Millisecond
	// minFirstReaders and maxFirstReaders bound the number of entries that read at once,
	// which is one in entriesPerReader of the live ones. All others would pull from a
	// single reader, which takes 40 ms on a third of a core among 14 entries.
	minFirstReaders  = 2
	maxFirstReaders  = 8
	entriesPerReader = 4
	// maxStartStepCount bounds the number of such delays that an entry waits, as the entries
	// that it waits for may have died since.
	maxStartStepCount = 10
	// startWindow is the time within which entries count as started together; VMs start
	// together within 0.5 s. With 5 s, all waited 0.35 s for entries that had been killed
	// 3 s earlier and still had a record. An entry whose clock is off is not waited for,
	// which costs two calls.
	startWindow = time.Second
)

// firstReadDue reports whether an entry without data reads now. The first entries to enrol
// read at once and announce the data; the others wait in the order of their enrolment. In a
// fixed order of names the first entry might start last, and each entry that enrolled
// before it would read. The delay per entry is the duration of this entry's own enrolment,
// which is two calls. With a shorter one, entries on a busy machine read before the first ones
// could announce the data (in 53 of 72 starts).
//
// If the settings name seeds, the seeds read at once and the others get the data from them.
func (c *control) firstReadDue(now time.Time, rank int) bool {
	if c.gateway.isSeed() {
		return true
	}
	if c.enrolledAt.IsZero() && len(c.live()) > 1 {
		return now.Sub(c.started) >= seedReadDelay+time.Duration(rank)*seedReadRankDelay
	}
	if c.enrolledAt.IsZero() && len(c.gateway.otherSeeds()) > 0 {
		return false
	}
	if c.enrolledAt.IsZero() {
		return now.Sub(c.started) >= enrollTimeout
	}
	if c.pullSource != "" && now.Sub(c.pullStarted) < pullExclusiveTime {
		return false // another entry's data is being transferred
	}
	step := min(max(c.enrollDuration, minStartStep), maxStartStep)
	readers := min(max(len(c.live())/entriesPerReader, minFirstReaders), maxFirstReaders)
	steps := min(max(c.enrolledBefore+1-readers, 0), maxStartStepCount)
	if steps == 0 {
		return true
	}
	return now.Sub(c.enrolledAt) >= max(time.Duration(steps)*step, minStartDelay, startDelayFactor*c.enrollDuration)
}

// countEnrolledBefore returns the number of entries that started together with self and
// enrolled before it.
func countEnrolledBefore(self owner.Entry, items []roster.Item[owner.Entry]) (n int) {
	own := roster.Revision(math.MaxUint64)
	for _, it := range items {
		if it.Name == self.Name {
			own = it.Revision
		}
	}
	for _, it := range items {
		together := max(it.Value.Boot, self.Boot)-min(it.Value.Boot, self.Boot) < uint64(startWindow)
		if it.Revision < own && together {
			n++
		}
	}
	return n
}
