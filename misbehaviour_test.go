package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"plumpitch.example/plumpitch/platform"
)

// misbehaviour is a kind of clients that don't behave.
type misbehaviour struct {
	name    string
	clients int
	few     bool // the clients share one source address
	play    func(ctx context.Context, a *attacker, c net.Conn)
}

// sources returns how many source addresses the clients have.
func (k misbehaviour) sources() int {
	if k.few {
		return 1
	}
	return 200
}

// attacker plays clients of one kind against an address, in a process of its own.
type attacker struct {
	address string
	path    string
	lastID  atomic.Int64
	conns   atomic.Int64
}

// Variables of the environment of an attacker's process.
const (
	attackKind    = "PLUMPITCH_TEST_KIND"
	attackAddress = "PLUMPITCH_TEST_ADDRESS"
	attackPath    = "PLUMPITCH_TEST_PATH"
	attackSize    = "PLUMPITCH_TEST_SIZE"
)

// attackerTime bounds the life of an attacker's process.
const attackerTime = 10 * clientsLoadTime

// attack plays the clients that the environment names until the standard input ends, and returns
// false if it names none.
func attack() bool {
	a := &attacker{address: os.Getenv(attackAddress), path: os.Getenv(attackPath)}
	size, _ := strconv.Atoi(os.Getenv(attackSize))
	for _, kind := range misbehaviours {
		if kind.name != os.Getenv(attackKind) {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), attackerTime)
		defer cancel()
		go func() {
			_, _ = io.Copy(io.Discard, os.Stdin)
			cancel()
		}()
		a.run(ctx, kind, size)
		fmt.Println(a.conns.Load())
		return true
	}
	return false
}

// startAttacker starts a process of clients. stop ends it and returns how many connections the
// clients have opened.
func startAttacker(t *testing.T, kind misbehaviour, address, path string, size int) (stop func() int) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), attackKind+"="+kind.name, attackAddress+"="+address, attackPath+"="+path, attackSize+"="+strconv.Itoa(size))
	var out strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &out
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return func() int {
		in.Close()
		_ = cmd.Wait()
		n, err := strconv.Atoi(strings.TrimSpace(out.String()))
		if err != nil {
			t.Errorf("attacker: %s", out.String())
		}
		return n
	}
}

// run plays clients until ctx ends. Each has a source address of its own group.
func (a *attacker) run(ctx context.Context, kind misbehaviour, size int) {
	var all sync.WaitGroup
	for n := range kind.clients * size {
		all.Go(func() {
			source := n % kind.sources()
			dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 200, byte(source), 7)}}
			for ctx.Err() == nil {
				c, err := dialer.DialContext(ctx, "tcp", a.address)
				if err == nil {
					a.conns.Add(1)
					stop := context.AfterFunc(ctx, func() { c.Close() })
					kind.play(ctx, a, c)
					stop()
					c.Close()
				}
				time.Sleep(attackPause)
			}
		})
	}
	all.Wait()
}

// attackPause is the time between two connections, or two requests, of a client.
const attackPause = 20 * time.Millisecond

// head returns the start of a head, without its empty line.
func (a *attacker) head(method string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: veil.example\r\nAuthorization: Bearer %s\r\n%s: bad-%d\r\n",
		method, a.path, foreignKey, platform.HeaderRequestID, a.lastID.Add(1))
}

var misbehaviours = []misbehaviour{
	{name: "none", play: sendNothing},
	{name: "bodies in one piece", clients: 150, play: sendBodies(clientsUpload, clientsUpload, 0, false)},
	{name: "bodies in small pieces", clients: 150, play: sendBodies(clientsUpload, 2000, time.Millisecond, false)},
	{name: "bodies in chunks", clients: 150, play: sendBodies(clientsUpload, 32<<10, 0, true)},
	{name: "bodies in tiny chunks", clients: 100, play: sendTinyChunks},
	{name: "largest bodies", clients: 30, play: sendBodies(12<<20, 12<<20, 0, false)},
	{name: "bodies in chunks with extensions", clients: 100, play: sendChunkExtensions},
	{name: "bodies that wait for 100", clients: 400, play: sendExpect},
	{name: "bodies over the limit", clients: 100, play: sendBodies(1<<40, 64<<10, 0, false)},
	{name: "bodies over the limit in chunks", clients: 100, play: sendBodies(1<<40, 64<<10, 0, true)},
	{name: "short fields", clients: 300, play: sendFields(clientsHeader-300, false)},
	{name: "short fields from one address", clients: 300, few: true, play: sendFields(clientsHeader-300, false)},
	{name: "short fields over the limit", clients: 300, play: sendFields(900<<10, false)},
	{name: "short fields without an end", clients: 800, play: sendFields(clientsHeader/2, true)},
	{name: "short fields over the limit without an end", clients: 300, play: sendFields(900<<10, true)},
	{name: "long request lines", clients: 300, play: sendLongLines(clientsHeader - 300)},
	{name: "request lines without an end", clients: 300, play: sendLongLines(1 << 30)},
	{name: "short fields ahead", clients: 300, play: sendAhead(shortFields(clientsHeader - 300))},
	{name: "short trailer fields", clients: 100, play: sendTrailer},
	{name: "requests ahead", clients: 100, play: sendAhead("")},
	{name: "requests ahead for long responses", clients: 100, play: sendAhead(fmt.Sprint(headerBytes, ": 500000\r\n"))},
	{name: "requests ahead from one address", clients: 100, few: true, play: sendAhead("")},
	{name: "body, then requests ahead", clients: 400, play: sendBodyThenAhead},
	{name: "slow heads", clients: 1500, play: sendSlowly},
	{name: "slow bodies", clients: 1500, play: sendBodySlowly},
	{name: "nothing", clients: 1500, play: sendNothing},
	{name: "a crowd of connections", clients: 4500, play: sendNothing},
	{name: "half a body", clients: 400, play: sendHalf},
	{name: "half a body, closed", clients: 100, play: sendHalfAndClose},
	{name: "slow readers", clients: 400, play: readSlowly(1000)},
	{name: "no readers", clients: 400, play: readSlowly(0)},
	{name: "new connections", clients: 100, play: sendOneAndClose},
}

