package store

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/rawjson"
)

// Watch calls onChange for each change of an object of the kind after version
// from, in order. An event that can't be decoded is left out. It returns when the stream ends or ctx is done, and always
// returns a non-nil error. It doesn't reopen the watch; Follow does.
func (s *Client) Watch(ctx context.Context, kind string, from uint64, onChange func(Change)) (err error) {
	defer func() { err = errors.WithMessagef(err, "watch %s", kind) }()
	if err := s.reads.Wait(ctx); err != nil {
		return &Unavailable{Cause: err, NotSent: true}
	}
	s.counts[watchCalls].Add(1)
	path := "/v1/watch/" + url.PathEscape(kind) + "?from=" + strconv.FormatUint(from, 10)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, s.addr+path, nil)
	if err != nil {
		return err
	}
	w, err := s.http.Do(r)
	if err != nil {
		return &Unavailable{Cause: err}
	}
	defer func() { _ = w.Body.Close() }()
	if w.StatusCode != http.StatusOK {
		if _, err := readBody(w); err != nil {
			return err
		}
		return unusable(errors.Errorf("found status %d, expected 200", w.StatusCode))
	}
	events := rawjson.NewReader(w.Body, maxEventBytes)
	for {
		raw, err := events.Next()
		if err != nil {
			return &Unavailable{Cause: err}
		}
		c, tag, err := decodeChange(raw)
		if err != nil {
			s.refuse(kind, c.Object.Name, err)
			continue
		}
		s.cache.saveWatched(c.Object, tag)
		onChange(c)
	}
}

// maxEventBytes bounds one event of a watch, which has a value of up to 1 MB, base64 encoded, and
// the blanks before it.
const maxEventBytes = 4 << 20
