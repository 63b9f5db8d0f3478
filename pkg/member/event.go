package member

import "time"

// Event is something that happened to the entry. The set is closed.
type Event interface{ event() }

type (
	// Tick is the time for which Table.Next asked.
	Tick struct{}

	// Request is a peer's message, which Handle answers with one Reply.
	Request struct{ Message Message }

	// Answer is a peer's answer to a Send.
	Answer struct {
		Exchange uint64
		Message  Message
	}

	// NoAnswer tells that a Send or a Reach failed or took too long.
	NoAnswer struct{ Exchange uint64 }

	// Reached tells which incarnation answered the ping of a Reach.
	Reached struct {
		Exchange uint64
		ID       ID
	}

	// Seeds replaces the addresses that are tried for a first contact.
	Seeds struct{ Addresses []string }

	// Revised gives the revisions that are now in force here.
	Revised struct{ Marks Marks }

	// Ready tells that the entry knows settings and targets.
	Ready struct{}

	// Feel tells how well the entry works.
	Feel struct{ Condition Condition }

	// Fetched brings all that a peer knows, after a Fetch.
	Fetched struct{ Entries []Entry }

	// News tells that the driver has something in its messages that others should
	// hear at once.
	News struct{}

	// Tell starts rumours.
	Tell struct{ Rumours Rumours }

	// Leave announces that the entry will stop; it still serves.
	Leave struct{}

	// Depart announces that the entry serves no more.
	Depart struct{}
)

func (Tick) event()     {}
func (Request) event()  {}
func (Answer) event()   {}
func (NoAnswer) event() {}
func (Reached) event()  {}
func (Seeds) event()    {}
func (Revised) event()  {}
func (Ready) event()    {}
func (Feel) event()     {}
func (Fetched) event()  {}
func (News) event()     {}
func (Tell) event()     {}
func (Leave) event()    {}
func (Depart) event()   {}

// Action is what the driver has to do. The set is closed.
type Action interface{ action() }

type (
	// Send starts an exchange; an Answer or a NoAnswer with its number ends it.
	Send struct {
		Exchange uint64
		To       Ref
		Message  Message
		Timeout  time.Duration
	}

	// Reach asks one peer to ping another; Reached or NoAnswer ends it.
	Reach struct {
		Exchange uint64
		Via      Ref
		Target   Ref
		Timeout  time.Duration
	}

	// Reply answers the Request that was handled.
	Reply struct{ Message Message }

	// Fetch asks a peer for all that it knows: there is more to tell than
	// messages have room for. A Fetched may follow.
	Fetch struct{ From Ref }

	// Changed tells that View has changed.
	Changed struct{}

	// Marked tells that View has changed in the marks of an entry only.
	Marked struct{}

	// Behind tells that a peer has newer revisions than this entry.
	Behind struct {
		Peer  Ref
		Marks Marks
	}

	// Learned brings rumours that are new here.
	Learned struct{ Rumours Rumours }

	// Superseded tells that a later incarnation of this entry's own name is up:
	// this one must stop.
	Superseded struct{ By ID }
)

func (Send) action()       {}
func (Reach) action()      {}
func (Reply) action()      {}
func (Fetch) action()      {}
func (Changed) action()    {}
func (Marked) action()     {}
func (Behind) action()     {}
func (Learned) action()    {}
func (Superseded) action() {}
