package ratelimit

import "time"

// Entries that get few requests of a route in ordinary times don't know with which timeouts its
// callers start. When an account exceeds its limit, such entries get mostly callers that return,
// and would take them for new ones. So entries tell the issuer what they know, and get from it
// what they don't.

// maxStarts is the number of routes of an account that an entry exchanges with the issuer.
const maxStarts = 4

// Start is the shortest timeout with which callers of a route start.
type Start struct {
	Route    uint32
	Shortest time.Duration // 0 if unknown
}

// Starts is a list of routes; unused places have no route.
type Starts [maxStarts]Start

// routeStart is what an entry knows of a route.
type routeStart struct {
	Start                 // measured by the entry itself
	learned time.Duration // shortest timeout by the issuer; 0 if unknown
	usedAt  time.Time
}

// clientStarts holds the last routes of an account at an entry.
type clientStarts [maxStarts]routeStart

// rank records the route of a request and reports whether the request is late: by what its entry
// has found, or by the learned timeout of its route.
func (s *clientStarts) rank(now time.Time, r Request) bool {
	if r.Route == 0 {
		return r.Late
	}
	e := s.find(r.Route)
	e.Shortest, e.usedAt = r.Shortest, now
	learned := e.learned
	if e.Shortest > 0 {
		learned = 0
	}
	return r.Late || r.Remaining > 0 && learned-r.Remaining > r.Slack
}

// find returns the place of a route, which may be that of the route not used for longest.
func (s *clientStarts) find(route uint32) *routeStart {
	oldest := &s[0]
	for i := range s {
		switch e := &s[i]; {
		case e.Route == route:
			return e
		case e.usedAt.Before(oldest.usedAt):
			oldest = e
		}
	}
	*oldest = routeStart{Start: Start{Route: route}}
	return oldest
}

// report returns what an ask says of the routes.
func (s *clientStarts) report() (list Starts) {
	for i := range s {
		list[i] = s[i].Start
	}
	return list
}

// learn applies the starts of a grant.
func (s *clientStarts) learn(list Starts) {
	for _, l := range list {
		for i := range s {
			if l.Route != 0 && s[i].Route == l.Route {
				s[i].learned = l.Shortest
			}
		}
	}
}

const (
	// startPeriod is how long the issuer relies on what entries say of a route, at least.
	startPeriod = 10 * time.Second
	// maxIssuerRoutes bounds the routes of an account at its issuer.
	maxIssuerRoutes = 64
)

// issuerStarts holds the shortest starting timeouts of an account's routes, as entries report
// them: the shortest one of this period and of the one before.
type issuerStarts struct {
	began           time.Time
	current, before map[uint32]time.Duration
}

// exchange records what an ask says, and returns what its entry doesn't know.
func (s *issuerStarts) exchange(now time.Time, asked Starts) (told Starts) {
	if age := now.Sub(s.began); age >= startPeriod {
		s.before, s.current, s.began = s.current, nil, now
		if age >= 2*startPeriod {
			s.before = nil
		}
	}
	for i, a := range asked {
		switch known, ok := s.current[a.Route]; {
		case a.Route == 0:
		case a.Shortest == 0:
			told[i] = Start{Route: a.Route, Shortest: s.shortest(a.Route)}
		case ok:
			s.current[a.Route] = min(known, a.Shortest)
		case len(s.current) < maxIssuerRoutes:
			if s.current == nil {
				s.current = make(map[uint32]time.Duration)
			}
			s.current[a.Route] = a.Shortest
		}
	}
	return told
}

func (s *issuerStarts) shortest(route uint32) time.Duration {
	x, y := s.current[route], s.before[route]
	if x == 0 || y == 0 {
		return max(x, y)
	}
	return min(x, y)
}
