package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/objects"
	"plumpitch.example/plumpitch/platform"
)

// vmSize is what the settings of a gateway give it, and how many clients don't behave there.
type vmSize struct {
	memoryMB, maxFds int
	clients          int // times as many as a misbehaviour has
	body             int // bytes of the largest body that a single request sends
}

// Sizes of VMs: a small one, and one of the users.
var (
	smallVM = vmSize{memoryMB: 100, maxFds: 1000, clients: 1, body: 16 << 20}
	usersVM = vmSize{memoryMB: 284, maxFds: 4100, clients: 3, body: 60 << 20}
)

// Limits of the configuration in TestClientsThatDontBehave, and what the clients' pages promise.
const (
	clientsHeader   = 16384    // bytes of a head
	clientsBody     = 64 << 20 // bytes of a body
	clientsUpload   = 1 << 20  // bytes of the bodies of clients that don't behave
	clientsLoadTime = 4 * time.Second
	singleTimeout   = 10 * time.Second // of a single request
	ordinaryTimeout = 2 * time.Second  // within which an ordinary caller needs its response
	checkTimeout    = time.Second      // of a readiness check or a look-up
	ordinaryKey     = "ordinary-key"
	foreignKey      = "foreign-key"
)

// Flags of TestClientsThatDontBehave. By default it plays small VMs with one core, and each kind of
// clients at some of the listeners.
var (
	allCores = flag.Bool("allcores", false, "gateways use all cores")
	allDoors = flag.Bool("alldoors", false, "play each kind of clients at all listeners")
	users    = flag.Bool("users", false, "gateways have the memory and the descriptors of the users' VMs")
)

// door is a listener of a gateway and what clients send there.
type door struct {
	name     string
	port     int
	path     string
	accounts bool // the configuration has client accounts
}

var doors = []door{
	{"front", 8548, "/a/book", false},
	{"front without a route", 8548, "/none/book", false},
	{"front with accounts", 8548, "/a/book", true},
	{"front with accounts, without a route", 8548, "/none/book", true},
	{"ready", 8542, "/readiness", false},
	{"ready without a route", 8542, "/none", false},
	{"directory", 8546, "/resolve?name=veil.example", false},
	{"directory without a route", 8546, "/none", false},
	{"entries", 7540, "/twirp/plumpitch.relay.Relay/Pull", false},
	{"metrics", 9464, "/status", false},
}

// clientsSite is a site with one gateway and clients of all kinds.
type clientsSite struct {
	*gatewaySite
	door     door
	gateway  *gatewayProcess
	refusals sync.Map // statuses and reasons of refusals
	runs     sync.Map // IDs of the requests that targets have run
	vm       vmSize
}

// newClientsSite starts a gateway with two targets that respond to everything.
func newClientsSite(t *testing.T, d door) *clientsSite {
	s := &clientsSite{gatewaySite: newGatewaySite(t, 0), door: d, vm: smallVM}
	if *users {
		s.vm = usersVM
	}
	s.memoryMB, s.maxFds, s.bounds = s.vm.memoryMB, s.vm.maxFds, `, "probesPerS=60"`
	if !*allCores {
		s.env = []string{"GOMAXPROCS=1"}
	}
	for i := range 4 {
		id := fmt.Sprint("i-", i)
		respond := hashTarget(id)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.runs.Store(r.Header.Get(platform.HeaderRequestID), true)
			respond(w, r)
		}))
		t.Cleanup(server.CloseClientConnections)
		s.store.PutTarget(objects.Target{ID: id, Address: strings.TrimPrefix(server.URL, "http://"), Service: "gowns", Place: "hall", Slots: 8})
	}
	s.configureClients()
	s.gateway = s.start(program(t))
	return s
}

// configureClients writes the configuration that the door needs.
func (s *clientsSite) configureClients() {
	s.version++
	routes := []objects.Route{{
		Name: "r-a", Host: "veil.example", Prefix: "/a/", Kind: "idempotent", Timeout: "10s", TargetLatency: "200ms", Attempts: 2, Service: "gowns",
	}}
	var accounts []objects.Account
	if s.door.accounts {
		accounts = []objects.Account{
			{Name: "ordinary", Keys: []string{ordinaryKey}, Rate: 1000, Burst: 1000},
			{Name: "foreign", Keys: []string{foreignKey}, Rate: 50, Burst: 50},
		}
	}
	s.store.BodyLimit = clientsBody
	s.store.PutAccountConfig(s.version, routes, []string{"gowns"}, accounts)
}

