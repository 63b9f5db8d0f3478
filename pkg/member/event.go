package member

import "time"

// Event is an input of Table.Handle. The set is closed.
type Event interface{ event() }

type (
	// Tick signals that the time given by Table.Next has come.
	Tick struct{}

	// Request is a peer's message. Handle returns one Reply to it.
	Request struct{ Message Message }

	// Response is a peer's response to a Send.
	Response struct {
		ExchangeID uint64
		Message    Message
	}

	// ExchangeFailed signals that a Send or an IndirectPing failed or timed out.
	ExchangeFailed struct{ ExchangeID uint64 }

	// IndirectAck tells which incarnation responded to an IndirectPing.
	IndirectAck struct {
		ExchangeID uint64
		ID         ID
	}

	// SetSeeds replaces the seed addresses.
	SetSeeds struct{ Addresses []string }

	// SetRevisions sets the revisions that are in force at this entry.
	SetRevisions struct{ Revisions Revisions }

	// Ready signals that this entry has settings and targets.
	Ready struct{}

	// SetCondition sets the health that this entry reports.
	SetCondition struct{ Condition Condition }

	// Fetched holds a peer's view, in response to a Fetch. Entries that are the same in
	// this entry's view may be left out.
	Fetched struct{ Entries []Entry }

	// PushNow asks for messages to be sent at once: the driver adds data of its own
	// to them that peers should receive without waiting for the next round.
	PushNow struct{}

	// PushTo asks for messages to be sent at once to these entries, by name: those that must not
	// learn of a change of this entry later than others.
	PushTo struct{ Names []string }

	// SpreadRumours starts to spread rumours from this entry.
	SpreadRumours struct{ Rumours Rumours }

	// Leave announces that this entry will stop; it still serves.
	Leave struct{}

	// Depart announces that this entry has stopped serving.
	Depart struct{}
)

func (Tick) event()           {}
func (Request) event()        {}
func (Response) event()       {}
func (ExchangeFailed) event() {}
func (IndirectAck) event()    {}
func (SetSeeds) event()       {}
func (SetRevisions) event()   {}
func (Ready) event()          {}
func (SetCondition) event()   {}
func (Fetched) event()        {}
func (PushNow) event()        {}
func (PushTo) event()         {}
func (SpreadRumours) event()  {}
func (Leave) event()          {}
func (Depart) event()         {}

// Action is an output of Table.Handle, which the caller, called the driver, carries
// out. The set is closed.
type Action interface{ action() }

type (
	// Send starts an exchange. A Response or an ExchangeFailed with the same ExchangeID
	// ends it.
	Send struct {
		ExchangeID uint64
		To         Ref
		Message    Message
		Timeout    time.Duration
	}

	// IndirectPing asks one peer to ping another. An IndirectAck or an ExchangeFailed
	// with the same ExchangeID ends it.
	IndirectPing struct {
		ExchangeID uint64
		Via        Ref
		Peer       Ref
		Timeout    time.Duration
	}

	// Reply is the response to the Request that was handled.
	Reply struct{ Message Message }

	// Fetch asks a peer for its view, since the views differ in more entries than fit
	// into messages. A Fetched may follow.
	Fetch struct{ From Ref }

	// ViewChanged signals that View has changed.
	ViewChanged struct{}

	// RevisionsChanged signals that View has changed only in the revisions of an entry.
	RevisionsChanged struct{}

	// PeerAhead signals that a peer has newer revisions than this entry.
	PeerAhead struct {
		Peer      Ref
		Revisions Revisions
	}

	// RumoursReceived holds rumours that are new to this entry.
	RumoursReceived struct{ Rumours Rumours }

	// Superseded signals that a later incarnation of this entry's own name is up, so
	// that this process must stop.
	Superseded struct{ By ID }
)

func (Send) action()             {}
func (IndirectPing) action()     {}
func (Reply) action()            {}
func (Fetch) action()            {}
func (ViewChanged) action()      {}
func (RevisionsChanged) action() {}
func (PeerAhead) action()        {}
func (RumoursReceived) action()  {}
func (Superseded) action()       {}
