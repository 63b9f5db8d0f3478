package settings_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/settings"
	"plumpitch.example/plumpitch/pkg/tree"
)

// operator serves the operators' API of the first entry and returns a client of it.
func (w *testSite) operator() settings.Client {
	srv := httptest.NewServer(settings.Handler(w.entries[0].Settings))
	w.q.Cleanup(srv.Close)
	return settings.Client{Addr: srv.Listener.Addr().String()}
}

func TestOperatorRequests(t *testing.T) {
	q := qt.New(t)
	w := newTestSite(q, 1)
	c := w.operator()
	text, err := os.ReadFile("../../examples/swanbourne.json")
	q.Assert(err, qt.IsNil)
	p := settings.Proposal{ID: "p1", Author: "ana", File: "swanbourne.json", Text: text}

	diff, err := c.Diff(w.ctx, p)
	q.Assert(err, qt.IsNil)
	applied, err := c.Apply(w.ctx, p)
	q.Assert(err, qt.IsNil)
	q.Assert(applied.Revision, qt.Equals, uint64(1))
	q.Assert(applied.Changes, qt.DeepEquals, diff.Changes)
	again, err := c.Apply(w.ctx, p)
	q.Assert(err, qt.IsNil)
	q.Assert(again, qt.DeepEquals, applied)
	p.ID = "p2"
	unchanged, err := c.Apply(w.ctx, p)
	q.Assert(err, qt.IsNil)
	q.Assert(unchanged.Changes, qt.HasLen, 0)

	e := tree.Edit{ID: "e", Author: "bo", Changes: []tree.Change{set("/swanbourne/gown-catalogue", "slots", "4")}}
	edited, err := c.Edit(w.ctx, e, nil)
	q.Assert(err, qt.IsNil)
	q.Assert(edited.Revision, qt.Equals, uint64(2))
	n, err := c.Get(w.ctx, "/swanbourne/gown-catalogue")
	q.Assert(err, qt.IsNil)
	for _, v := range n.Values {
		switch v.Field {
		case "slots":
			q.Assert(v, qt.Equals, tree.ResolvedValue{Field: "slots", Value: "4", Source: "/swanbourne/gown-catalogue"})
		case "timeout":
			q.Assert(v, qt.Equals, tree.ResolvedValue{Field: "timeout", Value: "2s", Source: "/"})
		case "queue":
			q.Assert(v, qt.Equals, tree.ResolvedValue{Field: "queue", Value: "256"})
		}
	}
	edits, err := c.History(w.ctx, 1)
	q.Assert(err, qt.IsNil)
	q.Assert(edits[0].ID, qt.Equals, "e")
	d, err := c.Document(w.ctx)
	q.Assert(err, qt.IsNil)
	q.Assert(d.Revision, qt.Equals, uint64(2))
}

func TestOperatorErrors(t *testing.T) {
	q := qt.New(t)
	w := newTestSite(q, 1)
	w.seed()
	w.mustAccept(0, "first", 1, 2)
	c := w.operator()
	one := uint64(1)
	edit := func(changes ...tree.Change) func() error {
		return func() error {
			_, err := c.Edit(w.ctx, tree.Edit{ID: "x", Author: "bo", Changes: changes}, &one)
			return err
		}
	}
	for _, row := range []struct {
		name   string
		call   func() error
		status int
		want   string
	}{
		{"no node", func() error { _, err := c.Get(w.ctx, "/none"); return err }, 404, `.*/none: no such node`},
		{"conflict", edit(set("/g/s", "slots", "9")), 409, `.*your edit x of revision 1 would set /g/s slots to 9; edit first by op-first, revision 2, did set /g/s slots to 3`},
		{"invalid", edit(set("/g/s", "slots", "nine")), 422, `.*/g/s slots: found "nine", expected a count.*`},
		{"nothing", edit(), 422, `.*edit changes: found none, expected at least one`},
		{"count", func() error { _, err := c.History(w.ctx, -1); return err }, 400, `.*count: found "-1", expected a number from 1`},
		{"file", func() error {
			_, err := c.Apply(w.ctx, settings.Proposal{ID: "y", File: "f.json", Text: []byte("{\n\"/\": {\"kind\": 1}}")})
			return err
		}, 422, `(?s).*f.json:2: / kind: found 1, expected a string.*`},
	} {
		t.Run(row.name, func(t *testing.T) {
			err := row.call()
			var r *settings.ResponseError
			qt.Assert(t, errors.As(err, &r), qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, r.Status, qt.Equals, row.status)
			qt.Check(t, err, qt.ErrorMatches, row.want)
		})
	}
	res, err := http.Post("http://"+c.Addr+"/v1/settings/edit", "application/json", nil)
	q.Assert(err, qt.IsNil)
	defer res.Body.Close()
	q.Assert(res.StatusCode, qt.Equals, http.StatusBadRequest)
}
