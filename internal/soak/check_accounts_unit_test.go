package soak

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/objects"
	"plumpitch.example/plumpitch/internal/standin/worker"
)

// records are made-up records of clients and targets. Account a has keys a1 and a2 and a limit
// of 10 requests a second with a burst of 10; account b has key b1 and no limit to speak of.
type records struct {
	*checker
	start time.Time // an hour after the configuration was written
	g     *gateway
	k     *target
}

func newRecords() *records {
	s := &site{startedAt: time.Now()}
	r := &records{start: s.startedAt.Add(time.Hour), g: &gateway{site: s, name: "g"}, k: &target{Worker: &worker.Worker{ID: "i-0"}}}
	s.gateways = []*gateway{r.g}
	s.accounts = []*clientAccount{{name: "a"}, {name: "b"}}
	r.checker = newChecker(s, nil)
	r.write(-time.Hour, 10, "a1", "a2")
	return r
}

// write records that the store accepted a configuration with this limit and keys of account a.
func (r *records) write(at time.Duration, rate float64, keys ...string) {
	r.site.versions = append(r.site.versions, accountVersion{r.start.Add(at), r.start.Add(at), []objects.Account{
		{Name: "a", Keys: keys, Rate: rate, Burst: rate}, {Name: "b", Keys: []string{"b1"}, Rate: 1000, Burst: 1000},
	}})
}

// send records a request that was sent at a time and answered with a status 20 ms later.
func (r *records) send(at time.Duration, key string, status int) *attempt {
	a := &attempt{
		id: fmt.Sprintf("q%d", len(r.attempts)), gateway: r.g, credentials: credentials{key: key}, status: status,
		sentAt: r.start.Add(at), endedAt: r.start.Add(at + 20*time.Millisecond),
	}
	r.attempts, r.byID[a.id] = append(r.attempts, a), a
	return a
}

// run records that a target ran a request as one of an account.
func (r *records) run(at time.Duration, a *attempt, account string) {
	r.addRuns(r.k, []worker.Run{{Request: a.id, StartedAt: r.start.Add(at), Account: account, Status: 200}}, true)
}

// serve records n requests of an account, one every gap, that were run and answered.
func (r *records) serve(at, gap time.Duration, n int, key, account string) {
	for i := range n {
		t := at + time.Duration(i)*gap
		r.run(t+time.Millisecond, r.send(t, key, 200), account)
	}
}

func (r *records) check() []string {
	r.sort()
	r.checkAccounts()
	for _, a := range r.attempts {
		if impliesNotRun(a.status) || a.responseID != "" {
			r.checkResponse(a)
		}
	}
	return r.violations
}

const second = time.Second

