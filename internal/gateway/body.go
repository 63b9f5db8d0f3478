package gateway

import (
	"context"
	"io"
	"math"
	"net/http"
	"net/textproto"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/callers"
	"plumpitch.example/plumpitch/internal/field"
	"plumpitch.example/plumpitch/internal/guard"
	"plumpitch.example/plumpitch/internal/logs"
	"plumpitch.example/plumpitch/pkg/memory"
	"plumpitch.example/plumpitch/pkg/route"
)

var (
	errBodyTooLong      = errors.New("request body is too long")
	errMalformedTrailer = errors.New("malformed trailer")
)

// withoutContent replaces the errors of net/http that quote a trailer, which may contain a key.
func withoutContent(err error) error {
	if errors.As(err, new(textproto.ProtocolError)) {
		return errMalformedTrailer
	}
	return err
}

// checkTrailer checks the names of a caller's trailer. net/http accepts names with spaces but
// doesn't send them, so each target that the request is dispatched to would seem to fail.
func checkTrailer(trailer http.Header) error {
	for name := range trailer {
		if !field.IsName(name) {
			return errMalformedTrailer
		}
	}
	return nil
}

// readBody reads the complete body. The request is dispatched only after that, so that it can be
// sent to another target if the first one certainly did not run it. extend is called before each
// part that is read, and waits until there is room for it.
func readBody(r *http.Request, l route.Limits, extend func(bytes int64) error) (body [][]byte, err error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > l.MaxBodyBytes {
		return nil, errBodyTooLong
	}
	p := partReader{src: io.LimitReader(r.Body, min(l.MaxBodyBytes, math.MaxInt64-1)+1), length: r.ContentLength, extend: extend}
	body, err = p.readAll()
	switch {
	case err != nil:
		return nil, err
	case p.size > l.MaxBodyBytes:
		return nil, errBodyTooLong
	case p.size < r.ContentLength:
		return nil, io.ErrUnexpectedEOF
	}
	return body, checkTrailer(r.Trailer)
}

// partReader reads a body in parts, so that it takes no more memory than it has bytes.
type partReader struct {
	src    io.Reader
	length int64 // bytes; negative if unknown
	size   int64 // bytes read
	extend func(bytes int64) error
}

// readAll reads all parts.
func (p *partReader) readAll() (parts [][]byte, err error) {
	var first [1]byte // tells whether there is another part
	for {
		if n, err := p.read(first[:]); n == 0 {
			return parts, err
		}
		size := memory.NextPart(p.size)
		if p.length >= 0 {
			size = max(min(size, p.length-p.size), 1)
		}
		if err := p.extend(size); err != nil {
			return nil, err
		}
		part := make([]byte, size)
		part[0] = first[0]
		n, err := p.read(part[1:])
		p.size += int64(n) + 1
		parts = append(parts, part[:n+1])
		if err != nil || n+1 < len(part) {
			return parts, err
		}
	}
}

// read fills buf up to the end of the body. A body that broke off is an error: io.ReadFull can't
// tell it from one that ended.
func (p *partReader) read(buf []byte) (n int, err error) {
	for n < len(buf) && err == nil {
		var m int
		m, err = p.src.Read(buf[n:])
		n += m
	}
	if err == io.EOF {
		return n, nil
	}
	return n, err
}

// Reasons of error responses about bodies.
const (
	reasonNoMemory = "nomemory" // the VM has no memory for the body
	reasonSlowBody = "slowbody" // the body wasn't complete at the deadline
)

// receiveBody reads the body into q.body. Otherwise it answers the request and returns false.
func (q *request) receiveBody(l route.Limits) bool {
	if q.r.ContentLength == 0 {
		return true
	}
	if q.r.ContentLength > l.MaxBodyBytes {
		q.respond(http.StatusRequestEntityTooLarge, "toolong")
		return false
	}
	ctl := http.NewResponseController(q.w)
	if len(q.route.Services) == 0 {
		q.refuseUnread(ctl, func() { q.refuse("noservice", noConfigRetry) })
		return false
	}
	held, err := q.gateway.guard.Open(time.Now(), memory.Body{
		Caller: q.callerName(), Length: q.r.ContentLength, Max: l.MaxBodyBytes, Deadline: q.deadline(),
	}, func() { _ = ctl.SetReadDeadline(longAgo) })
	if err == nil {
		q.held = held
		q.body, err = q.readHeld(ctl, l)
	}
	if err == nil {
		return true
	}
	q.closeBody()
	q.rejectBody(ctl, err)
	return false
}

