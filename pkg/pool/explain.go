package pool

import "time"

// TargetStatus explains whether a target would be chosen now, and why.
type TargetStatus struct {
	Target        string
	Boot          uint64
	Chosen        bool // the target could get a request now
	Why           string
	InFlight      int
	Limit         int
	OtherInFlight float64   // estimated requests from other entries
	SlowEvidence  float64   // evidence that the target is slower than the others; ejected above 12
	FailEvidence  float64   // evidence that the target fails more than the others; ejected above 3.5
	Until         time.Time // end of the leaving notice or cooldown, or time of the next trial; zero if none
}

// Explain returns the status of each listed target, in the order of the list.
func (p *Pool[P]) Explain(now time.Time) []TargetStatus {
	p.setClock(now)
	rows := make([]TargetStatus, 0, len(p.members))
	for _, m := range p.members {
		rows = append(rows, p.explain(m))
	}
	return rows
}

func (p *Pool[P]) explain(m *Member) TargetStatus {
	r := TargetStatus{
		Target:        m.ID,
		Boot:          m.Boot,
		InFlight:      len(m.dispatches),
		Limit:         m.limit(&p.cfg),
		OtherInFlight: m.OtherInFlight(p.now, p.latencies.Mean(p.cfg.InitialServiceTime)),
		SlowEvidence:  m.currentSlowEvidence(p.now, &p.latencies),
		FailEvidence:  m.failEvidence,
	}
	switch {
	case m.excluded:
		r.Why, r.Until = "leaving", p.timeOrigin.Add(m.excludedUntil)
		if m.Evacuated {
			r.Why, r.Until = "evacuated", time.Time{}
		}
	case m.ejected && m.failEvidence > readmitFail:
		r.Why, r.Until = "ejected: fails more than the others", p.timeOrigin.Add(m.nextTrial)
	case m.ejected:
		r.Why, r.Until = "ejected: slower than the others", p.timeOrigin.Add(m.nextTrial)
	case m.cooldownUntil > p.now:
		r.Why, r.Until = "refused work a moment ago", p.timeOrigin.Add(m.cooldownUntil)
	case p.cfg.Unlimited:
		r.Why, r.Chosen = "free", true
	case float64(r.InFlight)+r.OtherInFlight > float64(r.Limit)-0.5:
		r.Why = "full"
	case !m.warmedUp(&p.cfg):
		r.Why, r.Chosen = "cold: one request at a time", true
	case r.SlowEvidence > suspectSlow || r.FailEvidence > suspectFail:
		r.Why, r.Chosen = "suspected: used last", true
	default:
		r.Why, r.Chosen = "free", true
	}
	return r
}
