package conns

import "slices"

// Sends are the connections on which one request was sent. The zero value is a request that
// was not sent yet.
//
// No connection carries a request twice: the responses to both sends would have the same id,
// so that a late copy of the first could be taken for the second.
type Sends struct {
	used []*conn
}

// has reports whether the request was sent on the connection.
func (s *Sends) has(c *conn) bool { return s != nil && slices.Contains(s.used, c) }

// add records that the request is sent on the connection.
func (s *Sends) add(c *conn) {
	if s != nil {
		s.used = append(s.used, c)
	}
}
