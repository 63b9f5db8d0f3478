package soak

import "time"

// profile is the shape of a site and of its load.
type profile struct {
	gatewayCount int
	clientCount  int
	cores        float64 // of a gateway, as its settings say
	places       []string
	firstRatio   float64 // of repeats, as the settings say at the start; lowered before the first fault
	slack        int     // repeats allowed beyond their share
	services     []service
	kinds        []kind
	paths        uint64  // of a kind; requests with one path look alike
	rate         float64 // requests a second of all clients; 0: each sends one after the other
	served       float64 // share of the requests that is served once all is well, at least
	faults       []fault
}

// service is a service and its targets.
type service struct {
	name    string
	targets int
	slots   int
	queue   int           // requests that wait at a target; 0: it has no bound
	work    time.Duration // of a request
	noisy   bool          // a quarter of the targets is slow at any moment
}

// kind is a kind of request.
type kind struct {
	name     string
	service  string
	method   string
	prefix   string
	once     bool // it may run once only
	attempts int
	goal     time.Duration
	timeout  time.Duration
	deadline time.Duration
	retries  int // of its clients
	share    int // of all requests
}

// small is a site on which every target can be watched.
func small() profile {
	return profile{
		gatewayCount: *gateways, clientCount: *clients, cores: 1, places: []string{"hall"}, firstRatio: budgetRatio, slack: 50,
		services: []service{{name: "gowns", targets: *targets, slots: 4, work: 15 * time.Millisecond}},
		kinds: []kind{
			{
				name: "r-once", service: "gowns", method: "POST", prefix: "/once/", once: true, attempts: 2,
				goal: 500 * time.Millisecond, timeout: 2 * time.Second, deadline: 3 * time.Second, share: 1,
			},
			{
				name: "r-twice", service: "gowns", method: "POST", prefix: "/twice/", attempts: 3,
				goal: 500 * time.Millisecond, timeout: 2 * time.Second, deadline: 3 * time.Second, share: 1,
			},
		},
		paths: 7, served: 0.95, faults: faults,
	}
}

// full is a site of the users' size, with targets that refuse what they have no room for
// and clients that come again. Its faults bring repeats.
func full() profile {
	return profile{
		gatewayCount: 13, clientCount: 120, cores: 0.32, places: []string{"fremantle", "subiaco", "joondalup"}, firstRatio: 1, slack: 56,
		services: []service{
			{name: "catalogue", targets: 14, slots: 2, queue: 4, work: 60 * time.Millisecond, noisy: true},
			{name: "diary", targets: 7, slots: 2, queue: 4, work: 78 * time.Millisecond, noisy: true},
			{name: "ledger", targets: 6, slots: 2, queue: 4, work: 42 * time.Millisecond, noisy: true},
		},
		kinds: []kind{
			{
				name: "r-read", service: "catalogue", method: "GET", prefix: "/read/", attempts: 2, retries: 1, share: 101,
				goal: 200 * time.Millisecond, timeout: 800 * time.Millisecond, deadline: 800 * time.Millisecond,
			},
			{
				name: "r-book", service: "diary", method: "POST", prefix: "/book/", once: true, attempts: 2, retries: 1, share: 39,
				goal: 250 * time.Millisecond, timeout: time.Second, deadline: time.Second,
			},
			{
				name: "r-pay", service: "ledger", method: "PUT", prefix: "/pay/", once: true, attempts: 2, retries: 1, share: 36,
				goal: 150 * time.Millisecond, timeout: 600 * time.Millisecond, deadline: 600 * time.Millisecond,
			},
		},
		paths: 1 << 40, rate: 176, served: 0.85, faults: repeating,
	}
}
