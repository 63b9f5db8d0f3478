package peer

import (
	"fmt"
	"math"
	"time"

	"plumpitch.example/plumpitch/internal/peer/wire"
	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/owner"
)

func encodeID(id member.ID) *wire.Ident {
	if id == (member.ID{}) {
		return nil
	}
	return &wire.Ident{Name: id.Name, Boot: id.Boot}
}

func decodeID(id *wire.Ident) member.ID {
	return member.ID{Name: id.GetName(), Boot: id.GetBoot()}
}

func requireID(field string, id *wire.Ident) (member.ID, error) {
	if id.GetName() == "" {
		return member.ID{}, &FieldError{Field: field + ".name", Found: "nothing", Expected: "the name of an entry"}
	}
	return decodeID(id), nil
}

// encodeAge returns the milliseconds since t. Messages carry ages in place of times,
// since the clocks of two VMs may differ.
func encodeAge(now, t time.Time) uint32 {
	ms := now.Sub(t).Milliseconds()
	return uint32(min(max(ms, 0), math.MaxUint32))
}

func decodeAge(now time.Time, ms uint32) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

// EncodeEntry converts an entry to its wire type.
func EncodeEntry(now time.Time, e member.Entry) *wire.Entry {
	return &wire.Entry{
		Ident:    encodeID(e.ID),
		Sequence: e.Sequence,
		State:    wire.State(e.State),
		Ready:    e.Ready,
		Ago:      encodeAge(now, e.Since),
		Caller:   e.CallerAddress,
		Peer:     e.PeerAddress,
		Place:    e.Place,
		Region:   e.Region,
		Capacity: float32(e.Capacity),
		Strained: e.Overloaded,
		Shut:     e.StoreUnavailable,
		Lost:     e.Unreachable,
	}
}

// DecodeEntry converts a wire entry to its domain type. field is the path of the entry
// in its message, for errors.
func DecodeEntry(now time.Time, field string, w *wire.Entry) (e member.Entry, err error) {
	id, err := requireID(field+".ident", w.GetIdent())
	if err != nil {
		return e, err
	}
	if _, ok := wire.State_name[int32(w.GetState())]; !ok {
		return e, &FieldError{Field: field + ".state", Found: fmt.Sprint(int32(w.GetState())), Expected: "0 to 4"}
	}
	if c := float64(w.GetCapacity()); !(c >= 0 && c <= owner.MaxCapacity) {
		return e, &FieldError{Field: field + ".capacity", Found: fmt.Sprint(c), Expected: fmt.Sprintf("0 to %g", float64(owner.MaxCapacity))}
	}
	return member.Entry{
		ID:            id,
		Sequence:      w.GetSequence(),
		State:         member.State(w.GetState()),
		Ready:         w.GetReady(),
		Since:         decodeAge(now, w.GetAgo()),
		CallerAddress: w.GetCaller(),
		PeerAddress:   w.GetPeer(),
		Place:         w.GetPlace(),
		Region:        w.GetRegion(),
		Capacity:      float64(w.GetCapacity()),
		Condition: member.Condition{
			Overloaded:       w.GetStrained(),
			StoreUnavailable: w.GetShut(),
			Unreachable:      w.GetLost(),
		},
	}, nil
}

// EncodeGossip converts a message to its wire type.
func EncodeGossip(now time.Time, m member.Message) *wire.Gossip {
	w := &wire.Gossip{
		From:     encodeID(m.From),
		Digest:   m.Digest,
		Settings: m.Revisions.Settings,
		Targets:  m.Revisions.Targets,
		Join:     m.Join,
		Sums:     m.BucketDigests,
		Accused:  m.SuspectDigests,
		Ask:      m.BucketMask,
		Want:     m.MissingAddresses,
	}
	for _, e := range m.Entries {
		w.Entries = append(w.Entries, EncodeEntry(now, e))
	}
	for _, s := range m.Rumours.LeavingNotices {
		w.Leaving = append(w.Leaving, &wire.Leaving{Target: s.Target, Boot: s.Boot, Ago: encodeAge(now, s.Time)})
	}
	for _, c := range m.Rumours.CrashReports {
		w.Suspects = append(w.Suspects, encodeCrashReport(now, c))
	}
	return w
}

// DecodeGossip converts a wire message to its domain type. It rejects a message without
// a sender, with more than member.MaxJoin entries or with an invalid entry.
func DecodeGossip(now time.Time, w *wire.Gossip) (m member.Message, err error) {
	if n := len(w.GetEntries()); n > member.MaxJoin {
		return m, &FieldError{Field: "entries", Found: fmt.Sprint(n), Expected: fmt.Sprintf("at most %d", member.MaxJoin)}
	}
	m = member.Message{
		Digest:           w.GetDigest(),
		Revisions:        member.Revisions{Settings: w.GetSettings(), Targets: w.GetTargets()},
		Join:             w.GetJoin(),
		BucketDigests:    w.GetSums(),
		SuspectDigests:   w.GetAccused(),
		BucketMask:       w.GetAsk(),
		MissingAddresses: w.GetWant(),
	}
	if m.From, err = requireID("from", w.GetFrom()); err != nil {
		return m, err
	}
	for i, e := range w.GetEntries() {
		entry, err := DecodeEntry(now, fmt.Sprintf("entries[%d]", i), e)
		if err != nil {
			return m, err
		}
		m.Entries = append(m.Entries, entry)
	}
	m.Rumours = decodeRumours(now, w)
	return m, nil
}

func decodeRumours(now time.Time, w *wire.Gossip) (r member.Rumours) {
	for _, s := range w.GetLeaving() {
		r.LeavingNotices = append(r.LeavingNotices, member.LeavingNotice{Target: s.GetTarget(), Boot: s.GetBoot(), Time: decodeAge(now, s.GetAgo())})
	}
	for _, c := range w.GetSuspects() {
		r.CrashReports = append(r.CrashReports, decodeCrashReport(now, c))
	}
	return r
}

func encodeCrashReport(now time.Time, c member.CrashReport) *wire.Suspect {
	w := &wire.Suspect{Print: c.Fingerprint, Crashes: c.Crashes, Ago: encodeAge(now, c.Time), By: c.Reporter, Sequence: c.Sequence}
	if c.Unanswered > 0 {
		w.Unanswered, w.Trials, w.Answered = c.Unanswered, c.Trials, c.Answered
		w.Since, w.Last = encodeAge(now, c.Since), encodeAge(now, c.Last)
	}
	return w
}

func decodeCrashReport(now time.Time, w *wire.Suspect) member.CrashReport {
	c := member.CrashReport{Fingerprint: w.GetPrint(), Crashes: w.GetCrashes(), Time: decodeAge(now, w.GetAgo()), Reporter: w.GetBy(), Sequence: w.GetSequence()}
	if w.GetUnanswered() > 0 {
		c.Unanswered, c.Trials, c.Answered = w.GetUnanswered(), w.GetTrials(), w.GetAnswered()
		c.Since, c.Last = decodeAge(now, w.GetSince()), decodeAge(now, w.GetLast())
	}
	return c
}
