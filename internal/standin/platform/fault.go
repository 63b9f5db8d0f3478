package platform

import (
	"net/http"
	"strings"
	"time"
)

// Faults are the injected faults. The zero value injects none.
type Faults struct {
	Down          bool          // every call gets 503
	Delay         time.Duration // before each response
	LostResponses int           // number of next writes whose response is lost after the write took effect
	ReadVersion   uint64        // reads and watches show the data as of this version; 0 is off
	SilentWatches bool          // watches stay open and deliver no changes
	FlapInterval  time.Duration // the store alternates between up and down, each for this long; 0 is off
	VMListLag     time.Duration // age of the VM list
	OddObject     string        // text before the first object of each list and watch; need not be JSON
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.faultsSince = p.now()
	p.notifyWatches()
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
	if p.faults.FlapInterval <= 0 {
		return false
	}
	periods := p.now().Sub(p.faultsSince) / p.faults.FlapInterval
	return periods%2 == 1
}

// readVersion returns the newest version that reads and watches show.
func (p *Platform) readVersion() uint64 {
	if p.faults.ReadVersion > 0 {
		return min(p.faults.ReadVersion, p.version)
	}
	return p.version
}

// withFaults returns a handler that counts a call and applies the faults that affect
// every call.
func (p *Platform) withFaults(count func(*Counts), next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		count(&p.counts)
		delay, down := p.faults.Delay, p.down()
		p.mu.Unlock()
		if !wait(r, delay) {
			return
		}
		if down {
			replyError(w, http.StatusServiceUnavailable, 0)
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
func (p *Platform) loseResponse() bool {
	if p.faults.LostResponses <= 0 {
		return false
	}
	p.faults.LostResponses--
	return true
}

// withOddObject adds the odd object, if any, to the text of a list or an event.
func (p *Platform) withOddObject(text string) string {
	odd := p.Faults().OddObject
	if odd == "" {
		return text
	}
	if strings.HasPrefix(text, `{"object":`) {
		return `{"object":` + odd + `,"deleted":false}` + text
	}
	for _, field := range []string{"objects", "vms"} {
		if before, after, ok := strings.Cut(text, `"`+field+`":[`); ok {
			separator := ","
			if strings.HasPrefix(after, "]") {
				separator = ""
			}
			return before + `"` + field + `":[` + odd + separator + after
		}
	}
	return text
}