// Guards against checks of client accounts that pass whatever gateways do, or that take what
// the requirements allow for a violation.
func TestAccountChecks(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		make func(r *records)
		want string // empty: no violation
	}{
		{"own account", func(r *records) { r.serve(0, ms, 10, "a1", "a") }, ""},
		{"account of another key", func(r *records) { r.serve(0, ms, 1, "a1", "b") }, `.* of "a" reached .* as one of "b"`},
		{"account that the client names", func(r *records) { r.serve(0, ms, 1, "a1", "a, "+forgedAccount) }, `.* as one of "a, client-forged"`},
		{"no account", func(r *records) { r.serve(0, ms, 1, "a1", "") }, `.* as one of ""`},
		{"account without a key", func(r *records) {
			a := r.send(0, "", 200)
			a.kind.public = true
			r.run(0, a, "a")
		}, `.* of "" reached .* as one of "a"`},
		{"public route without a key", func(r *records) {
			a := r.send(0, "", 200)
			a.kind.public = true
			r.run(0, a, "")
		}, ""},
		{"public route with a key, without the account", func(r *records) {
			a := r.send(0, "a1", 200)
			a.kind.public = true
			r.run(0, a, "")
		}, `.* without an account`},
		{"no key", func(r *records) { r.serve(0, ms, 1, "", "") }, `.* without a known key .*`},
		{"key that nobody ever had", func(r *records) { r.serve(0, ms, 1, falseKey, "") }, `.* without a known key .*`},
		{"key at a target that refuses", func(r *records) {
			r.addRuns(r.k, []worker.Run{{Request: r.send(0, "a1", 200).id, StartedAt: r.start, Account: "a", LeakedKey: "Bearer a1"}}, false)
		}, `.* received a key .*`},
		{"removed key within the bound", func(r *records) {
			r.write(0, 10, "a2")
			r.serve(4900*ms, ms, 1, "a1", "a")
		}, ""},
		{"removed key after the bound", func(r *records) {
			r.write(0, 10, "a2")
			r.serve(5100*ms, ms, 1, "a1", "a")
		}, `.* after its key had been removed`},
		{"removed key, store down for some", func(r *records) {
			r.write(0, 10, "a2")
			r.site.partialLosses = []interval{r.during(-second, 9*second)}
			r.serve(5100*ms, ms, 1, "a1", "a")
		}, `.* after its key had been removed`},
		{"removed key, no contact", func(r *records) {
			r.write(0, 10, "a2")
			r.site.partialLosses = []interval{r.during(-second, 9*second)}
			r.site.cuts = []interval{r.during(-2*second, 8*second)}
			r.serve(5100*ms, ms, 1, "a1", "a")
		}, ""},
		{"removed key, contact again for the bound", func(r *records) {
			r.write(0, 10, "a2")
			r.site.storeLosses = []interval{r.during(-second, second)}
			r.serve(6100*ms, ms, 1, "a1", "a")
		}, `.* after its key had been removed`},
		{"401 for a known key", func(r *records) { r.send(0, "a1", 401) }, `.* with status 401 at .*`},
		{"401 on a public route", func(r *records) { r.send(0, falseKey, 401).kind.public = true }, `.* on a public route .*`},
		{"401 for no key, an unknown and a removed one", func(r *records) {
			r.send(0, "", 401)
			r.send(0, falseKey, 401)
			r.write(0, 10, "a2")
			r.send(10*ms, "a1", 401)
		}, ""},
		{"401 for a new key", func(r *records) {
			r.write(0, 10, "a1", "a2", "a3")
			r.send(2400*ms, "a3", 401)
		}, ""},
		{"401 for a key that is known everywhere", func(r *records) {
			r.write(0, 10, "a1", "a2", "a3")
			r.send(2600*ms, "a3", 401)
		}, `.* with status 401 at .*`},
		{"refused and run", func(r *records) {
			a := r.send(0, "a1", 429)
			a.runOnce = true
			r.run(0, a, "a")
		}, `.* refused with status 429, but ran .*`},
		{"own response", func(r *records) { r.answer(0) }, ""},
		{"response of the next request on the connection", func(r *records) { r.answer(1) }, `.* received the response of another request.*`},
		{"full window", func(r *records) { r.serve(0, 50*ms, 86, "a1", "a") }, ""}, // (10×5 + 10) × 1.1 + 20
		{"one token too many in a window", func(r *records) { r.serve(0, 50*ms, 87, "a1", "a") }, `targets ran 87 requests of a in the 5s .*, allowed 86.0`},
		{"the same over more than a window", func(r *records) { r.serve(0, 60*ms, 87, "a1", "a") }, ""},
		{"retries that run count", func(r *records) {
			r.serve(0, 50*ms, 86, "a1", "a")
			r.run(4900*ms, r.attempts[10], "a")
		}, `targets ran 87 .*`},
		{"sent before the window", func(r *records) {
			r.serve(0, 50*ms, 86, "a1", "a")
			r.run(4900*ms, r.send(-200*ms, "a1", 200), "a")
		}, ""},
		{"both keys count", func(r *records) {
			r.serve(0, 50*ms, 44, "a1", "a")
			r.serve(0, 50*ms, 43, "a2", "a")
		}, `targets ran 87 .*`},
		{"lower limit, not in force at the start of the window", func(r *records) {
			r.write(0, 2, "a1", "a2") // (2×5 + 2) × 1.1 + 20
			r.serve(2400*ms, 140*ms, 34, "a1", "a")
		}, ""},
		{"lower limit, in force", func(r *records) {
			r.write(0, 2, "a1", "a2")
			r.serve(2600*ms, 140*ms, 34, "a1", "a")
		}, `targets ran 34 .* allowed 33.2`},
		{"lower limit, raised again", func(r *records) {
			r.write(-5*second, 2, "a1", "a2")
			r.write(5*second, 10, "a1", "a2")
			r.serve(4*second, 50*ms, 86, "a1", "a")
		}, ""},
		{"run behind a response that closes", func(r *records) {
			a := r.send(0, "a1", 0)
			a.behindClose = true
			r.run(0, a, "a")
		}, `.* behind a response .*`},
		{"few refusals in a calm time", func(r *records) { r.calm(200, 1) }, ""},
		{"one of a hundred refused in a calm time", func(r *records) { r.calm(200, 2) }, `2 of 200 requests of (b|all accounts) within its limit .*, by cause map\[target 429:[23]\]`},
		{"refused beyond the limit, in a calm time", func(r *records) {
			r.site.calm = []interval{r.during(-second, 21*second)}
			r.serve(-50*ms, 50*ms, 20, "a1", "a")
			for i := range 380 { // twice the limit, half of them refused
				r.send(time.Duration(20+i)*50*ms, "a1", 200+229*(i%2))
			}
		}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRecords()
			tt.make(r)
			got := r.check()
			if tt.want == "" {
				qt.Assert(t, got, qt.HasLen, 0)
				return
			}
			qt.Assert(t, got, qt.Not(qt.HasLen), 0)
			for _, v := range got {
				qt.Assert(t, v, qt.Matches, tt.want)
			}
		})
	}
}

// answer records two requests that ran. The first one has the response of that with the number.
func (r *records) answer(number int) {
	r.serve(0, 0, 2, "a1", "a")
	a := r.attempts[0]
	a.responseID, a.signer, a.responseBody = r.attempts[number].id, r.k.ID, "ran  "
}

// calm records n requests of account b in a calm time, some of them refused.
func (r *records) calm(n, refused int) {
	r.site.calm = []interval{r.during(-second, 9*second)}
	r.send(-2*second, "b1", 200) // from which on it has tokens
	for i := range n {
		status := 200
		if i >= n-refused {
			status = 429
		}
		r.send(time.Duration(i)*10*time.Millisecond, "b1", status)
	}
}

func (r *records) during(from, to time.Duration) interval {
	return interval{r.start.Add(from), r.start.Add(to)}
}
