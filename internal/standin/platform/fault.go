package platform

import (
	"net/http"
	"time"
)

// Faults are the failures that are switched on. The zero value is none.
type Faults struct {
	Down   bool          // answers nothing but 503
	Delay  time.Duration // before each answer
	Lose   int           // answers of so many next writes are lost after the write took effect
	Older  uint64        // reads serve the data as of this version; 0 is off
	Silent bool          // watches stay open and say nothing
	Flap   time.Duration // up for so long, then down for so long, and so on; 0 is off
	Lag    time.Duration // the VM list is so old
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.since = p.now()
	p.wake()
}

// Faults returns the faults that are switched on.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

func (p *Platform) down() bool {
	if p.faults.Down {
		return true
	}
	if p.faults.Flap <= 0 {
		return false
	}
	periods := p.now().Sub(p.since) / p.faults.Flap
	return periods%2 == 1
}

// horizon is the newest version that reads may see.
func (p *Platform) horizon() uint64 {
	if p.faults.Older > 0 {
		return min(p.faults.Older, p.version)
	}
	return p.version
}

// guard counts a call and applies the faults that hit every call.
func (p *Platform) guard(count func(*Counts), next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		count(&p.counts)
		delay, down := p.faults.Delay, p.down()
		p.mu.Unlock()
		if !wait(r, delay) {
			return
		}
		if down {
			fail(w, http.StatusServiceUnavailable, 0)
			return
		}
		next(w, r)
	}
}

func wait(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// lose tells whether the answer of the present write is to be lost.
func (p *Platform) lose() bool {
	if p.faults.Lose <= 0 {
		return false
	}
	p.faults.Lose--
	return true
}
