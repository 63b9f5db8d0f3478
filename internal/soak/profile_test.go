package soak

import "time"

// profile is the size of a site, its services and its load.
type profile struct {
	gatewayCount int
	clientCount  int
	cores        float64 // of a gateway, as in its settings
	places       []string
	firstRatio   float64 // retry budget ratio in the settings at the start; lowered to retryBudgetRatio before the first fault
	slack        int     // extra dispatches allowed beyond the retry budget ratio
	services     []service
	kinds        []kind
	paths        uint64  // paths of a kind; requests with the same path look alike
	rate         float64 // requests a second of all clients together; 0: each client waits up to 20 ms between requests
	served       float64 // minimum share of requests served after recovery
	faults       []fault
}

// service is a service and its targets.
type service struct {
	name    string
	targets int
	slots   int
	queue   int           // queued requests at a target; 0: unlimited
	work    time.Duration // duration of a request at its target
	noisy   bool          // each target is slow a quarter of the time
}

// kind is a kind of request.
type kind struct {
	name     string
	service  string
	method   string
	prefix   string
	once     bool // it must not run twice
	attempts int  // most targets at which a request may run
	goal     time.Duration
	timeout  time.Duration
	deadline time.Duration
	retries  int // by its clients
	share    int // relative to the other kinds
}

// smallSite is the profile of a site with one service, small enough to observe every target.
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

// fullSizeSite is the profile of a site of the users' size. Its targets refuse requests
// when their queue is full and its clients retry. Its faults cause extra dispatches.
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
