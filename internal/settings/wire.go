package settings

import (
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/tree"
)

type nodeJSON struct {
	Revision uint64      `json:"revision"`
	Path     string      `json:"path"`
	Kind     string      `json:"kind"`
	Parent   string      `json:"parent,omitempty"`
	Values   []valueJSON `json:"values"`
}

type valueJSON struct {
	Field string `json:"field"`
	Value string `json:"value"`
	From  string `json:"from"` // path of the node that sets the value, or fromDefault
}

// fromDefault is valueJSON.From for a default value.
const fromDefault = "default"

type changeJSON struct {
	Op     string `json:"op"`
	Path   string `json:"path"`
	Field  string `json:"field,omitempty"`
	Value  string `json:"value,omitempty"`
	Kind   string `json:"kind,omitempty"`
	Parent string `json:"parent,omitempty"`
}

type editRequestJSON struct {
	ID      string       `json:"id"`
	Author  string       `json:"author"`
	Base    *uint64      `json:"base,omitempty"`
	Changes []changeJSON `json:"changes"`
}

type proposalJSON struct {
	ID     string  `json:"id,omitempty"`
	Author string  `json:"author,omitempty"`
	Base   *uint64 `json:"base,omitempty"`
	File   string  `json:"file"`
	Text   string  `json:"text"`
}

type editResultJSON struct {
	ID       string       `json:"id"`
	Revision uint64       `json:"revision"`
	Changes  []changeJSON `json:"changes"`
}

type editJSON struct {
	ID       string       `json:"id"`
	Author   string       `json:"author"`
	Time     *time.Time   `json:"time,omitempty"`
	Base     uint64       `json:"base"`
	Revision uint64       `json:"revision,omitempty"`
	Changes  []changeJSON `json:"changes"`
}

type historyJSON struct {
	Edits []editJSON `json:"edits"`
}

type problemJSON struct {
	File     string `json:"file,omitempty"`
	Line     int    `json:"line,omitempty"`
	Path     string `json:"path"`
	Field    string `json:"field,omitempty"`
	Found    string `json:"found"`
	Expected string `json:"expected"`
	Hint     string `json:"hint,omitempty"`
}

type errorJSON struct {
	Error    string        `json:"error"`
	Problems []problemJSON `json:"problems,omitempty"`
	Mine     *editJSON     `json:"mine,omitempty"`
	Theirs   *editJSON     `json:"theirs,omitempty"`
}

func nodeToJSON(n Node) nodeJSON {
	j := nodeJSON{Revision: n.Revision, Path: n.Path, Kind: string(n.Kind), Parent: n.Parent}
	for _, o := range n.Values {
		v := valueJSON{Field: o.Field, Value: o.Value, From: o.Source}
		if v.From == "" {
			v.From = fromDefault
		}
		j.Values = append(j.Values, v)
	}
	return j
}

func nodeFromJSON(j nodeJSON) Node {
	n := Node{Revision: j.Revision, Path: j.Path, Kind: tree.Kind(j.Kind), Parent: j.Parent}
	for _, v := range j.Values {
		o := tree.ResolvedValue{Field: v.Field, Value: v.Value, Source: v.From}
		if v.From == fromDefault {
			o.Source = ""
		}
		n.Values = append(n.Values, o)
	}
	return n
}

func changesToJSON(changes []tree.Change) []changeJSON {
	list := []changeJSON{}
	for _, c := range changes {
		list = append(list, changeJSON{
			Op: string(c.Op), Path: c.Path, Field: c.Field, Value: c.Value, Kind: string(c.Kind), Parent: c.Parent,
		})
	}
	return list
}

func changesFromJSON(list []changeJSON) []tree.Change {
	var changes []tree.Change
	for _, j := range list {
		changes = append(changes, tree.Change{
			Op: tree.Op(j.Op), Path: j.Path, Field: j.Field, Value: j.Value, Kind: tree.Kind(j.Kind), Parent: j.Parent,
		})
	}
	return changes
}

func editToJSON(e tree.Edit) *editJSON {
	j := &editJSON{ID: e.ID, Author: e.Author, Base: e.Base, Revision: e.Revision, Changes: changesToJSON(e.Changes)}
	if !e.Time.IsZero() {
		j.Time = &e.Time
	}
	return j
}

func editFromJSON(j editJSON) tree.Edit {
	e := tree.Edit{ID: j.ID, Author: j.Author, Base: j.Base, Revision: j.Revision, Changes: changesFromJSON(j.Changes)}
	if j.Time != nil {
		e.Time = *j.Time
	}
	return e
}

func historyToJSON(edits []tree.Edit) historyJSON {
	j := historyJSON{Edits: []editJSON{}}
	for _, e := range edits {
		j.Edits = append(j.Edits, *editToJSON(e))
	}
	return j
}

func errorToJSON(err error) errorJSON {
	j := errorJSON{Error: err.Error()}
	var c *tree.Conflict
	if errors.As(err, &c) {
		j.Mine, j.Theirs = editToJSON(c.Rejected), editToJSON(c.Accepted)
	}
	problems, _ := tree.AsProblems(err)
	for _, p := range problems {
		j.Problems = append(j.Problems, problemJSON(p))
	}
	return j
}
