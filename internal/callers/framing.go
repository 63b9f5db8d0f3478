package callers

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// sendHead writes the head and the held part of the body. next is the part that follows.
func (q *response) sendHead(next []byte) {
	q.mu.Lock()
	q.noContinue = true
	q.mu.Unlock()
	header := q.snapshot
	if header == nil {
		header = q.header
	}
	h := &head{response: q, header: header}
	h.frame()
	h.decideClose()
	if sample := q.unframed; bodyAllowed(q.status) {
		if len(sample) == 0 {
			sample = next
		}
		_, known := header["Content-Type"]
		if !known && len(sample) > 0 && header.Get("Content-Encoding") == "" && header.Get("Transfer-Encoding") == "" {
			h.contentType = http.DetectContentType(sample)
		}
	}
	q.acquireWriter()
	h.write()
	q.headSent = true
	q.writeBody(q.unframed)
	q.releaseUnframed()
}

// head is a response head that is about to be written.
type head struct {
	*response
	header      http.Header
	exclude     map[string]bool // names of header that aren't written
	contentType string
	connection  string
	addLength   bool
}

func (h *head) drop(name string) {
	if _, ok := h.header[name]; !ok {
		return
	}
	if h.exclude == nil {
		h.exclude = make(map[string]bool)
	}
	h.exclude[name] = true
}

// frame decides how the end of the body is marked.
func (h *head) frame() {
	h.findTrailers()
	isHead, allowed := h.req.Method == http.MethodHead, bodyAllowed(h.status)
	encoding := h.header.Get("Transfer-Encoding")
	if h.ended && h.length < 0 && h.trailers == nil && encoding == "" && allowed && (!isHead || h.written > 0) {
		h.length, h.addLength = h.written, true
	}
	if h.length >= 0 && encoding != "" && encoding != "identity" {
		h.length = -1
	}
	if h.length < 0 {
		h.drop("Content-Length")
	}
	h.drop("Transfer-Encoding")
	if !allowed && h.status != http.StatusNotModified {
		h.drop("Content-Length")
	}
	if !allowed {
		h.drop("Content-Type")
	}
	if isHead || !allowed || h.length >= 0 {
		return
	}
	h.chunked = h.req.ProtoAtLeast(1, 1)
	h.cut = !h.chunked
}

// findTrailers lists the trailers that are declared.
func (h *head) findTrailers() {
	for name := range h.header {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			h.drop(name)
			h.trailers = append(h.trailers, name)
		}
	}
	for _, v := range h.header["Trailer"] {
		for name := range strings.SplitSeq(v, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); name != "" && !notTrailer[name] {
				h.trailers = append(h.trailers, name)
			}
		}
	}
}

// notTrailer are the names that are never sent as a trailer (RFC 9110, 6.5.1).
var notTrailer = map[string]bool{
	"Authorization": true, "Cache-Control": true, "Connection": true, "Content-Encoding": true, "Content-Length": true,
	"Content-Range": true, "Content-Type": true, "Expect": true, "Host": true, "Keep-Alive": true, "Max-Forwards": true,
	"Pragma": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true, "Range": true,
	"Realm": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Www-Authenticate": true,
}

// decideClose decides whether the connection ends with this response. Only the last response
// that is sent says so.
func (h *head) decideClose() {
	q := h.response
	if h.req.ProtoMajor == 1 && h.req.ProtoMinor == 0 && !h.wantsClose && !h.cut {
		h.connection = "keep-alive"
	}
	if q.body != nil && !q.fullDuplex && !q.body.discard() {
		h.cut = true
		q.conn.setLinger()
	}
	if h.cut || h.wantsClose || hasToken(h.header["Connection"], "close") {
		q.conn.dropAfter(q)
	}
	closes := q.conn.isLast(q)
	switch {
	case closes:
		h.drop("Connection")
		h.connection = ""
		if h.req.ProtoAtLeast(1, 1) {
			h.connection = "close"
		}
	case hasToken(h.header["Connection"], "close"):
		h.drop("Connection")
	case h.connection != "":
		h.drop("Connection")
	}
}