// address returns the address of a listener of the gateway.
func (s *clientsSite) address(port int) string { return fmt.Sprint(s.gateway.ip, ":", port) }

// tally counts the outcomes of one kind of requests.
type tally struct {
	served, failed atomic.Int64
	inRow, mostRow atomic.Int64 // failures in a row
	slowest        atomic.Int64 // nanoseconds of the slowest served request
}

func (c *tally) add(ok bool, took time.Duration) {
	if ok {
		c.served.Add(1)
		c.inRow.Store(0)
		c.slowest.Store(max(c.slowest.Load(), int64(took)))
		return
	}
	c.failed.Add(1)
	c.mostRow.Store(max(c.mostRow.Load(), c.inRow.Add(1)))
}

func (c *tally) String() string {
	return fmt.Sprintf("%d served, %d failed, %d of them in a row, slowest %v", c.served.Load(), c.failed.Load(), c.mostRow.Load(), time.Duration(c.slowest.Load()).Round(time.Millisecond))
}

// get sends a request to a listener without a kept connection, as readiness checks do.
func (s *clientsSite) get(port int, path string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address(port)+path, nil)
	if err != nil {
		return false
	}
	r.Close = true
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && res.StatusCode == http.StatusOK
}

// call sends a request inside the limits, which is tried again once as the clients' pages say, and
// reports whether it was served in time.
func (s *clientsSite) call(client *http.Client, id string, body []byte, timeout time.Duration, change func(r *http.Request)) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for attempt := range 2 {
		name := fmt.Sprint(id, "-", attempt)
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address(8548)+"/a/book", bytes.NewReader(body))
		if err != nil {
			return false
		}
		r.Host = "veil.example"
		r.Header.Set(platform.HeaderRequestID, name)
		r.Header.Set("Authorization", "Bearer "+ordinaryKey)
		if change != nil {
			change(r)
		}
		res, err := client.Do(r)
		if err != nil {
			s.refusals.Store(fmt.Sprintf("%.120v", err), true)
			client.CloseIdleConnections()
			continue
		}
		text, err := io.ReadAll(res.Body)
		res.Body.Close()
		hash := sha256.Sum256(body)
		switch res.StatusCode {
		case http.StatusOK:
			if err == nil && string(text) == hex.EncodeToString(hash[:]) {
				return true
			}
		case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusMisdirectedRequest:
			s.refusals.Store(fmt.Sprint(res.StatusCode, " ", res.Header.Get("Plumpitch-Reason")), true)
			_, ran := s.runs.Load(name)
			s.q.Check(ran, qt.IsFalse, qt.Commentf("%s was refused by %d and has run", name, res.StatusCode))
			pause, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
			time.Sleep(time.Duration(min(pause, timeout.Seconds()/3) * float64(time.Second)))
		default:
			s.t.Logf("%s: status %d %q", name, res.StatusCode, res.Header.Get("Plumpitch-Reason"))
			return false
		}
		client.CloseIdleConnections()
	}
	return false
}

// callRaw sends one request whose header has the largest size, in lines of a length, and reports
// whether it was served.
func (s *clientsSite) callRaw(id string, length int) bool {
	c, err := net.DialTimeout("tcp", s.address(8548), checkTimeout)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(singleTimeout))
	header := fmt.Sprintf("Host: veil.example\r\nAuthorization: Bearer %s\r\n%s: %s\r\n", ordinaryKey, platform.HeaderRequestID, id)
	fields := shortFields(clientsHeader)
	for i := 0; len(header)+length <= clientsHeader; i++ {
		header += strings.Replace(fields[6*i:6*i+6], "\r", strings.Repeat("v", length-6)+"\r", 1)
	}
	if _, err := io.WriteString(c, "GET /a/book HTTP/1.1\r\n"+header+"\r\n"); err != nil {
		return false
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.t.Logf("%s: %v", id, err)
		return false
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		s.t.Logf("%s: status %d", id, res.StatusCode)
	}
	return res.StatusCode == http.StatusOK
}