// discard reads responses so that the gateway can send.
func discard(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// sendBodies sends bodies in pieces, one after the other. A body over the limit has no end.
func sendBodies(length, piece int, pause time.Duration, chunked bool) func(context.Context, *attacker, net.Conn) {
	data := strings.Repeat("v", piece)
	return func(ctx context.Context, a *attacker, c net.Conn) {
		replies := bufio.NewReader(c)
		for ctx.Err() == nil {
			framing := fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
			if chunked {
				framing = "Transfer-Encoding: chunked\r\n\r\n"
			}
			if _, err := io.WriteString(c, a.head(http.MethodPost)+framing); err != nil {
				return
			}
			for sent := 0; sent < length; {
				part := data[:min(piece, length-sent)]
				sent += len(part)
				if chunked {
					part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
				}
				if _, err := io.WriteString(c, part); err != nil {
					return
				}
				time.Sleep(pause)
			}
			if chunked {
				_, _ = io.WriteString(c, "0\r\n\r\n")
			}
			res, err := http.ReadResponse(replies, nil)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, res.Body); err != nil || res.Close {
				return
			}
		}
	}
}

// sendTinyChunks sends a body in chunks of one byte.
func sendTinyChunks(ctx context.Context, a *attacker, c net.Conn) {
	go discard(c)
	_, _ = io.WriteString(c, a.head(http.MethodPost)+"Transfer-Encoding: chunked\r\n\r\n")
	part := strings.Repeat("1\r\nv\r\n", 2000)
	for ctx.Err() == nil {
		if _, err := io.WriteString(c, part); err != nil {
			return
		}
		time.Sleep(attackPause / 4)
	}
}

// sendChunkExtensions sends a body in chunks of one byte whose lines have long extensions.
func sendChunkExtensions(ctx context.Context, a *attacker, c net.Conn) {
	go discard(c)
	_, _ = io.WriteString(c, a.head(http.MethodPost)+"Transfer-Encoding: chunked\r\n\r\n")
	part := "1;" + strings.Repeat("x", 2000) + "\r\nv\r\n"
	for ctx.Err() == nil {
		if _, err := io.WriteString(c, part); err != nil {
			return
		}
	}
}

// sendExpect sends heads whose bodies wait for a response to them, and never sends the bodies.
func sendExpect(ctx context.Context, a *attacker, c net.Conn) {
	if _, err := io.WriteString(c, a.head(http.MethodPost)+fmt.Sprintf("Content-Length: %d\r\nExpect: 100-continue\r\n\r\n", clientsUpload)); err == nil {
		keepOpen(ctx, c)
	}
}

// sendLongLines sends requests with long queries.
func sendLongLines(length int) func(context.Context, *attacker, net.Conn) {
	const piece = 4 << 10
	return func(ctx context.Context, a *attacker, c net.Conn) {
		go discard(c)
		for ctx.Err() == nil {
			method, rest, _ := strings.Cut(a.head(http.MethodGet), " HTTP/1.1")
			for sent, part := 0, method+"?"+strings.Repeat("x", piece); sent < length; sent, part = sent+piece, strings.Repeat("x", piece) {
				if _, err := io.WriteString(c, part); err != nil {
					return
				}
			}
			if _, err := io.WriteString(c, " HTTP/1.1"+rest+"\r\n"); err != nil {
				return
			}
			time.Sleep(attackPause)
		}
	}
}

// shortFields returns header lines of 6 bytes with different names.
func shortFields(length int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len() < length; i++ {
		b.WriteByte(letters[i%36])
		b.WriteByte(letters[i/36%36])
		b.WriteByte(letters[i/1296%36])
		if i >= 46656 {
			fmt.Fprint(&b, i/46656)
		}
		b.WriteString(":\r\n")
	}
	return b.String()
}

