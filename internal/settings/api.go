package settings

import (
	"context"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/tree"
)

// editTimeout bounds an operator's edit; the operator's client waits longer.
const editTimeout = 15 * time.Second

// Node is a node as operators see it.
type Node struct {
	Revision uint64 // of the document
	Path     string
	Kind     tree.Kind
	Parent   string // path; empty for the enclosing one
	Values   []tree.Origin
}

// Proposal is a settings file that the whole tree is to follow.
type Proposal struct {
	ID     string
	Author string
	Base   *uint64 // revision that the author had seen; nil for the one in force
	File   string  // its name, for errors
	Text   []byte
}

// Accepted is what became of an edit or a proposal.
type Accepted struct {
	ID       string // empty when there was nothing to change
	Revision uint64
	Changes  []tree.Change
}

// draft is an edit whose base may be left to the entry.
type draft struct {
	edit tree.Edit
	base *uint64
}

func (s *Settings) getEndpoint() endpoint.Endpoint {
	return func(_ context.Context, request any) (any, error) {
		path := request.(string)
		d := s.Document()
		_, origins, err := d.Resolve(path)
		if err != nil {
			return nil, err
		}
		n := d.Nodes[path]
		return Node{Revision: d.Revision, Path: path, Kind: n.Kind, Parent: n.Parent, Values: origins}, nil
	}
}

func (s *Settings) documentEndpoint() endpoint.Endpoint {
	return func(context.Context, any) (any, error) { return *s.Document(), nil }
}

func (s *Settings) historyEndpoint() endpoint.Endpoint {
	return func(_ context.Context, request any) (any, error) {
		edits := s.Document().Edits
		if n := request.(int); n < len(edits) {
			edits = edits[len(edits)-n:]
		}
		return edits, nil
	}
}

func (s *Settings) editEndpoint() endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		d := request.(draft)
		d.edit.Base = s.Document().Revision
		if d.base != nil {
			d.edit.Base = *d.base
		}
		return s.accept(ctx, d.edit)
	}
}

func (s *Settings) accept(ctx context.Context, e tree.Edit) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	accepted, err := s.Edit(ctx, e)
	if err != nil {
		return nil, err
	}
	return Accepted{ID: accepted.ID, Revision: accepted.Revision, Changes: accepted.Changes}, nil
}

func (s *Settings) diffEndpoint() endpoint.Endpoint {
	return func(_ context.Context, request any) (any, error) {
		p := request.(Proposal)
		file, err := tree.Parse(p.File, p.Text)
		if err != nil {
			return nil, err
		}
		d := s.Document()
		return Accepted{Revision: d.Revision, Changes: d.Diff(file)}, nil
	}
}

// applyEndpoint turns a file into the edit that leads to it. A proposal whose
// edit is known already was sent again after its answer was lost.
func (s *Settings) applyEndpoint() endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		p := request.(Proposal)
		file, err := tree.Parse(p.File, p.Text)
		if err != nil {
			return nil, err
		}
		d := s.Document()
		if e, ok := d.Find(p.ID); ok {
			return Accepted{ID: e.ID, Revision: e.Revision, Changes: e.Changes}, nil
		}
		e := tree.Edit{ID: p.ID, Author: p.Author, Base: d.Revision, Changes: d.Diff(file)}
		if len(e.Changes) == 0 {
			return Accepted{Revision: d.Revision}, nil
		}
		if p.Base != nil {
			e.Base = *p.Base
		}
		answer, err := s.accept(ctx, e)
		var again *tree.Reused
		if errors.As(err, &again) {
			return Accepted{ID: again.Edit.ID, Revision: again.Edit.Revision, Changes: again.Edit.Changes}, nil
		}
		return answer, err
	}
}