// Rates of the clients that behave.
const (
	ordinaryCallers = 6
	ordinaryPause   = 50 * time.Millisecond
	checkPause      = 100 * time.Millisecond
)

// playOrdinary plays the clients that behave until ctx ends.
func (s *clientsSite) playOrdinary(ctx context.Context, all *sync.WaitGroup) (calls, checks, lookups *tally) {
	calls, checks, lookups = &tally{}, &tally{}, &tally{}
	for n := range ordinaryCallers {
		all.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := 0; ctx.Err() == nil; i++ {
				began := time.Now()
				calls.add(s.call(client, fmt.Sprint("ordinary-", n, "-", i), []byte("veil"), ordinaryTimeout, nil), time.Since(began))
				if n%2 == 0 {
					client.CloseIdleConnections()
				}
				time.Sleep(ordinaryPause)
			}
		})
	}
	for _, c := range []struct {
		port  int
		path  string
		tally *tally
	}{{8542, "/readiness", checks}, {8546, "/resolve?name=veil.example&region=metro", lookups}} {
		all.Go(func() {
			for ctx.Err() == nil {
				began := time.Now()
				c.tally.add(s.get(c.port, c.path), time.Since(began))
				time.Sleep(checkPause)
			}
		})
	}
	return calls, checks, lookups
}

// usage is what a process holds.
type usage struct {
	anon    int64 // bytes of anonymous memory
	unread  int64 // bytes in the kernel that the process hasn't read
	unsent  int64 // bytes in the kernel that its clients haven't read
	sockets int64
	sum     int64 // bytes at the same time
}

// usageOf measures a process. Bytes in the kernel are read from its table by the address that only this
// process listens on.
func usageOf(pid int, address string) (u usage) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, rest, _ := strings.Cut(string(text), "RssAnon:")
	field, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	kb, _ := strconv.ParseInt(field, 10, 64)
	u.anon = kb << 10
	if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
		u.sockets = int64(len(files))
	}
	table, _ := os.ReadFile("/proc/net/tcp")
	ip := net.ParseIP(address).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		if len(f) < 5 || !strings.HasPrefix(f[1], local) || f[3] == "0A" {
			continue
		}
		unsent, unread, _ := strings.Cut(f[4], ":")
		n, _ := strconv.ParseInt(unread, 16, 64)
		u.unread += n
		n, _ = strconv.ParseInt(unsent, 16, 64)
		u.unsent += n
	}
	return u
}

// watch measures the gateway until ctx ends. It kills a gateway beyond its memory.
func (s *clientsSite) watch(ctx context.Context) (most usage) {
	for ; ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		u := usageOf(s.gateway.cmd.Process.Pid, s.gateway.ip)
		most.anon, most.unread, most.unsent, most.sockets = max(most.anon, u.anon), max(most.unread, u.unread), max(most.unsent, u.unsent), max(most.sockets, u.sockets)
		sum := u.anon + u.unread + u.unsent
		most.sum = max(most.sum, sum)
		if sum > int64(s.vm.memoryMB)*1e6 {
			s.q.Check(sum, qt.Equals, int64(s.vm.memoryMB)*1e6, qt.Commentf("the gateway is beyond its memory: %+v", u))
			s.gateway.signal(syscall.SIGKILL)
			return most
		}
	}
	return most
}

// Guards against clients that end a gateway, or keep it from serving others, by what they send or
// leave unread.
func TestClientsThatDontBehave(t *testing.T) {
	limit := make(chan struct{}, max(1, runtime.NumCPU()/4)) // gateways at a time
	for i, kind := range misbehaviours {
		for j, d := range doors {
			const some = 4 // a kind plays at one in so many listeners
			if !*allDoors && (i+j)%some != 0 {
				continue
			}
			t.Run(d.name+"/"+kind.name, func(t *testing.T) {
				t.Parallel()
				limit <- struct{}{}
				defer func() { <-limit }()
				newClientsSite(t, d).playKind(kind)
			})
		}
	}
}

