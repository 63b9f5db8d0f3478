package tree

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

type documentJSON struct {
	Revision uint64              `json:"revision"`
	Nodes    map[string]nodeJSON `json:"nodes"`
	Edits    []editJSON          `json:"edits"`
}

type nodeJSON struct {
	Kind   string            `json:"kind"`
	Parent string            `json:"parent,omitempty"`
	Set    map[string]string `json:"set,omitempty"`
}

type editJSON struct {
	ID       string       `json:"id"`
	Author   string       `json:"author"`
	Time     time.Time    `json:"time"`
	Base     uint64       `json:"base"`
	Revision uint64       `json:"revision"`
	Changes  []changeJSON `json:"changes"`
}

type changeJSON struct {
	Op     string `json:"op"`
	Path   string `json:"path"`
	Field  string `json:"field,omitempty"`
	Value  string `json:"value,omitempty"`
	Kind   string `json:"kind,omitempty"`
	Parent string `json:"parent,omitempty"`
}

// Encode returns the JSON that is stored for a document. Equal documents have
// identical encodings.
func Encode(d Document) []byte {
	j := documentJSON{Revision: d.Revision, Nodes: map[string]nodeJSON{}, Edits: []editJSON{}}
	for path, n := range d.Nodes {
		j.Nodes[path] = nodeJSON{Kind: string(n.Kind), Parent: n.Parent, Set: n.Values}
	}
	for _, e := range d.Edits {
		j.Edits = append(j.Edits, editToJSON(e))
	}
	b, err := json.Marshal(j)
	if err != nil {
		panic("tree: " + err.Error()) // only years after 9999 cannot be encoded, and Apply sets the time
	}
	return b
}

// Decode decodes a stored document and validates its nodes and its log.
func Decode(b []byte) (d Document, err error) {
	defer func() { err = errors.WithMessage(err, "settings document") }()
	var j documentJSON
	if err := decodeStrict(b, &j); err != nil {
		return Document{}, err
	}
	d = Document{Revision: j.Revision, Nodes: map[string]Node{}}
	for path, n := range j.Nodes {
		d.Nodes[path] = Node{Kind: Kind(n.Kind), Parent: n.Parent, Values: canonicalizeValues(n.Set)}
	}
	for _, e := range j.Edits {
		d.Edits = append(d.Edits, editFromJSON(e))
	}
	if found := d.Check(); len(found) > 0 {
		return Document{}, found
	}
	return d, d.checkLog()
}

// EncodeEdit returns the JSON of an edit that entries send to each other.
func EncodeEdit(e Edit) []byte {
	b, err := json.Marshal(editToJSON(e))
	if err != nil {
		panic("tree: " + err.Error())
	}
	return b
}

// DecodeEdit decodes the output of EncodeEdit. It does not validate the changes;
// Replay does.
func DecodeEdit(b []byte) (e Edit, err error) {
	defer func() { err = errors.WithMessage(err, "settings edit") }()
	var j editJSON
	if err := decodeStrict(b, &j); err != nil {
		return Edit{}, err
	}
	if j.ID == "" {
		return Edit{}, errors.New("id: found nothing, expected an id")
	}
	return editFromJSON(j), nil
}

// decodeStrict decodes exactly one JSON value and rejects unknown members.
func decodeStrict(b []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return err
	}
	if _, err := dec.Token(); err != io.EOF {
		return errors.New("found more after the end, expected one JSON value")
	}
	return nil
}

// canonicalizeValues converts valid values to canonical text in place. Invalid
// values stay unchanged for Check to report.
func canonicalizeValues(set map[string]string) map[string]string {
	for name, text := range set {
		if f, ok := Lookup(name); ok {
			if value, problem := f.Canonicalize(text); problem == nil {
				set[name] = value
			}
		}
	}
	return set
}

// checkLog checks that the log has consecutive revisions up to that of the document,
// and distinct IDs.
func (d Document) checkLog() error {
	if len(d.Edits) == 0 && d.Revision > 0 {
		return errors.Errorf("edits: found none, expected the one of revision %d", d.Revision)
	}
	ids := map[string]bool{}
	for i, e := range d.Edits {
		want := d.Revision - uint64(len(d.Edits)-1-i)
		if e.Revision != want || want == 0 || want > d.Revision {
			return errors.Errorf("edits: found revision %d, expected %d", e.Revision, want)
		}
		if e.ID == "" || ids[e.ID] {
			return errors.Errorf("edits: found id %q, expected one of its own", e.ID)
		}
		ids[e.ID] = true
	}
	return nil
}

func editToJSON(e Edit) editJSON {
	j := editJSON{
		ID: e.ID, Author: e.Author, Time: e.Time, Base: e.Base, Revision: e.Revision, Changes: []changeJSON{},
	}
	for _, c := range e.Changes {
		j.Changes = append(j.Changes, changeJSON{
			Op: string(c.Op), Path: c.Path, Field: c.Field, Value: c.Value, Kind: string(c.Kind), Parent: c.Parent,
		})
	}
	return j
}

func editFromJSON(j editJSON) Edit {
	e := Edit{ID: j.ID, Author: j.Author, Time: j.Time, Base: j.Base, Revision: j.Revision}
	for _, c := range j.Changes {
		e.Changes = append(e.Changes, Change{
			Op: Op(c.Op), Path: c.Path, Field: c.Field, Value: c.Value, Kind: Kind(c.Kind), Parent: c.Parent,
		})
	}
	return e
}
