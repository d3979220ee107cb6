package backend

// Load is what a response says of the load of its server.
type Load struct {
	// Running and Waiting are numbers of requests; -1 if not reported.
	Running, Waiting int
	// Factor is how long work takes at the server, as a multiple of the usual time; 0 if not
	// reported.
	Factor float64
	// Err is set if a part of the report can't be read. That part is left out.
	Err error
}
