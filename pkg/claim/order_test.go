package claim

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/ring"
)

// init asks for long sequences, the same in each run; flags on the command line
// go before it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.steps", "200")
	_ = flag.Set("rapid.checks", "1000")
}

// orders is a few replicas and coordinators whose messages arrive in any order,
// twice or never.
type orders struct {
	now      time.Time
	bounds   ring.Config
	replicas []*replica
	dead     []ring.Ident
	ring     ring.Ring // newest
	attempts []*trial
	messages []message
	runs     map[string]int // by key
	bodies   map[string]int // by key and fingerprint
	bad      string
}

type replica struct {
	member ring.Member
	table  *Table
	ring   ring.Ring
	plan   *Copy
	synced uint64
	heard  ring.Contact
}

type trial struct {
	*Attempt
	claim   Claim
	at      *replica
	running bool
}

func newOrders() *orders {
	o := &orders{now: epoch, bounds: ring.Default(), runs: map[string]int{}, bodies: map[string]int{}}
	o.bounds.Pause = 0
	o.bounds.Join = 0
	o.bounds.Skew = 0 // one clock, so that keys from right after a loss are tried
	for i := range 6 {
		o.start(fmt.Sprintf("e%d", i), 1)
	}
	o.ring = ring.Ring{Revision: 1, Members: fleet(5, 1)}
	for _, r := range o.replicas {
		o.adopt(r)
		for _, m := range o.ring.Members {
			r.heard.Heard(o.now, m.Ident)
		}
	}
	return o
}

func (o *orders) start(name string, boot uint64) {
	m := ring.Member{Ident: ring.Ident{Name: name, Boot: boot}, Place: name}
	o.replicas = append(o.replicas, &replica{member: m, table: New(Default(m.Ident, epoch))})
}

func (o *orders) find(name string) *replica {
	for _, r := range o.replicas {
		if r.member.Name == name {
			return r
		}
	}
	return nil
}

func (o *orders) adopt(r *replica) {
	if !o.ring.Newer(r.ring) {
		return
	}
	r.ring = o.ring
	r.table.Adopt(r.ring.Revision)
	r.heard.Keep(r.ring)
	r.plan = nil
	if Owes(r.ring, r.member.Ident) {
		r.plan = Plan(r.ring, r.member.Ident, r.table.Records(o.now))
	}
	o.copy(r)
	for _, a := range o.attempts {
		if a.at == r {
			o.step(a, Changed{r.ring})
		}
	}
}

func (o *orders) copy(r *replica) {
	plan := r.plan
	if plan == nil {
		return
	}
	if plan.Done() {
		r.synced = r.ring.Revision
		return
	}
	for _, p := range plan.Parts() {
		o.post(r.member.Name, p.To.Name, func() {
			if to := o.find(p.To.Name); to.member.Ident == p.To.Ident {
				to.table.Take(o.now, p.Records)
				o.post(p.To.Name, r.member.Name, func() { plan.Acked(p.To.Ident) })
			}
		})
	}
}

func (o *orders) begin(at *replica, key string, mark uint64) {
	id := ID(mark, at.member.Ident, uint64(len(o.attempts)))
	c := Claim{Service: "s", Key: key, Print: mark, ID: id, By: at.member.Ident}
	a, out := Begin(o.now, Bid{Claim: c, Ring: at.ring, Bounds: o.bounds, Deadline: o.now.Add(5 * time.Second), Patience: time.Second})
	t := &trial{Attempt: a, claim: c, at: at}
	o.attempts = append(o.attempts, t)
	o.do(t, out)
}

func (o *orders) step(t *trial, e Event) {
	o.do(t, t.Step(o.now, e))
}

func (o *orders) do(t *trial, out []Action) {
	for _, action := range out {
		switch action := action.(type) {
		case Send:
			o.post(t.at.member.Name, action.To.Name, func() {
				reply := o.vote(o.find(action.To.Name), action.Ask)
				o.post(action.To.Name, t.at.member.Name, func() { o.step(t, Replied{action.To.Ident, action.Ask.Ring, reply}) })
			})
		case Tell:
			o.post(t.at.member.Name, action.To.Name, func() { o.find(action.To.Name).table.Settle(o.now, action.Settlement) })
		case Run:
			t.running = true
		case Finish:
			o.finish(t, action.Result)
		}
	}
}

func (o *orders) finish(t *trial, r Result) {
	body := fmt.Sprintf("%s/%d", t.claim.Key, t.claim.Print)
	if (r.Kind == NotRun || r.Kind == Conflict) && o.bodies[body] > 0 {
		o.bad = "said not-run of a run: " + t.claim.ID
	}
	if (r.Kind == Fresh || r.Kind == Replay) && string(r.Answer.Body) != body {
		o.bad = "another request's answer: " + t.claim.ID
	}
}

