package claim

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxWithdrawals bounds how many withdrawn claims are remembered.
const maxWithdrawals = 1 << 16

// add appends a slot. Slots leave in the order in which they came, so a copied
// record may be kept for longer than its retention, never for less.
func (t *Table) add(service, key string, h held) {
	one, ok := t.services[service]
	if !ok {
		one = strings.Clone(service)
		t.services[one] = one
	}
	h.id = strings.Clone(h.id)
	s := &slot{name: name{one, strings.Clone(key)}, held: h, prev: t.newest}
	if t.newest == nil {
		t.oldest = s
	} else {
		t.newest.next = s
	}
	t.newest = s
	sum := t.hash(s.name)
	s.chain = t.slots[sum]
	t.slots[sum] = s
	t.keys++
}

func hash(n name) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(n.service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(n.key)
	return d.Sum64()
}

func (t *Table) find(n name) *slot {
	for s := t.slots[t.hash(n)]; s != nil; s = s.chain {
		if s.name == n {
			return s
		}
	}
	return nil
}

func (t *Table) unchain(s *slot) {
	sum := t.hash(s.name)
	head := t.slots[sum]
	switch {
	case head == s && s.chain == nil:
		delete(t.slots, sum)
	case head == s:
		t.slots[sum] = s.chain
	default:
		for head.chain != s {
			head = head.chain
		}
		head.chain = s.chain
	}
}

func (t *Table) remove(s *slot) {
	if s.answer != nil {
		t.bytes -= s.answer.size()
	}
	if s.prev == nil {
		t.oldest = s.next
	} else {
		s.prev.next = s.next
	}
	if s.next == nil {
		t.newest = s.prev
	} else {
		s.next.prev = s.prev
	}
	t.unchain(s)
	t.keys--
}

// expire forgets keys whose retention has passed. A key is never evicted to
// make room: its caller could still send it again, and it would run twice.
func (t *Table) expire(now time.Time) {
	for s := t.oldest; s != nil && t.since(now)-s.at >= t.cfg.Retention; s = t.oldest {
		t.remove(s)
	}
	t.dropped.expire(t.since(now) - t.cfg.Late)
}

// keep gives the answer as it is recorded: without header and body when it is
// too long or the table has no room for it.
func (t *Table) keep(a *Answer) *Answer {
	kept := *a
	if size := a.size(); size > t.cfg.Body || t.bytes+size > t.cfg.Bytes {
		kept.Header = nil
		kept.Body = nil
		kept.Whole = false
	}
	t.bytes += kept.size()
	return &kept
}

func (a *Answer) size() int {
	n := len(a.Body)
	for _, f := range a.Header {
		n += len(f.Name) + len(f.Value)
	}
	return n
}

// withdrawals remembers the claims that were withdrawn of late. An Ask that is
// overtaken by its withdrawal would otherwise hold the key for its retention,
// with nobody left to run it.
type withdrawals struct {
	ids   map[string]struct{}
	queue []withdrawal
}

type withdrawal struct {
	id string
	at time.Duration
}

func (w *withdrawals) add(at time.Duration, id string) {
	if w.has(id) {
		return
	}
	if len(w.queue) >= maxWithdrawals {
		w.drop()
	}
	w.ids[id] = struct{}{}
	w.queue = append(w.queue, withdrawal{id, at})
}

func (w *withdrawals) has(id string) bool {
	_, ok := w.ids[id]
	return ok
}

func (w *withdrawals) expire(before time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at < before {
		w.drop()
	}
}

func (w *withdrawals) drop() {
	delete(w.ids, w.queue[0].id)
	w.queue = w.queue[1:]
}
