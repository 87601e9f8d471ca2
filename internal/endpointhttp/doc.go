// Package endpointhttp carries attempts to endpoints over HTTP/1.1.
//
// It writes each request to a connection of its own pool and reads the reply
// from it, with the codec of net/http but without http.Transport: a transport
// replays requests that it deems repeatable on a new connection, and hides
// which connection carries what. Here a request is written at most once, on one
// connection, and the reply to it tells exactly what is known: an attempt is
// reported as refused only if no byte of it was handed to the socket or if the
// endpoint said that it refused before it started.
//
// A connection carries one request at a time. Connections are kept warm, probed
// while idle, and never exceed the target's maximum. A connection that gives no
// reply while others to the same endpoint do is closed and replaced, and its
// attempt ends with result.ConnectionSilent, which does not blame the endpoint.
package endpointhttp