// end ends the run of an attempt; the outcome may be unknown though it ran.
func (o *orders) end(t *trial, ran, known bool) {
	t.running = false
	body := fmt.Sprintf("%s/%d", t.claim.Key, t.claim.Print)
	if ran {
		o.runs[t.claim.Key]++
		o.bodies[body]++
	}
	e := Ended{Outcome: call.Unknown}
	if known {
		e.Outcome = call.NotRun
	}
	if known && ran {
		e = Ended{Outcome: call.Ran, Answer: Answer{Body: []byte(body), Whole: true}}
	}
	o.step(t, e)
}

// propose changes the ring as an entry would that no longer sees some others.
func (o *orders) propose(unseen []bool) {
	v := ring.View{Gone: o.dead, Since: o.now.Add(-time.Hour)}
	for i, r := range o.replicas {
		s := ring.Seen{Member: r.member, First: o.now.Add(-time.Hour), Last: o.now}
		if unseen[i] {
			s.Last = o.now.Add(-time.Minute)
		}
		v.Seen = append(v.Seen, s)
		if r.synced == o.ring.Revision {
			v.Synced = append(v.Synced, r.member.Ident)
		}
	}
	if next, ok := o.bounds.Next(o.now, o.ring, v); ok {
		o.ring = next
	}
}

// restart loses a replica's memory. The attempts of the former process go on,
// as those of one that is only cut off would.
func (o *orders) restart(i int) {
	r := o.replicas[i]
	o.dead = append(o.dead, r.member.Ident)
	o.replicas = slices.Delete(o.replicas, i, i+1)
	o.start(r.member.Name, r.member.Boot+1)
}

func (o *orders) deliver(t *rapid.T, keep bool) {
	if len(o.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(o.messages)-1).Draw(t, "message")
	m := o.messages[i]
	if !keep {
		o.messages = slices.Delete(o.messages, i, i+1)
	}
	m.do()
}

// A caller sends one key again and again through any entry. Messages between
// entries are lost, doubled and overtake each other, replicas restart and forget,
// and the ring changes under entries that learn of it late or never. The key
// runs once at the most, and nobody is told otherwise.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOrders()
		entry := func() int { return rapid.IntRange(0, len(o.replicas)-1).Draw(t, "entry") }
		deliver := func(t *rapid.T) { o.deliver(t, false) }
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				o.begin(o.replicas[entry()], o.key(t), rapid.SampledFrom([]uint64{1, 1, 1, 2}).Draw(t, "print"))
			},
			"deliver":  deliver,
			"deliver2": deliver,
			"deliver3": deliver,
			"burst": func(t *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(t, "messages") {
					o.deliver(t, false)
				}
			},
			"double": func(t *rapid.T) { o.deliver(t, true) },
			"lose": func(t *rapid.T) {
				if len(o.messages) > 0 {
					i := rapid.IntRange(0, len(o.messages)-1).Draw(t, "message")
					o.messages = slices.Delete(o.messages, i, i+1)
				}
			},
			"end": func(t *rapid.T) {
				for _, a := range o.attempts {
					if a.running {
						o.end(a, rapid.Bool().Draw(t, "ran"), rapid.Bool().Draw(t, "known"))
						return
					}
				}
			},
			"wait": func(t *rapid.T) {
				o.now = o.now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
				for _, a := range o.attempts {
					o.step(a, Tick{})
				}
			},
			"sleep": func(t *rapid.T) {
				o.now = o.now.Add(time.Duration(rapid.IntRange(6, 60).Draw(t, "s")) * time.Second)
			},
			"probe":  func(*rapid.T) { o.probe(o.replicas[entry()]) },
			"within": func(t *rapid.T) { o.within(o.some(t)) },
			"retry": func(t *rapid.T) {
				o.begin(o.replicas[entry()], o.key(t), 1)
				o.within(o.some(t))
			},
			"split": func(t *rapid.T) { o.split(t) },
			"go on": func(t *rapid.T) { o.goOn(o.some(t)) },
			"propose": func(t *rapid.T) {
				o.propose(rapid.SliceOfN(rapid.Bool(), len(o.replicas), len(o.replicas)).Draw(t, "unseen"))
			},
			"adopt":   func(*rapid.T) { o.adopt(o.replicas[entry()]) },
			"copy":    func(*rapid.T) { o.copy(o.replicas[entry()]) },
			"restart": func(*rapid.T) { o.restart(entry()) },
			"": func(t *rapid.T) {
				for key, n := range o.runs {
					if n > 1 {
						t.Fatalf("%q ran %d times", key, n)
					}
				}
				if o.bad != "" {
					t.Fatal(o.bad)
				}
			},
		})
	})
}
