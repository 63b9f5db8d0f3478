package store

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"
)

// Watch calls onChange for each change of an object of the kind after version
// from, in order. It returns when the stream ends or ctx is done, and always
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
		_, err := decode(w, nil)
		return err
	}
	events := &eventReader{r: w.Body}
	stream := json.NewDecoder(events)
	for {
		events.left = maxEventBytes
		var j changeJSON
		if err := stream.Decode(&j); err != nil {
			return &Unavailable{Cause: err}
		}
		s.cache.saveWatched(j)
		onChange(Change{Object: Object(j.Object), Deleted: j.Deleted})
	}
}

// maxEventBytes bounds one event of a watch, which has a value of up to 1 MB, base64 encoded, and
// the blanks before it.
const maxEventBytes = 4 << 20

var errLongEvent = errors.Errorf("event is longer than %d bytes", maxEventBytes)

// eventReader fails once more bytes are read than are left for an event.
type eventReader struct {
	r    io.Reader
	left int
}

func (e *eventReader) Read(p []byte) (n int, err error) {
	if e.left <= 0 {
		return 0, errLongEvent
	}
	n, err = e.r.Read(p[:min(len(p), e.left)])
	e.left -= n
	return n, err
}