// longAgo is a read deadline that has passed.
var longAgo = time.Unix(1, 0)

// wideBody is the size of a part of a body from which on its connection may send more ahead.
const wideBody = 64 << 10

// readHeld reads the body up to the request's deadline.
func (q *request) readHeld(ctl *http.ResponseController, l route.Limits) (body [][]byte, err error) {
	_ = ctl.SetReadDeadline(q.deadline())
	defer context.AfterFunc(q.gateway.serving, func() { _ = ctl.SetReadDeadline(longAgo) })()
	conn, _ := q.w.(callers.Response)
	wide := false
	body, err = readBody(q.r, l, func(bytes int64) error {
		err := q.held.Extend(bytes, q.endOfWait)
		if err == nil && !wide && conn != nil && bytes >= wideBody {
			wide = conn.Widen(guard.BodyReceiveBuffer)
		}
		return err
	})
	if refusal := q.held.Refused(); refusal != nil {
		return nil, refusal
	}
	if err != nil {
		return nil, err
	}
	_ = ctl.SetReadDeadline(time.Time{})
	return body, q.held.Complete()
}

// callerName returns the account of the request, or the address of its caller without one.
func (q *request) callerName() string {
	if q.account != nil {
		return "account " + q.account.Name
	}
	host, _, _ := strings.Cut(q.r.RemoteAddr, ":")
	return host
}

// endOfWait reports whether a wait for room has to end. The server doesn't read the connection
// meanwhile, so the caller's close has to be looked for.
func (q *request) endOfWait(now time.Time) bool {
	select {
	case <-q.gateway.giveUp:
		return true
	case <-q.r.Context().Done():
		return true
	default:
	}
	return !now.Before(q.deadline()) || callerHungUp(q.r)
}

// rejectBody answers a request whose body couldn't be read.
func (q *request) rejectBody(ctl *http.ResponseController, err error) {
	var noMemory *guard.Refusal
	switch {
	case errors.Is(err, errBodyTooLong):
		q.respond(http.StatusRequestEntityTooLarge, "toolong")
	case errors.As(err, &noMemory):
		q.noMemory = noMemory
		q.setServed(false)
		q.refuseUnread(ctl, func() { q.refuse(reasonNoMemory, noMemory.RetryAfter) })
	case errors.Is(err, guard.ErrWaitEnded) && !callerHungUp(q.r):
		q.refuseUnread(ctl, func() { q.refuse(reasonNoMemory, noConfigRetry) })
	case errors.Is(err, os.ErrDeadlineExceeded) && q.gateway.serving.Err() != nil:
		q.refuseLeaving()
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.refuseUnread(ctl, func() { q.respond(http.StatusRequestTimeout, reasonSlowBody) })
	default:
		q.gateway.log.WithError(withoutContent(err)).WithField(logs.FieldRequest, q.id).Info("could not read the request body")
		panic(http.ErrAbortHandler)
	}
}

// maxDiscardTime bounds how long the rest of a body is read and dropped after the deadline of its
// request.
const maxDiscardTime = 500 * time.Millisecond

// refuseUnread answers a request whose body hasn't been read. It reads the rest: closing a
// connection with unread bytes resets it, and the caller, which may read the response only once it
// has sent the body, would lose the response.
func (q *request) refuseUnread(ctl *http.ResponseController, respond func()) {
	_ = ctl.EnableFullDuplex()
	q.w.Header().Set("Connection", "close")
	respond()
	_ = ctl.Flush()
	end := time.Now()
	if d := q.deadline(); d.After(end) {
		end = d
	}
	_ = ctl.SetReadDeadline(end.Add(maxDiscardTime))
	_, _ = io.Copy(io.Discard, q.r.Body)
}

// closeBody ends the use of the request's body.
func (q *request) closeBody() {
	q.body = nil
	if q.held != nil {
		q.held.Close()
	}
}
