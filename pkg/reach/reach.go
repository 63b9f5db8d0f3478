// Package reach keeps whether an entry reaches the targets of a service. Lost changes with each
// check. Advertised, which other entries choose owners by, ends only some time after the return:
// otherwise owners would change whenever a flapping link does.
package reach

import "time"

const (
	defaultHold    = time.Second
	defaultMaxHold = 8 * time.Second
)

// Config configures a Service. Zero fields take the defaults.
type Config struct {
	Hold    time.Duration // from the return of the targets until Advertised ends; default 1 s
	MaxHold time.Duration // longest Hold, which doubles with each loss soon after a return; default 8 s
}

// Service is the state of one service. The zero value isn't usable.
type Service struct {
	cfg       Config
	lost      bool
	hold      time.Duration // of the last loss
	returned  time.Time     // when the targets were reached again after the last loss
	neverLost bool
}

// New returns a service whose targets are reached.
func New(cfg Config) *Service {
	if cfg.Hold <= 0 {
		cfg.Hold = defaultHold
	}
	if cfg.MaxHold <= 0 {
		cfg.MaxHold = defaultMaxHold
	}
	return &Service{cfg: cfg, hold: cfg.Hold, neverLost: true}
}

// flapFactor is the time after a return, as a multiple of the hold, within which another loss
// counts as the same disturbance.
const flapFactor = 4

// Update records the result of a check, and reports whether Lost changed.
func (s *Service) Update(now time.Time, reached bool) (changed bool) {
	if s.lost != reached {
		return false
	}
	s.lost = !reached
	switch {
	case reached:
		s.returned = now
	case !s.neverLost && now.Sub(s.returned) < flapFactor*s.hold:
		s.hold = min(2*s.hold, s.cfg.MaxHold)
	default:
		s.hold = s.cfg.Hold
	}
	s.neverLost = false
	return true
}

// Lost reports whether the last check found the targets out of reach.
func (s *Service) Lost() bool { return s.lost }

// Advertised reports whether the other entries should take the targets for out of reach.
func (s *Service) Advertised(now time.Time) bool {
	return s.lost || !s.neverLost && now.Sub(s.returned) < s.hold
}
