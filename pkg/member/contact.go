package member

import "time"

// Contact counts the other entries by whether they are up in this entry's view.
type Contact struct {
	Up    int // alive or leaving
	Known int // not known to have left, with those that are dead and seeds that never answered
	// Forgotten are those that were dead until their retention ended and haven't come back
	// since. They aren't among Known.
	Forgotten int
}

// Contact returns the current counts. An entry that restarts at another address counts
// twice until the old incarnation expires.
func (t *Table) Contact() (c Contact) {
	for _, r := range t.records {
		if r == t.self || r.State == Left {
			continue
		}
		c.Known++
		if r.State == Alive || r.State == Leaving {
			c.Up++
		}
	}
	c.Known += t.unansweredSeeds()
	c.Forgotten = t.countForgotten()
	return c
}

// forgottenEntry is an entry that has been removed because it was dead for long. It may be
// alive in another part of a partition.
type forgottenEntry struct {
	address string
	until   time.Time
}

// maxForgotten bounds the memory for forgotten entries. With so many, the others are too few to
// count for anything.
const maxForgotten = 10000

func (t *Table) forget(r *record) {
	if len(t.forgotten) < maxForgotten {
		t.forgotten[r.ID.Name] = forgottenEntry{r.PeerAddress, r.Since.Add(t.cfg.DeadRetention + t.cfg.ForgottenRetention)}
	}
}

// expireForgotten removes the forgotten entries whose retention has ended.
func (t *Table) expireForgotten(now time.Time) {
	for name, f := range t.forgotten {
		if now.After(f.until) {
			delete(t.forgotten, name)
			t.viewChanged = true
		}
	}
}

// countForgotten returns the number of forgotten entries, without those whose address counts
// already: as a seed, or because an entry of another name has it now.
func (t *Table) countForgotten() (n int) {
	if len(t.forgotten) == 0 {
		return 0
	}
	counted := make(map[string]bool, len(t.records)+len(t.seeds))
	for _, r := range t.records {
		counted[r.PeerAddress] = true
	}
	for _, s := range t.seeds {
		counted[s] = true
	}
	for _, f := range t.forgotten {
		if !counted[f.address] {
			n++
		}
	}
	return n
}

// unansweredSeeds returns the number of seeds that are the address of no known entry, dead
// ones included.
func (t *Table) unansweredSeeds() (n int) {
	known := make(map[string]bool, len(t.records))
	for _, r := range t.records {
		known[r.PeerAddress] = true
	}
	for _, s := range t.seeds {
		if !known[s] {
			n++
		}
		known[s] = true
	}
	return n
}
