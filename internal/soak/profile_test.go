package soak

import "time"

// profile is the size of a site, its services and its load.
type profile struct {
	gatewayCount      int
	clientCount       int
	cores             float64 // of a gateway, as in its settings
	places            []string
	initialRetryRatio float64 // retry budget ratio in the settings at the start; lowered to retryBudgetRatio before the first fault
	retrySlack        int     // extra dispatches allowed beyond the retry budget ratio
	services          []service
	kinds             []requestKind
	pathCount         uint64  // paths of a kind; requests with the same path look alike
	requestRate       float64 // requests a second of all clients together; 0: each client waits up to 20 ms between requests
	minServedShare    float64 // minimum share of requests served after recovery
	faults            []fault
	datagramLoss      float64     // share of the datagrams between gateways that are lost
	groups            int         // groups of gateways that can't reach each other; 0 or 1: all can
	accountCount      int         // client accounts; 0: the configuration has none
	accountRate       float64     // usual requests a second of all accounts together
	accountLimit      float64     // limit of an account, relative to its usual rate
	targetLinks       bool        // the links of gateways to targets can be cut
	ends              []targetEnd // how targets that crash end, in turn; empty: they refuse connections
	boundsMemory      bool        // gateways have no more memory than on the users' machines
	anyGateway        bool        // clients use any gateway, not those that the directory names
	maxBodyBytes      int64       // of a request, as configured; 0: that of the stand-in
	againShare        float64     // share of the responses after which clients send the request again, with its ID
	keepsGateways     bool        // clients use the gateways that they know until one fails
	grace             string      // between SIGTERM and SIGKILL, as in the settings; empty: 3s
}

// service is a service and its targets.
type service struct {
	name         string
	targets      int
	slots        int
	queueLimit   int           // queued requests at a target; 0: unlimited
	serviceTime  time.Duration // duration of a request at its target
	variablePace bool          // each target is slow a quarter of the time
	records      int           // further records of each target, which have its address
	direct       bool          // gateways connect to targets without a proxy, so that resets reach them as they are
}

// special reports whether faults on targets leave the service out, because its targets have several
// records or no proxy.
func (v service) special() bool { return v.records > 0 || v.direct }

// requestKind is a kind of request.
type requestKind struct {
	name          string
	service       string
	method        string
	prefix        string
	public        bool          // it needs no key
	runOnce       bool          // it must not run twice
	attempts      int           // most targets at which a request may run
	targetLatency time.Duration // of its route
	timeout       time.Duration // of its route
	deadline      time.Duration // that its clients set
	retries       int           // by its clients
	weight        int           // relative to the other kinds
	uploadBytes   int           // largest body; 0: a few bytes
	uploadTime    time.Duration // that clients take to send a body of uploadBytes
}

// smallSite is the profile of a site with one service, small enough to observe every target.
func smallSite() profile {
	return profile{
		gatewayCount: *numGateways, clientCount: *numClients, cores: 1, places: []string{"hall"}, initialRetryRatio: retryBudgetRatio, retrySlack: 50,
		services: []service{{name: "gowns", targets: *numTargets, slots: 4, serviceTime: 15 * time.Millisecond}},
		kinds: []requestKind{
			{
				name: "r-once", service: "gowns", method: "POST", prefix: "/once/", runOnce: true, attempts: 2,
				targetLatency: 500 * time.Millisecond, timeout: 2 * time.Second, deadline: 3 * time.Second, weight: 1,
			},
			{
				name: "r-twice", service: "gowns", method: "POST", prefix: "/twice/", attempts: 3,
				targetLatency: 500 * time.Millisecond, timeout: 2 * time.Second, deadline: 3 * time.Second, weight: 1,
			},
		},
		pathCount: 7, minServedShare: 0.95, faults: smallSiteFaults,
	}
}

// fullSizeSite is the profile of a site of the users' size. Its targets refuse requests
// when their queue is full and its clients retry. Its faults cause extra dispatches.
func fullSizeSite() profile {
	return profile{
		gatewayCount: 13, clientCount: 120, cores: 0.32, places: []string{"fremantle", "subiaco", "joondalup"}, initialRetryRatio: 1, retrySlack: 56,
		services: []service{
			{name: "catalogue", targets: 14, slots: 2, queueLimit: 4, serviceTime: 60 * time.Millisecond, variablePace: true},
			{name: "diary", targets: 7, slots: 2, queueLimit: 4, serviceTime: 78 * time.Millisecond, variablePace: true},
			{name: "ledger", targets: 6, slots: 2, queueLimit: 4, serviceTime: 42 * time.Millisecond, variablePace: true},
		},
		kinds: []requestKind{
			{
				name: "r-read", service: "catalogue", method: "GET", prefix: "/read/", attempts: 2, retries: 1, weight: 101,
				targetLatency: 200 * time.Millisecond, timeout: 800 * time.Millisecond, deadline: 800 * time.Millisecond,
			},
			{
				name: "r-book", service: "diary", method: "POST", prefix: "/book/", runOnce: true, attempts: 2, retries: 1, weight: 39,
				targetLatency: 250 * time.Millisecond, timeout: time.Second, deadline: time.Second,
			},
			{
				name: "r-pay", service: "ledger", method: "PUT", prefix: "/pay/", runOnce: true, attempts: 2, retries: 1, weight: 36,
				targetLatency: 150 * time.Millisecond, timeout: 600 * time.Millisecond, deadline: 600 * time.Millisecond,
			},
		},
		pathCount: 1 << 40, requestRate: 176, minServedShare: 0.85, faults: extraDispatchFaults,
	}
}

// staffingSite is another profile of the users' size. Its requests take longer and have more
// time, so that a failed one is often retried late.
func staffingSite() profile {
	p := fullSizeSite()
	p.gatewayCount, p.retrySlack, p.requestRate = 14, 58, 126
	p.places = []string{"civic", "wharf", "festival"}
	p.services = []service{
		{name: "board", targets: 15, slots: 2, queueLimit: 4, serviceTime: 90 * time.Millisecond, variablePace: true},
		{name: "confirm", targets: 8, slots: 2, queueLimit: 4, serviceTime: 120 * time.Millisecond, variablePace: true},
		{name: "paydesk", targets: 6, slots: 2, queueLimit: 4, serviceTime: 63 * time.Millisecond, variablePace: true},
	}
	p.kinds = []requestKind{
		{
			name: "r-lookup", service: "board", method: "GET", prefix: "/lookup/", attempts: 2, retries: 2, weight: 73,
			targetLatency: 250 * time.Millisecond, timeout: 2 * time.Second, deadline: 2 * time.Second,
		},
		{
			name: "r-claim", service: "confirm", method: "POST", prefix: "/claim/", runOnce: true, attempts: 2, retries: 2, weight: 31,
			targetLatency: 300 * time.Millisecond, timeout: 2500 * time.Millisecond, deadline: 2500 * time.Millisecond,
		},
		{
			name: "r-advance", service: "paydesk", method: "PUT", prefix: "/advance/", runOnce: true, attempts: 2, retries: 2, weight: 22,
			targetLatency: 200 * time.Millisecond, timeout: 1200 * time.Millisecond, deadline: 1200 * time.Millisecond,
		},
	}
	return p
}

// largeSite returns the profile of the users' size that the flags select.
func largeSite() profile {
	p := fullSizeSite()
	if *staffing {
		p = staffingSite()
	}
	p.datagramLoss = *datagramLoss
	return p
}
