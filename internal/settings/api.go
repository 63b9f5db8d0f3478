package settings

import (
	"context"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/tree"
)

// editTimeout bounds an operator's edit. The operator's client uses a longer
// timeout.
const editTimeout = 15 * time.Second

// Node is a node of the settings tree with the values in effect there.
type Node struct {
	Revision uint64 // of the document
	Path     string
	Kind     tree.Kind
	Parent   string // path; empty if the parent is the enclosing node
	Values   []tree.ResolvedValue
}

// Proposal is a settings file that describes the whole desired tree.
type Proposal struct {
	ID     string
	Author string
	Base   *uint64 // revision that the author based the file on; nil for the one in force
	File   string  // file name, for error messages
	Text   []byte
}

// EditResult is the result of an edit, or of a proposal that was compared or applied.
type EditResult struct {
	ID       string // empty for a diff, and when there was nothing to change
	Revision uint64
	Changes  []tree.Change
}

// editRequest is an operator's edit. A nil base selects the revision in force at
// the entry.
type editRequest struct {
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
		r := request.(editRequest)
		r.edit.Base = s.Document().Revision
		if r.base != nil {
			r.edit.Base = *r.base
		}
		return s.acceptEdit(ctx, r.edit)
	}
}

func (s *Settings) acceptEdit(ctx context.Context, e tree.Edit) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	accepted, err := s.Edit(ctx, e)
	if err != nil {
		return nil, err
	}
	return EditResult{ID: accepted.ID, Revision: accepted.Revision, Changes: accepted.Changes}, nil
}

func (s *Settings) diffEndpoint() endpoint.Endpoint {
	return func(_ context.Context, request any) (any, error) {
		p := request.(Proposal)
		file, err := tree.Parse(p.File, p.Text)
		if err != nil {
			return nil, err
		}
		d := s.Document()
		return EditResult{Revision: d.Revision, Changes: d.Diff(file)}, nil
	}
}

// applyEndpoint converts a settings file into the edit that produces it, and has
// the edit accepted. If the document already has an edit with the proposal's ID,
// the proposal was sent again after its response was lost, and the endpoint returns
// the result of that edit.
func (s *Settings) applyEndpoint() endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		p := request.(Proposal)
		file, err := tree.Parse(p.File, p.Text)
		if err != nil {
			return nil, err
		}
		d := s.Document()
		if e, ok := d.FindEdit(p.ID); ok {
			return EditResult{ID: e.ID, Revision: e.Revision, Changes: e.Changes}, nil
		}
		e := tree.Edit{ID: p.ID, Author: p.Author, Base: d.Revision, Changes: d.Diff(file)}
		if len(e.Changes) == 0 {
			return EditResult{Revision: d.Revision}, nil
		}
		if p.Base != nil {
			e.Base = *p.Base
		}
		result, err := s.acceptEdit(ctx, e)
		var reused *tree.ReusedID
		if errors.As(err, &reused) {
			return EditResult{ID: reused.Edit.ID, Revision: reused.Edit.Revision, Changes: reused.Edit.Changes}, nil
		}
		return result, err
	}
}
