// Package endpointhttp sends attempts to endpoints over HTTP/1.1.
//
// It has its own connection pools and parses responses with net/http, but does not
// use http.Transport: a transport resends requests that it considers idempotent on
// a new connection, and hides which connection a request is sent over. Here a
// request is written at most once, on one connection. An attempt is reported as
// refused only if the socket accepted no byte of it, or if the endpoint replied
// that it refused the request before starting it.
//
// A connection carries one request at a time. Up to Target.Warm connections are
// opened in advance and kept, idle ones are probed, and none is opened beyond
// Target.Max, which holds for each address separately. A connection on which no
// reply arrives while the endpoint replies on others is silent: it is closed and
// replaced, and its attempt ends with result.ConnectionSilent, which is not counted
// as a failure of the endpoint.
package endpointhttp