// playKind plays a kind of clients beside ordinary ones, and then single requests.
func (s *clientsSite) playKind(kind misbehaviour) {
	ctx, cancel := context.WithTimeout(s.t.Context(), clientsLoadTime)
	defer cancel()
	var all sync.WaitGroup
	calls, checks, lookups := s.playOrdinary(ctx, &all)
	stop := startAttacker(s.t, kind, s.address(s.door.port), s.door.path, s.vm.clients)
	most := s.watch(ctx)
	all.Wait()
	s.t.Logf("%d connections; at most %d MB of memory, %d MB unread, %d MB unsent, %d MB in all, %d descriptors",
		stop(), most.anon/1e6, most.unread/1e6, most.unsent/1e6, most.sum/1e6, most.sockets)
	s.logRefusals("refused")
	s.t.Logf("callers: %v; readiness: %v; look-ups: %v", calls, checks, lookups)
	select {
	case err := <-s.gateway.exited:
		s.gateway.exited <- err // for the cleanup
		s.t.Fatalf("the gateway ended: %v", err)
	default:
	}
	s.q.Check(most.sockets <= int64(s.vm.maxFds), qt.IsTrue, qt.Commentf("%d descriptors", most.sockets))
	s.checkServed("callers", calls)
	s.checkServed("readiness checks", checks)
	s.checkServed("look-ups", lookups)
	s.checkSingles()
	s.gateway.signal(syscall.SIGTERM)
	select {
	case err := <-s.gateway.exited:
		s.q.Check(err, qt.IsNil)
	case <-time.After(5 * time.Second): // the grace period is 3 s
		s.q.Check("running", qt.Equals, "stopped", qt.Commentf("after SIGTERM"))
	}
}

// logRefusals logs how requests were refused since the last call.
func (s *clientsSite) logRefusals(prefix string) {
	s.refusals.Range(func(refusal, _ any) bool {
		s.t.Logf("%s: %v", prefix, refusal)
		return true
	})
	s.refusals.Clear()
}

// checkServed requires that 9 of 10 requests were served, and no two in a row were not where one
// client sends them.
func (s *clientsSite) checkServed(name string, c *tally) {
	served, failed := c.served.Load(), c.failed.Load()
	s.q.Check(served >= 9*failed && served > 0, qt.IsTrue, qt.Commentf("%s: %v", name, c))
	if name != "callers" {
		s.q.Check(c.mostRow.Load() < 2, qt.IsTrue, qt.Commentf("%s: %v", name, c))
	}
}

// checkSingles sends single requests at the limits of the configuration, one after the other.
func (s *clientsSite) checkSingles() {
	full := bytes.Repeat([]byte("v"), s.vm.body)
	const padding = clientsHeader - 300 // the rest is for the lines that each request has
	tests := []struct {
		name   string
		body   []byte
		change func(*http.Request)
	}{
		{"small", []byte("veil"), nil},
		{"largest body", full, nil},
		{"largest body in chunks", full, func(r *http.Request) {
			r.ContentLength, r.Body = -1, io.NopCloser(bytes.NewReader(full))
		}},
		{"largest body in small pieces", full, func(r *http.Request) {
			r.Body = io.NopCloser(&pacedReader{Reader: bytes.NewReader(full), rate: float64(s.vm.body)})
		}},
		{"largest head", []byte("veil"), func(r *http.Request) { r.Header.Set("X-Long", strings.Repeat("v", padding)) }},
	}
	time.Sleep(200 * time.Millisecond) // connections of the load end
	for _, tt := range tests {
		client, began := &http.Client{Transport: &http.Transport{}}, time.Now()
		s.q.Check(s.call(client, "single "+tt.name, tt.body, singleTimeout, tt.change), qt.IsTrue, qt.Commentf("single request: %s", tt.name))
		s.t.Logf("single request: %s: %v", tt.name, time.Since(began).Round(time.Millisecond))
		s.logRefusals("refused: " + tt.name)
		client.CloseIdleConnections()
	}
	for _, n := range []int{6, 60} {
		s.q.Check(s.callRaw(fmt.Sprint("raw-", n), n), qt.IsTrue, qt.Commentf("single request: largest head in lines of %d bytes", n))
	}
	s.q.Check(s.get(8542, "/readiness"), qt.IsTrue)
	s.q.Check(s.get(8546, "/resolve?name=veil.example&region=metro"), qt.IsTrue)
	s.q.Check(s.get(9464, "/metrics"), qt.IsTrue)
}
