package relay

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/relay/wire"
	"plumpitch.example/plumpitch/pkg/ratelimit"
)

func encodeTransfers(list []ratelimit.Transfer) (out []*wire.TokenTransfer) {
	for _, t := range list {
		out = append(out, &wire.TokenTransfer{
			Account: t.Account, Rate: t.Limit.Rate, Burst: t.Limit.Burst, Version: t.Limit.Version, Level: t.Level,
			PaceMicros: t.Pace.Microseconds(), ReturnMicros: t.Return.Microseconds(), Share: t.Share, Sequence: t.Sequence,
		})
	}
	return out
}

// maxTransferTime bounds the times in a transfer, so that they don't overflow.
const maxTransferTime = time.Hour

func transferTime(us int64) time.Duration {
	limit := maxTransferTime.Microseconds()
	return time.Duration(min(max(us, -limit), limit)) * time.Microsecond
}

func decodeTransfers(list []*wire.TokenTransfer) (out []ratelimit.Transfer, err error) {
	for _, w := range list {
		if err := checkNumbers(w.Rate, w.Burst, w.Share); err != nil {
			return nil, err
		}
		if math.IsNaN(w.Level) || math.IsInf(w.Level, 0) {
			return nil, errors.Errorf("level: found %g, expected a finite number", w.Level)
		}
		out = append(out, ratelimit.Transfer{
			Account: w.Account, Limit: ratelimit.Limit{Rate: w.Rate, Burst: w.Burst, Version: w.Version}, Level: w.Level,
			Pace: transferTime(w.PaceMicros), Return: transferTime(w.ReturnMicros), Share: w.Share, Sequence: w.Sequence,
		})
	}
	return out, nil
}
