package harness

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Conn is a connection of a client.
type Conn struct {
	Address string
	Used    int // answers so far

	record *Record
	c      net.Conn
	br     *bufio.Reader
}

// Dial opens a connection within the second that the pages allow.
func (s *Site) Dial(address string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Address: address, record: s.Record, c: c, br: bufio.NewReader(c)}, nil
}

// Close closes the connection.
func (c *Conn) Close() { c.c.Close() }

// Request is one client attempt.
type Request struct {
	ID, Method, Path, Host string
	Deadline               time.Duration
	Body                   []byte
	Header                 string // further header lines, each with its line break
	// Pace is how many bytes of the body are sent a second; 0 sends them at once.
	Pace int
}

// Answer is the complete answer to a request.
type Answer struct {
	Status int
	Reason string // Plumpitch-Reason, in answers of the gateway's own
	Signed bool
	Body   string
	Close  bool // the connection ends with this answer
}

// NewID returns the ID of a client attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Do sends a request, reads its answer and records both. sent is when its last byte was sent, zero
// if that failed. The client leaves at its deadline.
func (c *Conn) Do(r Request) (a Answer, sent time.Time, err error) {
	c.record.Add("client sends %s %s %s, %d bytes, to %s", r.ID, r.Method, r.Path, len(r.Body), c.Address)
	a, sent, err = c.exchange(r)
	if err != nil {
		c.record.Add("client of %s gets no whole answer: %v", r.ID, err)
		return a, sent, err
	}
	c.record.Add("client of %s gets %d, signed %t, reason %q, %q", r.ID, a.Status, a.Signed, a.Reason, a.Body)
	return a, sent, nil
}

func (c *Conn) exchange(r Request) (a Answer, sent time.Time, err error) {
	_ = c.c.SetDeadline(time.Now().Add(r.Deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nPlumpitch-Request-Id: %s\r\nPlumpitch-Request-Deadline: %d\r\n", r.Method, r.Path, r.Host, r.ID, r.Deadline.Milliseconds())
	if r.Method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.Body))
	}
	if _, err = io.WriteString(c.c, head+r.Header+"\r\n"); err != nil {
		return a, sent, err
	}
	if err = c.sendBody(r); err != nil {
		return a, sent, err
	}
	sent = time.Now()
	res, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
	if err != nil {
		return a, sent, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return a, sent, err
	}
	c.Used++
	return Answer{
		Status: res.StatusCode, Reason: res.Header.Get("Plumpitch-Reason"), Body: string(body), Close: res.Close,
		Signed: res.Header.Get("Plumpitch-Response-Signature") != "",
	}, sent, nil
}

// sendBody sends a body at its pace.
func (c *Conn) sendBody(r Request) error {
	const step = 10 * time.Millisecond
	part := len(r.Body)
	if r.Pace > 0 {
		part = max(1, int(float64(r.Pace)*step.Seconds()))
	}
	next := time.Now()
	for rest := r.Body; len(rest) > 0; {
		n := min(part, len(rest))
		if _, err := c.c.Write(rest[:n]); err != nil {
			return err
		}
		if rest = rest[n:]; len(rest) > 0 {
			next = next.Add(step)
			time.Sleep(time.Until(next))
		}
	}
	return nil
}

// Resolve asks the gateways in a random order where to connect, and returns one of the addresses.
func (s *Site) Resolve(host string) (address string, err error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, i := range rand.Perm(len(s.Gateways)) {
		var list struct{ Addresses []string }
		res, e := client.Get("http://" + s.Gateways[i].IP + ":8546/resolve?name=" + host + "&region=metro&zone=zone-a")
		if e != nil {
			err = e
			continue
		}
		err = json.NewDecoder(res.Body).Decode(&list)
		res.Body.Close()
		if err == nil && res.StatusCode == http.StatusOK && len(list.Addresses) > 0 {
			return list.Addresses[rand.IntN(len(list.Addresses))], nil
		}
		if err == nil {
			err = fmt.Errorf("directory: status %d", res.StatusCode)
		}
	}
	return "", err
}