// sendFields sends heads of short fields. Heads without an end are kept open.
func sendFields(length int, endless bool) func(context.Context, *attacker, net.Conn) {
	fields := shortFields(length)
	return func(ctx context.Context, a *attacker, c net.Conn) {
		go discard(c)
		for ctx.Err() == nil {
			if _, err := io.WriteString(c, a.head(http.MethodGet)+fields); err != nil {
				return
			}
			if endless {
				trickle(ctx, c, strings.Repeat("x", 1000))
				return
			}
			if _, err := io.WriteString(c, "\r\n"); err != nil {
				return
			}
			time.Sleep(attackPause)
		}
	}
}

// sendTrailer sends chunked bodies whose trailers have many short fields.
func sendTrailer(ctx context.Context, a *attacker, c net.Conn) {
	go discard(c)
	fields := shortFields(1 << 20)
	for ctx.Err() == nil {
		if _, err := io.WriteString(c, a.head(http.MethodPost)+"Transfer-Encoding: chunked\r\n\r\n1\r\nv\r\n0\r\n"+fields+"\r\n"); err != nil {
			return
		}
		time.Sleep(attackPause)
	}
}

// keepOpen waits until the gateway closes the connection.
func keepOpen(ctx context.Context, c net.Conn) {
	for b := make([]byte, 1); ctx.Err() == nil; {
		if _, err := c.Read(b); err != nil {
			return
		}
	}
}

// sendAhead sends requests without reading the responses.
func sendAhead(fields string) func(context.Context, *attacker, net.Conn) {
	return func(ctx context.Context, a *attacker, c net.Conn) {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetReadBuffer(4 << 10)
		}
		for ctx.Err() == nil {
			if _, err := io.WriteString(c, strings.Repeat(a.head(http.MethodGet)+fields+"\r\n", 50)); err != nil {
				return
			}
			time.Sleep(attackPause)
		}
	}
}

// sendBodyThenAhead sends a large body and then requests without reading the responses.
func sendBodyThenAhead(ctx context.Context, a *attacker, c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetReadBuffer(4 << 10)
	}
	if _, err := io.WriteString(c, a.head(http.MethodPost)+fmt.Sprintf("Content-Length: %d\r\n\r\n", clientsUpload)+strings.Repeat("v", clientsUpload)); err != nil {
		return
	}
	sendAhead(fmt.Sprint(headerBytes, ": 500000\r\n", "X-Long: ", strings.Repeat("v", clientsHeader/2), "\r\n"))(ctx, a, c)
}

// slowPause is between two bytes of a slow client.
const slowPause = 100 * time.Millisecond

// trickle sends text byte by byte.
func trickle(ctx context.Context, c net.Conn, text string) bool {
	for i := 0; i < len(text) && ctx.Err() == nil; i++ {
		if _, err := io.WriteString(c, text[i:i+1]); err != nil {
			return false
		}
		time.Sleep(slowPause)
	}
	return ctx.Err() == nil
}

// sendSlowly sends a head byte by byte.
func sendSlowly(ctx context.Context, a *attacker, c net.Conn) {
	go discard(c)
	trickle(ctx, c, a.head(http.MethodGet)+"\r\n")
}

// sendBodySlowly sends a head at once and a body byte by byte.
func sendBodySlowly(ctx context.Context, a *attacker, c net.Conn) {
	go discard(c)
	if _, err := io.WriteString(c, a.head(http.MethodPost)+"Content-Length: 100000\r\n\r\n"); err == nil {
		trickle(ctx, c, strings.Repeat("v", 100000))
	}
}

// sendNothing keeps a connection open.
func sendNothing(ctx context.Context, _ *attacker, c net.Conn) { keepOpen(ctx, c) }

// sendHalf sends half of a body and keeps the connection open.
func sendHalf(ctx context.Context, a *attacker, c net.Conn) {
	if _, err := io.WriteString(c, a.head(http.MethodPost)+fmt.Sprintf("Content-Length: %d\r\n\r\n", clientsUpload)+strings.Repeat("v", clientsUpload/2)); err == nil {
		keepOpen(ctx, c)
	}
}

// sendHalfAndClose sends half of a body and closes the connection.
func sendHalfAndClose(_ context.Context, a *attacker, c net.Conn) {
	_, _ = io.WriteString(c, a.head(http.MethodPost)+fmt.Sprintf("Content-Length: %d\r\n\r\n", clientsUpload)+strings.Repeat("v", clientsUpload/2))
}

// readSlowly asks for a long response and reads it at a rate in bytes per second.
func readSlowly(rate int) func(context.Context, *attacker, net.Conn) {
	return func(ctx context.Context, a *attacker, c net.Conn) {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetReadBuffer(4 << 10)
		}
		if _, err := io.WriteString(c, a.head(http.MethodGet)+headerBytes+": 1000000\r\n\r\n"); err != nil {
			return
		}
		if rate == 0 {
			<-ctx.Done()
			return
		}
		for b := make([]byte, rate/10); ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
			if _, err := c.Read(b); err != nil {
				return
			}
		}
	}
}

// sendOneAndClose sends one request on a new connection.
func sendOneAndClose(_ context.Context, a *attacker, c net.Conn) {
	if _, err := io.WriteString(c, a.head(http.MethodGet)+"\r\n"); err == nil {
		_, _ = c.Read(make([]byte, 1))
	}
}
