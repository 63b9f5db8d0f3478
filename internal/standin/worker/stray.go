package worker

import (
	"io"
	"strings"
)

// StrayRefusal returns a refusal with these request IDs, which says that a request didn't run.
func StrayRefusal(ids ...string) string {
	return strayHead("503 Service Unavailable", ids) + "Plumpitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
}

// StrayRateRefusal returns a refusal with status 429.
func StrayRateRefusal(ids ...string) string {
	return strayHead("429 Too Many Requests", ids) + "Plumpitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
}

// StrayReport returns a failure in which the target says that it leaves and accepts no requests.
func StrayReport(ids ...string) string {
	return strayHead("500 Internal Server Error", ids) + "Server-Leaving: 1\r\nServer-Limit: 0\r\nContent-Length: 0\r\n\r\n"
}

// StrayBeginning returns the beginning of a refusal that ends within a header line. The head of the
// next response completes it.
func StrayBeginning() string {
	return "HTTP/1.1 503 Service Unavailable\r\nPlumpitch-Not-Executed: 1\r\nX-Cut: a"
}

// StraySuccessBeginning returns the beginning of a success that ends within a header line.
func StraySuccessBeginning() string { return "HTTP/1.1 200 OK\r\nX-Cut: a" }

// StraySuccess returns a signed response with these request IDs.
func StraySuccess(ids ...string) string {
	return strayHead("200 OK", ids) + "Plumpitch-Response-Signature: stray\r\nContent-Length: 5\r\n\r\nstray"
}

// StrayFailure returns a signed response with status 500 and these request IDs.
func StrayFailure(ids ...string) string {
	return strayHead("500 Internal Server Error", ids) + "Plumpitch-Response-Signature: stray\r\nContent-Length: 0\r\n\r\n"
}

// StrayMisdirected returns a response of another target with these request IDs.
func StrayMisdirected(ids ...string) string {
	return strayHead("421 Misdirected Request", ids) + "Plumpitch-Instance-Id: i-stray\r\nContent-Length: 0\r\n\r\n"
}

// StrayHealth returns a response to a health check of a target.
func StrayHealth(target string) string {
	return strayHead("200 OK", nil) + "Plumpitch-Instance-Id: " + target + "\r\nPlumpitch-Server-Load: 0,0,2\r\nContent-Length: 0\r\n\r\n"
}

func strayHead(status string, ids []string) string {
	head := "HTTP/1.1 " + status + "\r\n"
	for _, id := range ids {
		head += "Plumpitch-Request-Id: " + id + "\r\n"
	}
	return head
}

// Endless is what a worker sends until its caller closes the connection.
type Endless uint8

// Kinds of bytes without end.
const (
	NotEndless Endless = iota
	EndlessStatusLine
	EndlessHeader
	EndlessInterim // responses with status 103
	EndlessBody    // chunked, after the head of a success
	EndlessRefusal // chunked, after the head of a refusal
)

// endlessBlock is the number of bytes of one write.
const endlessBlock = 4 << 10

// sendEndless sends bytes until the caller closes the connection. The head has these lines. It
// returns the number of bytes.
func sendEndless(w io.Writer, kind Endless, lines string) (sent int64) {
	start, repeat := "", strings.Repeat("x", endlessBlock)
	chunk := "1000\r\n" + repeat + "\r\n"
	switch kind {
	case EndlessHeader:
		start, repeat = "HTTP/1.1 200 OK\r\n"+lines, "X-Long: "+repeat+"\r\n"
	case EndlessInterim:
		repeat = "HTTP/1.1 103 Early Hints\r\nLink: " + repeat + "\r\n\r\n"
	case EndlessBody:
		start, repeat = "HTTP/1.1 200 OK\r\nPlumpitch-Response-Signature: stray\r\n"+lines+"Transfer-Encoding: chunked\r\n\r\n", chunk
	case EndlessRefusal:
		start, repeat = "HTTP/1.1 503 Service Unavailable\r\nPlumpitch-Not-Executed: 1\r\n"+lines+"Transfer-Encoding: chunked\r\n\r\n", chunk
	}
	for text := start + repeat; ; text = repeat {
		n, err := io.WriteString(w, text)
		sent += int64(n)
		if err != nil {
			return sent
		}
	}
}

// EndlessBytes returns how many bytes Fault.Endless has sent, until callers closed.
func (w *Worker) EndlessBytes() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endlessBytes
}

// sendEndless sends bytes until the caller closes the connection, and counts them.
func (w *Worker) sendEndless(k *conn, kind Endless, lines string) {
	n := sendEndless(k, kind, lines)
	w.set(func() { w.endlessBytes += n })
}
