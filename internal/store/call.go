package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"
)

// maxResponseBytes bounds the body of a response. It holds a list of a few values
// of 1 MB each.
const maxResponseBytes = 16 << 20

// maxHeaderBytes bounds the head of a response, unless Config.HTTP is set.
const maxHeaderBytes = 64 << 10

var errLongResponse = errors.Errorf("response is longer than %d bytes", maxResponseBytes)

// Get reads one object.
func (s *Client) Get(ctx context.Context, kind, name string) (o Object, err error) {
	defer func() { err = errors.WithMessagef(err, "get %s/%s", kind, name) }()
	err = s.query(ctx, readCalls, objectPath(kind, name), func(b []byte) (err error) {
		o, err = decodeObject(b)
		if err == nil && o.Name != name {
			err = errors.Errorf("name: found %.40q, expected %q", o.Name, name)
		}
		if err != nil {
			s.refuse(kind, name, err)
		}
		return err
	})
	return o, err
}

// List reads all objects of a kind, without those that can't be decoded. The returned version
// is the store's version at the time of the list; a watch can start from it.
func (s *Client) List(ctx context.Context, kind string) (objects []Object, version uint64, err error) {
	defer func() { err = errors.WithMessagef(err, "list %s", kind) }()
	err = s.query(ctx, readCalls, "/v1/objects/"+url.PathEscape(kind), func(b []byte) (err error) {
		objects, version, err = s.decodeList(kind, b)
		return err
	})
	return objects, version, err
}

// VMs reads the VM list, without VMs that can't be decoded.
func (s *Client) VMs(ctx context.Context) (list []VM, err error) {
	defer func() { err = errors.WithMessage(err, "vms") }()
	err = s.query(ctx, vmListCalls, "/v1/vms", func(b []byte) (err error) {
		list, err = s.decodeVMs(b)
		return err
	})
	return list, err
}

// Put writes value if the object's current version equals expected, and returns
// the new version. An expected version of 0 creates the object. Put makes one
// attempt. After an Unavailable error without NotSent the write may have taken
// effect.
func (s *Client) Put(ctx context.Context, kind, name string, expected uint64, value []byte) (version uint64, err error) {
	defer func() { err = errors.WithMessagef(err, "put %s/%s", kind, name) }()
	body, err := json.Marshal(putJSON{Version: expected, Value: value})
	if err != nil {
		return 0, err
	}
	return s.write(ctx, http.MethodPut, objectPath(kind, name), body, expected)
}

// Delete removes an object if its current version equals expected. It makes one
// attempt, as Put does.
func (s *Client) Delete(ctx context.Context, kind, name string, expected uint64) (err error) {
	defer func() { err = errors.WithMessagef(err, "delete %s/%s", kind, name) }()
	path := objectPath(kind, name) + "?version=" + strconv.FormatUint(expected, 10)
	_, err = s.write(ctx, http.MethodDelete, path, nil, expected)
	return err
}

func (s *Client) write(ctx context.Context, method, path string, body []byte, expected uint64) (uint64, error) {
	if err := s.writes.Wait(ctx); err != nil {
		return 0, &Unavailable{Cause: err, NotSent: true}
	}
	var j versionJSON
	err := s.attempt(ctx, writeCalls, method, path, body, func(b []byte) error { return json.Unmarshal(b, &j) })
	var c *ErrConflict
	if errors.As(err, &c) {
		c.Expected = expected
	}
	return j.Version, err
}

// query sends a read request, and retries it until ctx is done while the store is
// unavailable.
func (s *Client) query(ctx context.Context, k counter, path string, parse func(b []byte) error) error {
	for n := 0; ; n++ {
		if err := s.reads.Wait(ctx); err != nil {
			return &Unavailable{Cause: err, NotSent: true}
		}
		err := s.attempt(ctx, k, http.MethodGet, path, nil, parse)
		if !IsUnavailable(err) || s.pause(ctx, n) != nil {
			return err
		}
		s.counts[retriedCalls].Add(1)
	}
}

func (s *Client) attempt(ctx context.Context, k counter, method, path string, body []byte, parse func(b []byte) error) (err error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	s.counts[k].Add(1)
	defer func() {
		if IsUnavailable(err) {
			s.counts[failedCalls].Add(1)
		}
	}()
	r, err := http.NewRequestWithContext(ctx, method, s.addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	cached := s.cache.makeConditional(r)
	w, err := s.http.Do(r)
	if err != nil {
		return &Unavailable{Cause: err, NotSent: dialFailed(err)}
	}
	defer func() { _ = w.Body.Close() }()
	if w.StatusCode == http.StatusNotModified && cached != nil {
		return unusable(parse(cached))
	}
	b, err := readBody(w)
	if err == nil {
		err = unusable(parse(b))
	}
	if err == nil {
		s.cache.save(r, w, b)
	}
	return err
}

// readBody returns the body of a successful response.
func readBody(w *http.Response) (b []byte, err error) {
	b, err = io.ReadAll(io.LimitReader(w.Body, maxResponseBytes+1))
	if err == nil && len(b) > maxResponseBytes {
		err = errLongResponse
	}
	if err != nil {
		return nil, &Unavailable{Cause: err}
	}
	switch {
	case w.StatusCode == http.StatusNotFound:
		return nil, ErrNotFound
	case w.StatusCode == http.StatusConflict:
		var j versionJSON
		if err := json.Unmarshal(b, &j); err != nil {
			return nil, &Unavailable{Cause: err}
		}
		return nil, &ErrConflict{Current: j.Version}
	case w.StatusCode >= http.StatusInternalServerError || w.StatusCode == http.StatusTooManyRequests:
		return nil, &Unavailable{Cause: errors.Errorf("status %d", w.StatusCode)}
	case w.StatusCode != http.StatusOK:
		return nil, errors.Errorf("store: found status %d, expected 200: %.200s", w.StatusCode, b)
	}
	return b, nil
}

// unusable returns an error for a response that can't be decoded, or nil if err is nil.
func unusable(err error) error {
	if err == nil {
		return nil
	}
	return &Unavailable{Cause: errors.WithMessage(err, "answer")}
}

// dialFailed reports whether err is a failure to connect, in which case no request
// was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}
