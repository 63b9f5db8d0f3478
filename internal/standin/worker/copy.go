package worker

import (
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Copy is how a response to an earlier request with the same ID on the same connection comes again,
// once the request has been read, ahead of its own response.
type Copy uint8

// Copies.
const (
	NoCopy      Copy = iota
	WholeCopy        // in one packet
	SplitCopy        // in two packets
	PartialCopy      // without the second half of its body
)

// splitPause is the time between the packets of a SplitCopy.
const splitPause = 2 * time.Millisecond

// send sends a response and keeps it for copies.
func (c *conn) send(id, response string) {
	c.sent[id] = response
	_, _ = io.WriteString(c, response)
}

// sendCopy sends the latest response to an ID again, if there is one.
func (c *conn) sendCopy(kind Copy, id string) {
	response, ok := c.sent[id]
	if kind == NoCopy || !ok {
		return
	}
	c.worker.set(func() { c.worker.copies++ })
	head, body, _ := strings.Cut(response, "\r\n\r\n")
	switch kind {
	case SplitCopy:
		_, _ = io.WriteString(c, response[:len(head)/2])
		time.Sleep(splitPause)
		response = response[len(head)/2:]
	case PartialCopy:
		response = response[:len(response)-(len(body)+1)/2]
	}
	_, _ = io.WriteString(c, response)
}

// Copies returns how many copies the worker has sent.
func (w *Worker) Copies() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.copies
}

// Head is what is odd about the head of a response.
type Head uint8

// Heads. The connection ends after the response.
const (
	SoundHead     Head = iota
	SpacedChunked      // a blank in the name of Transfer-Encoding, and a body in chunks
	SpacedLength       // a blank in the name of Content-Length
	Status600
	Status999
)

// response returns a response from its status code on. lines are header lines.
func (h Head) response(lines, text string) string {
	length := "Content-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n"
	switch h {
	case SpacedChunked:
		return fmt.Sprintf("200 OK%sTransfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", lines, len(text), text)
	case SpacedLength:
		return "200 OK" + lines + "Content-Length : 1\r\n\r\n" + text
	case Status600:
		return "600 Odd" + lines + length + text
	case Status999:
		return "999 Odd" + lines + length + text
	}
	return "200 OK" + lines + length + text
}

// resetEarly logs a run, responds without a length before it reads the body, and resets the connection.
func (w *Worker) resetEarly(k *conn, r *http.Request, f Fault) {
	i := w.logRun(r, "")
	w.set(func() { w.runs[i].Unread = true })
	id := r.Header.Get("Plumpitch-Request-Id")
	_, _ = io.WriteString(k, "HTTP/1.1 200 OK\r\nPlumpitch-Request-Id: "+id+"\r\nPlumpitch-Response-Signature: signed-by-"+w.ID+"\r\n\r\n"+strings.Repeat("x", f.Length))
	time.Sleep(f.EarlyReset)
	reset(k.Conn)
}

// maxLoggedBody is the length up to which bodies are logged and sent back as they are.
const maxLoggedBody = 1 << 10

// Digest returns a body, or if it is long, its length and checksum.
func Digest(body string) string {
	if len(body) <= maxLoggedBody {
		return body
	}
	return fmt.Sprintf("%d bytes, checksum %08x", len(body), crc32.ChecksumIEEE([]byte(body)))
}
