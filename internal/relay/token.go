package relay

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/relay/wire"
	"plumpitch.example/plumpitch/pkg/ratelimit"
)

// TokenAsk is an entry's request for tokens of a client account. Packet.Address is the address
// of that entry, since other entries may forward the ask.
type TokenAsk struct {
	ratelimit.Ask
	Asker string // name of the entry
	Hops  int    // entries that have forwarded the ask
}

func encodeTokenAsk(a *TokenAsk) *wire.TokenAsk {
	if a == nil {
		return nil
	}
	return &wire.TokenAsk{
		Account: a.Account, Sequence: a.Sequence, Wanted: count(a.Wanted), Extra: count(a.Extra), Debt: count(a.Debt),
		Returned: count(a.Returned), Refused: count(a.Refused), Rate: a.Limit.Rate, Burst: a.Limit.Burst, Version: a.Limit.Version,
		Hops: count(a.Hops), Asker: a.Asker, Late: count(a.Late), RefusedLate: count(a.RefusedLate),
		Starts: encodeStarts(a.Starts),
	}
}

// decodeTokenAsk checks the numbers of an ask: one that is not finite would make the bucket
// of an account unusable for all entries.
func decodeTokenAsk(w *wire.TokenAsk) (a *TokenAsk, err error) {
	if w == nil {
		return nil, nil
	}
	if err := checkNumbers(w.Rate, w.Burst); err != nil {
		return nil, errors.WithMessage(err, "limit")
	}
	return &TokenAsk{
		Ask: ratelimit.Ask{
			Account: w.Account, Sequence: w.Sequence, Wanted: int(w.Wanted), Extra: int(w.Extra), Debt: int(w.Debt),
			Returned: int(w.Returned), Refused: int(w.Refused), Late: int(w.Late), RefusedLate: int(w.RefusedLate),
			Starts: decodeStarts(w.Starts),
			Limit:  ratelimit.Limit{Rate: w.Rate, Burst: w.Burst, Version: w.Version},
		},
		Asker: w.Asker, Hops: int(w.Hops),
	}, nil
}

// checkNumbers checks that the numbers are finite and not negative.
func checkNumbers(list ...float64) (err error) {
	for _, f := range list {
		if math.IsNaN(f) || math.IsInf(f, 0) || f < 0 {
			return errors.Errorf("found %g, expected a number from 0", f)
		}
	}
	return nil
}

func encodeTokenGrant(g *ratelimit.Grant) *wire.TokenGrant {
	if g == nil {
		return nil
	}
	return &wire.TokenGrant{
		Account: g.Account, Sequence: g.Sequence, Tokens: count(g.Tokens),
		RetryMicros: micros(g.RetryAfter), IntervalMicros: micros(g.Interval), NotIssuer: g.NotIssuer, Settling: g.Settling,
		Late: count(g.Late), Starts: encodeStarts(g.Starts), KnowsLate: g.KnowsLate,
	}
}

func decodeTokenGrant(w *wire.TokenGrant) *ratelimit.Grant {
	if w == nil {
		return nil
	}
	return &ratelimit.Grant{
		Account: w.Account, Sequence: w.Sequence, Tokens: int(w.Tokens),
		RetryAfter: fromMicros(w.RetryMicros), Interval: fromMicros(w.IntervalMicros), NotIssuer: w.NotIssuer, Settling: w.Settling,
		Late: int(w.Late), Starts: decodeStarts(w.Starts), KnowsLate: w.KnowsLate,
	}
}

func encodeStarts(list ratelimit.Starts) (out []*wire.TokenStart) {
	for _, s := range list {
		if s.Route != 0 {
			out = append(out, &wire.TokenStart{Route: s.Route, Shortest: millis(s.Shortest)})
		}
	}
	return out
}

func decodeStarts(list []*wire.TokenStart) (out ratelimit.Starts) {
	for i, w := range list[:min(len(list), len(out))] {
		out[i] = ratelimit.Start{Route: w.Route, Shortest: fromMillis(w.Shortest)}
	}
	return out
}

// maxCount is the largest number of tokens in a message.
const maxCount = 1 << 20

func count(n int) uint32 { return uint32(min(max(n, 0), maxCount)) }

// maxMicros is the longest time in a TokenGrant, in microseconds.
const maxMicros = math.MaxUint32

func micros(d time.Duration) uint32 { return uint32(min(max(d.Microseconds(), 0), maxMicros)) }

func fromMicros(us uint32) time.Duration { return time.Duration(us) * time.Microsecond }
