package relay

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/relay/wire"
)

const (
	// streamQueueSize is how many packets to one peer may wait. More are dropped: like
	// lost datagrams, later ones carry newer data.
	streamQueueSize = 64
	// streamIdleTimeout is how long a peer's sender waits for the next packet before it ends.
	streamIdleTimeout = idleTimeout
)

var errStreamFull = errors.New("packet dropped, too many wait for the peer")

// streams sends packets by TCP to peers that datagrams don't reach. Each peer has a
// goroutine of its own, so that a peer that doesn't answer delays no other.
type streams struct {
	ctx     context.Context
	log     log.Interface
	deliver func(ctx context.Context, to string, packets [][]byte) error
	lost    func(packets int) // called for packets that are dropped or can't be delivered

	mu     sync.Mutex
	queues map[string]chan []byte
}

// send queues a packet without blocking.
func (s *streams) send(to string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[to]
	if q == nil {
		q = make(chan []byte, streamQueueSize)
		s.queues[to] = q
		go s.run(to, q)
	}
	select {
	case q <- data:
		return nil
	default:
		s.lost(1)
		return errStreamFull
	}
}

// run delivers the packets of a queue until none has come for streamIdleTimeout.
func (s *streams) run(to string, q chan []byte) {
	idle := time.NewTimer(streamIdleTimeout)
	defer idle.Stop()
	failing := false
	for {
		select {
		case data := <-q:
			packets := drain(q, data)
			err := s.deliver(s.ctx, to, packets)
			if err != nil {
				s.lost(len(packets))
			}
			s.logChange(to, failing, err)
			failing = err != nil
			idle.Reset(streamIdleTimeout)
		case <-idle.C:
			if s.remove(to, q) {
				return
			}
			idle.Reset(streamIdleTimeout)
		case <-s.ctx.Done():
			return
		}
	}
}

// logChange logs the first failed delivery of several in a row, and the next one that succeeds.
func (s *streams) logChange(to string, failing bool, err error) {
	switch {
	case s.ctx.Err() != nil:
	case err != nil && !failing:
		s.log.WithError(err).WithField("peer", to).Warn("relay: packets by TCP are lost")
	case err == nil && failing:
		s.log.WithField("peer", to).Info("relay: packets by TCP arrive again")
	}
}

// remove removes an empty queue. It returns false if a packet has come meanwhile.
func (s *streams) remove(to string, q chan []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(q) > 0 {
		return false
	}
	delete(s.queues, to)
	return true
}

// drain returns the first packet and all others that wait.
func drain(q <-chan []byte, first []byte) [][]byte {
	packets := [][]byte{first}
	for {
		select {
		case data := <-q:
			packets = append(packets, data)
		default:
			return packets
		}
	}
}

// deliver hands over packets to a peer by TCP.
func (r *Relay) deliver(ctx context.Context, to string, packets [][]byte) (err error) {
	defer func() { err = errors.WithMessage(err, "packets to "+to) }()
	c := wire.NewRelayProtobufClient("http://"+to, r.client)
	_, err = c.Deliver(ctx, &wire.Delivery{From: r.Address(), Packets: packets})
	return err
}

// Deliver implements wire.Relay.
func (s *server) Deliver(_ context.Context, d *wire.Delivery) (*wire.DeliveryReply, error) {
	if _, err := netip.ParseAddrPort(d.From); err != nil {
		return nil, errors.WithMessage(err, "from")
	}
	for _, data := range d.Packets {
		s.relay.receive(data, d.From, true)
	}
	return &wire.DeliveryReply{}, nil
}
