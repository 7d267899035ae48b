package conns

import (
	"io"

	"github.com/rotisserie/eris"
)

// maxLateBytes bounds the body of a late copy that is read to get at the response after it.
const maxLateBytes = 1 << 20

// Next drops the response, which is a late copy of the response to an earlier request, and
// returns the one after it on the same connection, which isn't used again. The response itself
// must not be used any more.
func (r *Response) Next() (*Response, error) {
	next, err := r.next()
	if err != nil {
		r.complete = false
		r.Close()
		return nil, err
	}
	return next, nil
}

func (r *Response) next() (*Response, error) {
	if r.Framing() == UntilClose {
		return nil, eris.Wrap(ErrBroken, "late copy of an earlier response has no end")
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r, maxLateBytes)); err != nil {
		return nil, err
	}
	if !r.complete {
		return nil, eris.Wrap(ErrBroken, "late copy of an earlier response is too long")
	}
	response, err := r.conn.readHeader(r.response.Request.Method) //nolint:bodyclose // Response.Close closes the connection, which is all the body holds.
	if err != nil {
		return nil, err
	}
	return &Response{pool: r.pool, conn: r.conn, response: response, bodyWritten: r.bodyWritten, sending: r.sending, stop: r.stop, id: r.id, follows: true}, nil
}
