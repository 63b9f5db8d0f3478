package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/internal/alarm"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/quota"
	"plumpitch.example/plumpitch/pkg/route"
	"plumpitch.example/plumpitch/pkg/slot"
	"plumpitch.example/plumpitch/platform"
)

// service drives the book of one service.
type service struct {
	gateway *Gateway
	budget  *call.Budget
	counts  serviceInstruments

	mu      sync.Mutex
	is      route.Service
	book    *slot.Book
	waiting map[uint64]chan<- slot.Action
	last    uint64
	senders []string     // names of the entries that send to it
	alarm   *alarm.Alarm // for the book's timer
}

// askGrace is how long an answer to a question may take. A choice doesn't wait
// for it that long; cutting it off sooner would cost its connection.
const askGrace = time.Second

func newService(g *Gateway, s route.Service) *service {
	sv := &service{
		gateway: g, is: s, counts: g.instruments.service(s.Name), waiting: make(map[uint64]chan<- slot.Action),
		book:   slot.New(slot.Config{Place: g.self.Place}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		budget: retryBudget(*g.bounds.Load()),
	}
	sv.alarm = alarm.New(sv.tick)
	return sv
}

// hedgeReserve is how much more time than usual a hedge is given.
const hedgeReserve = 1.4

// hedge tells after how long without an answer a request with so much time for
// its objective is sent a second time: as late as a target that is not slow can
// still answer it by then.
func (s *service) hedge(class string, left time.Duration) time.Duration {
	s.mu.Lock()
	usual := s.book.Usual(class)
	s.mu.Unlock()
	return max(left-time.Duration(hedgeReserve*float64(usual)), usual)
}

// back tells when a request may come back that its targets refused.
func (s *service) back(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Back(now)
}

func (s *service) configure(now time.Time, is route.Service) {
	b := s.gateway.bounds.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.is = is
	s.book.Warmup(now, slot.Warmup{Bound: quota.NewColdBound(is.WarmRate, b.WarmFactor, b.WarmSlack), Time: is.Warmup})
}

// take takes the whole list of targets.
func (s *service) take(now time.Time, list []slot.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.act(now, s.book.Targets(now, list, nil))
}

// busy tells whether requests seek a target or are at one, and may seek another.
func (s *service) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	seeking, flying := s.book.Len()
	return seeking+flying > 0
}

// size is the number of targets.
func (s *service) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Size()
}

// arrive asks for a target. One Send or Refuse comes through answer, which has
// room for it.
func (s *service) arrive(now time.Time, r slot.Request, answer chan<- slot.Action) (id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	r.ID = s.last
	s.waiting[r.ID] = answer
	s.act(now, s.book.Arrive(now, r, nil))
	return r.ID
}

// cancel takes a request back that seeks a target or is at one.
func (s *service) cancel(now time.Time, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
	s.act(now, s.book.Cancel(now, id, nil))
}

func (s *service) done(now time.Time, e slot.End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.act(now, s.book.Done(now, e, nil))
}

// act does what the book decided. The lock is held, so nothing here blocks.
func (s *service) act(now time.Time, actions []slot.Action) {
	for _, a := range actions {
		switch a.Do {
		case slot.Send, slot.Refuse:
			if a.Do == slot.Refuse {
				s.counts.refused[a.Reason].Inc(1)
			}
			if c, ok := s.waiting[a.ID]; ok {
				delete(s.waiting, a.ID)
				c <- a
			}
		case slot.Ask:
			s.counts.asked.Inc(1)
			go s.ask(a, s.is.Health)
		case slot.Rest:
			s.gateway.log.WithFields(log.Fields{"service": s.is.Name, "target": a.Target.ID}).Warn("target is out, it fails what it is sent")
		case slot.Back:
			s.gateway.log.WithFields(log.Fields{"service": s.is.Name, "target": a.Target.ID}).Info("target is back")
		case slot.Leaves:
			s.gateway.log.WithFields(log.Fields{"service": s.is.Name, "target": a.Target.ID}).Info("target says that it leaves")
		case slot.Limit:
			s.logLimit(a)
		case slot.Pause:
			s.counts.pauses.Inc(1)
			s.gateway.log.WithFields(log.Fields{
				"service": s.is.Name, "target": a.Target.ID, "for": a.Retry.Milliseconds(),
			}).Info("target wants nothing")
		}
	}
	s.alarm.Set(now, s.book.Next())
}

func (s *service) logLimit(a slot.Action) {
	l := s.gateway.log.WithFields(log.Fields{"service": s.is.Name, "target": a.Target.ID})
	if !a.Named {
		l.Info("target names no limit any more")
		return
	}
	l.WithField("rate", a.Rate).Info("target names a limit")
}

func (s *service) tick() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.alarm.Rang()
	s.act(now, s.book.Tick(now, nil))
}

// ask asks a target for its load.
func (s *service) ask(a slot.Action, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), askGrace)
	defer cancel()
	status, h, err := s.gateway.forward.Ask(ctx, a.Target.Address, path)
	r := slot.Reply{Target: a.Target.ID}
	if err == nil && platform.Instance(h) == a.Target.ID {
		r.Well = status == http.StatusOK
		r.Report = s.gateway.report(a.Target.ID, status, h)
		r.Cold, r.Warmth = platform.Cold(h)
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.act(now, s.book.Replied(now, r, nil))
}
