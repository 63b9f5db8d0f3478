// Package callers serves the HTTP/1.1 connections of callers. Unlike http.Server it serves
// several requests of a connection at the same time (pipelining), and returns the responses
// in the order of the requests.
//
// One goroutine reads the requests of a connection, and one runs the handler of each
// request. At most one request is read ahead of those whose handlers have started. A
// handler's first write blocks until all earlier responses have been written, so responses
// are never buffered here.
//
// Two differences to http.Server: an HTTP/1.1 request with an empty Host header is
// malformed, and one with an absolute URL doesn't need a Host header. http.ReadRequest
// removes the header, so a missing one can't be told from an empty one.
package callers
