package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/endless"
)

// endlessPeer sends a head and then blocks of the text until its caller closes.
func endlessPeer(t *testing.T, head, text string) (address string, sent *atomic.Int64) {
	sent = new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, head)
		for block := strings.Repeat(text, 64<<10/len(text)); ; {
			n, err := io.WriteString(c, block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	t.Cleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://"), sent
}

// maxEndlessBytes bounds what may be read of a peer's bytes without end, with the buffers of the kernel.
const maxEndlessBytes = 24 << 20

// Guards against a peer whose bytes without end fill the memory of an entry.
func TestPeerResponseWithoutEnd(t *testing.T) {
	tests := []struct{ name, head, text string }{
		{"head", "HTTP/1.1 200 OK\r\n", "X-Long: x\r\n"},
		{"body", "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n", "xxxxxxxx"},
		{"error", "HTTP/1.1 500 Internal Server Error\r\nContent-Type: application/json\r\n\r\n", "xxxxxxxx"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			r := startRelay(t, fixedSource{}, ignorePacket)
			address, sent := endlessPeer(t, tt.head, tt.text)
			began := time.Now()
			_, err := r.Pull(context.Background(), address, PullQuery{})
			c.Assert(err, qt.IsNotNil)
			c.Assert(time.Since(began) < 2*callTimeout, qt.IsTrue)
			time.Sleep(50 * time.Millisecond)
			c.Assert(sent.Load() < maxEndlessBytes, qt.IsTrue, qt.Commentf("%d bytes", sent.Load()))
		})
	}
}

// endlessReader returns bytes without end and counts them. With a pause, it returns one at a time.
type endlessReader struct {
	pause time.Duration
	read  atomic.Int64
}

func (e *endlessReader) Read(p []byte) (int, error) {
	if e.pause > 0 {
		time.Sleep(e.pause)
		p = p[:1]
	}
	e.read.Add(int64(len(p)))
	return len(p), nil
}

// Guards against a peer whose request without end fills the memory of an entry, or holds a connection.
func TestPeerRequestWithoutEnd(t *testing.T) {
	for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
		c := qt.New(t)
		r := startRelay(t, fixedSource{}, ignorePacket)
		body := &endlessReader{pause: pause}
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Address()+"/twirp/plumpitch.relay.Relay/Deliver", body)
		c.Assert(err, qt.IsNil)
		req.Header.Set("Content-Type", "application/protobuf")
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
		}
		c.Assert(ctx.Err(), qt.IsNil, qt.Commentf("still reading after %d bytes", body.read.Load()))
		c.Assert(body.read.Load() < maxEndlessBytes, qt.IsTrue, qt.Commentf("%d bytes", body.read.Load()))
	}
}

// Guards against peers whose responses without end, to many calls at a time, fill the memory of an entry.
func TestManyPeerResponsesWithoutEnd(t *testing.T) {
	const calls, maxHeap, maxRead = 8, 8 * 5 * (8 << 20), 8 * (10 << 20)
	for _, tt := range endless.Cases("Content-Type: application/protobuf\r\n") {
		t.Run(tt.Name, func(t *testing.T) {
			c := qt.New(t)
			relay := startRelay(t, fixedSource{}, ignorePacket)
			r, err := endless.Call(tt, calls, func(address string) error {
				ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
				defer cancel()
				_, err := relay.Pull(ctx, address, PullQuery{})
				return err
			})
			c.Assert(err, qt.IsNil)
			c.Assert(r.Complete, qt.Equals, 0)
			c.Assert(r.Heap < maxHeap, qt.IsTrue, qt.Commentf("%d KB", r.Heap>>10))
			c.Assert(r.Longest < 3*callTimeout, qt.IsTrue, qt.Commentf("%v", r.Longest))
			c.Assert(tt.Slow || r.Sent < maxRead, qt.IsTrue, qt.Commentf("%d KB", r.Sent>>10))
		})
	}
}
