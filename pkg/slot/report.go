package slot

// Report is what a target says of itself in a response. The zero value says nothing.
type Report struct {
	Load   Load
	Loaded bool // whether Load was given
}
