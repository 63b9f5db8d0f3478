package platform

import (
	"net/http"
	"time"
)

// Faults are the injected faults. The zero value injects none.
type Faults struct {
	Down   bool          // every call gets 503
	Delay  time.Duration // before each response
	Lose   int           // number of next writes whose response is lost after the write took effect
	Older  uint64        // reads and watches show the data as of this version; 0 is off
	Silent bool          // watches stay open and deliver no changes
	Flap   time.Duration // the store alternates between up and down, each for this long; 0 is off
	Lag    time.Duration // age of the VM list
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.since = p.now()
	p.wake()
}

// Faults returns the injected faults.
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

// readVersion returns the newest version that reads and watches show.
func (p *Platform) horizon() uint64 {
	if p.faults.Older > 0 {
		return min(p.faults.Older, p.version)
	}
	return p.version
}

// withFaults returns a handler that counts a call and applies the faults that affect
// every call.
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

// loseResponse reports whether the response to the current write gets lost, and
// decrements the number of responses to lose.
func (p *Platform) lose() bool {
	if p.faults.Lose <= 0 {
		return false
	}
	p.faults.Lose--
	return true
}
