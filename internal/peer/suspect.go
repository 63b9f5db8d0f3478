package peer

import (
	"time"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/member"
)

// CrashReport returns the rumour of a suspect. The caller sets Reporter and Sequence.
func CrashReport(now time.Time, s call.Suspect) member.CrashReport {
	return member.CrashReport{
		Fingerprint: s.Fingerprint, Crashes: uint32(s.Crashes), Time: now.Add(-s.LastEvent()),
		Unanswered: uint32(s.Unanswered), Trials: uint32(s.Trials), Since: now.Add(-s.Since), Last: now.Add(-s.Last), Answered: s.Answered,
	}
}

// Suspect returns the suspect that a rumour reports.
func Suspect(now time.Time, c member.CrashReport) call.Suspect {
	s := call.Suspect{Fingerprint: c.Fingerprint, Crashes: int(c.Crashes), Age: now.Sub(c.Time)}
	if c.Unanswered > 0 {
		s.Unanswered, s.Trials, s.Answered = int(c.Unanswered), int(c.Trials), c.Answered
		s.Since, s.Last = now.Sub(c.Since), now.Sub(c.Last)
	}
	return s
}