// write writes the head to the buffer.
func (h *head) write() {
	bw := h.bw
	h.writeStatusLine(h.status)
	if len(h.header) > 0 {
		_ = h.header.WriteSubset(bw, h.exclude)
	}
	if _, ok := h.header["Date"]; !ok {
		h.writeDate(time.Now())
	}
	if h.addLength {
		line := append(bw.AvailableBuffer(), "Content-Length: "...)
		_, _ = bw.Write(append(strconv.AppendInt(line, h.length, 10), "\r\n"...))
	}
	if h.contentType != "" {
		h.writeField("Content-Type", h.contentType)
	}
	if h.chunked {
		h.writeField("Transfer-Encoding", "chunked")
	}
	if h.connection != "" {
		h.writeField("Connection", h.connection)
	}
	_, _ = bw.WriteString("\r\n")
}

// writeField writes a header or trailer line. Errors stay in the buffer until it is flushed.
func (q *response) writeField(name, value string) {
	for _, s := range [...]string{name, ": ", value, "\r\n"} {
		_, _ = q.bw.WriteString(s)
	}
}

func (q *response) writeDate(now time.Time) {
	line := append(q.bw.AvailableBuffer(), "Date: "...)
	_, _ = q.bw.Write(append(now.UTC().AppendFormat(line, http.TimeFormat), "\r\n"...))
}

func (q *response) writeStatusLine(status int) {
	text := http.StatusText(status)
	if text == "" {
		text = "status code " + strconv.Itoa(status)
	}
	proto := "HTTP/1.1 "
	if !q.req.ProtoAtLeast(1, 1) {
		proto = "HTTP/1.0 "
	}
	_, _ = q.bw.Write(strconv.AppendInt(append(q.bw.AvailableBuffer(), proto...), int64(status), 10))
	for _, s := range [...]string{" ", text, "\r\n"} {
		_, _ = q.bw.WriteString(s)
	}
}

// writeBody writes a part of the body behind the head.
func (q *response) writeBody(p []byte) {
	if len(p) == 0 || q.req.Method == http.MethodHead || !bodyAllowed(q.status) {
		return
	}
	if q.chunked {
		_, _ = q.bw.Write(append(strconv.AppendInt(q.bw.AvailableBuffer(), int64(len(p)), 16), "\r\n"...))
	}
	_, err := q.bw.Write(p)
	if q.chunked {
		_, err = q.bw.WriteString("\r\n")
	}
	if err != nil {
		q.err = err
	}
}

// complete ends the response after its handler has returned.
func (q *response) complete() {
	q.ended = true
	q.unread = q.body != nil && !q.body.ended.Load()
	if q.status == 0 {
		q.writeHeader(http.StatusOK, 0)
	}
	if q.err == nil && !q.headSent {
		q.sendHead(nil)
	}
	if q.err == nil && q.chunked {
		q.writeEnd()
	}
	if q.err == nil {
		q.err = q.bw.Flush()
	}
	if q.req.MultipartForm != nil {
		_ = q.req.MultipartForm.RemoveAll()
	}
	mismatch := q.length >= 0 && q.length != q.written && q.req.Method != http.MethodHead && bodyAllowed(q.status)
	switch {
	case q.err != nil:
	case mismatch:
		q.conn.breakOff()
	case q.body != nil && !q.cut && !q.body.discard():
		q.conn.setLinger()
		q.conn.dropAfter(q)
	}
}

// writeEnd writes the last chunk and the trailers, declared or not.
func (q *response) writeEnd() {
	_, _ = q.bw.WriteString("0\r\n")
	trailer := make(http.Header, len(q.trailers))
	for name, values := range q.header {
		if name, ok := strings.CutPrefix(name, http.TrailerPrefix); ok && !notTrailer[name] {
			trailer[name] = values
		}
	}
	for _, name := range q.trailers {
		if values, ok := q.header[name]; ok && !strings.HasPrefix(name, http.TrailerPrefix) {
			trailer[name] = values
		}
	}
	_ = trailer.Write(q.bw)
	_, _ = q.bw.WriteString("\r\n")
}
