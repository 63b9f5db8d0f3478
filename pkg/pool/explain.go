package pool

import "time"

// TargetStatus explains whether a target would be chosen now, and why.
type Row struct {
	Target   string
	Boot     uint64
	Chosen   bool // the target could get a request now
	Why      string
	InFlight int
	Limit    int
	Foreign  float64   // estimated requests from other entries
	Slow     float64   // evidence that the target is slower than the others; ejected above 12
	Fail     float64   // evidence that the target fails more than the others; ejected above 3.5
	Until    time.Time // end of the leaving notice or cooldown, or time of the next trial; zero if none
}

// Explain returns the status of each listed target, in the order of the list.
func (p *Pool[P]) Explain(now time.Time) []Row {
	p.set(now)
	rows := make([]Row, 0, len(p.members))
	for _, m := range p.members {
		rows = append(rows, p.explain(m))
	}
	return rows
}

func (p *Pool[P]) explain(m *Member) Row {
	r := Row{
		Target:   m.ID,
		Boot:     m.Boot,
		InFlight: len(m.runs),
		Limit:    m.limit(&p.cfg),
		Foreign:  m.Foreign(p.now, p.curve.Mean(p.cfg.Service)),
		Slow:     m.suspicion(p.now, &p.curve),
		Fail:     m.fail,
	}
	switch {
	case m.left:
		r.Why, r.Until = "leaving", p.epoch.Add(m.leftUntil)
		if m.Evacuated {
			r.Why, r.Until = "evacuated", time.Time{}
		}
	case m.out && m.fail > failReturn:
		r.Why, r.Until = "ejected: fails more than the others", p.epoch.Add(m.trialAt)
	case m.out:
		r.Why, r.Until = "ejected: slower than the others", p.epoch.Add(m.trialAt)
	case m.blocked > p.now:
		r.Why, r.Until = "refused work a moment ago", p.epoch.Add(m.blocked)
	case p.cfg.Unlimited:
		r.Why, r.Chosen = "free", true
	case float64(r.InFlight)+r.Foreign > float64(r.Limit)-0.5:
		r.Why = "full"
	case !m.warm(&p.cfg):
		r.Why, r.Chosen = "cold: one request at a time", true
	case r.Slow > slowSuspect || r.Fail > failSuspect:
		r.Why, r.Chosen = "suspected: used last", true
	default:
		r.Why, r.Chosen = "free", true
	}
	return r
}
