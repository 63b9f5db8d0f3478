package ring

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// format is the version of the document that this code reads and writes.
const format = 1

type wireMember struct {
	Name   string `json:"name"`
	Boot   uint64 `json:"boot"`
	Caller string `json:"caller"`
	Peer   string `json:"peer"`
	Place  string `json:"place"`
	Region string `json:"region"`
}

type wireIdent struct {
	Name string `json:"name"`
	Boot uint64 `json:"boot"`
}

type wireLoss struct {
	At      int64        `json:"at"`
	Sealed  int64        `json:"sealed,omitempty"`
	Members []wireMember `json:"members"`
	Missing []wireIdent  `json:"missing"`
}

type wireRing struct {
	Format   int          `json:"format"`
	Revision uint64       `json:"revision"`
	Members  []wireMember `json:"members"`
	Old      []wireMember `json:"old,omitempty"`
	Losses   []wireLoss   `json:"losses,omitempty"`
}

// Encode gives the document that the store holds: JSON, times in milliseconds
// since 1970.
func Encode(r Ring) (data []byte, err error) {
	defer func() { err = errors.WithMessage(err, "encode ring") }()
	w := wireRing{Format: format, Revision: r.Revision, Members: toWire(r.Members), Old: toWire(r.Old)}
	for _, l := range r.Losses {
		w.Losses = append(w.Losses, wireLoss{
			At:      millis(l.At),
			Sealed:  millis(l.Sealed),
			Members: toWire(l.Members),
			Missing: identsToWire(l.Missing),
		})
	}
	return json.Marshal(w)
}

// Decode reads a document. It fails on anything that could not have been
// written by Encode, so that a corrupt value never displaces a good ring.
func Decode(data []byte) (r Ring, err error) {
	defer func() { err = errors.WithMessage(err, "decode ring") }()
	var w wireRing
	if err = json.Unmarshal(data, &w); err != nil {
		return Ring{}, err
	}
	if w.Format != format {
		return Ring{}, errors.Errorf("format: found %d, expected %d", w.Format, format)
	}
	r = Ring{Revision: w.Revision, Members: fromWire(w.Members), Old: fromWire(w.Old)}
	for _, l := range w.Losses {
		r.Losses = append(r.Losses, Loss{
			At:      moment(l.At),
			Sealed:  moment(l.Sealed),
			Members: fromWire(l.Members),
			Missing: identsFromWire(l.Missing),
		})
	}
	if err = check(r); err != nil {
		return Ring{}, err
	}
	return r, nil
}

func check(r Ring) (err error) {
	if r.Revision == 0 {
		return errors.New("revision: found 0, expected 1 or more")
	}
	if len(r.Members) == 0 {
		return errors.New("members: found none, expected at least one")
	}
	if err = checkMembers("members", r.Members); err != nil {
		return err
	}
	if err = checkMembers("old", r.Old); err != nil {
		return err
	}
	for _, l := range r.Losses {
		if l.At.IsZero() {
			return errors.New("losses.at: found 0, expected a time")
		}
		if err = checkMembers("losses.members", l.Members); err != nil {
			return err
		}
	}
	return nil
}

func checkMembers(field string, members []Member) (err error) {
	seen := make(map[string]bool, len(members))
	for _, m := range members {
		if m.Name == "" {
			return errors.Errorf("%s.name: found none, expected a name", field)
		}
		if seen[m.Name] {
			return errors.Errorf("%s.name: found %q twice, expected it once", field, m.Name)
		}
		seen[m.Name] = true
	}
	return nil
}

func toWire(members []Member) []wireMember {
	var out []wireMember
	for _, m := range members {
		out = append(out, wireMember{m.Name, m.Boot, m.Caller, m.Peer, m.Place, m.Region})
	}
	return out
}

func fromWire(members []wireMember) []Member {
	var out []Member
	for _, w := range members {
		out = append(out, Member{Ident{w.Name, w.Boot}, w.Caller, w.Peer, w.Place, w.Region})
	}
	return out
}

func identsToWire(ids []Ident) []wireIdent {
	var out []wireIdent
	for _, i := range ids {
		out = append(out, wireIdent(i))
	}
	return out
}

func identsFromWire(ids []wireIdent) []Ident {
	var out []Ident
	for _, w := range ids {
		out = append(out, Ident(w))
	}
	return out
}

func millis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func moment(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}
