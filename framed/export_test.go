package framed

// ExpectHead makes the connection look at the head of the response that comes next.
func (c *LineConn) ExpectHead() { c.expectHead() }
