package fakes

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Server is an HTTP server on a loopback address.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// serve starts a server at the address; port 0 picks a free port.
func serve(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	s := &Server{listener: listener, http: &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// Address returns the host:port the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server and closes all its connections.
func (s *Server) Close() { _ = s.http.Close() }

func readJSON(r *http.Request, into any) error {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		return eris.Wrap(err, "decode body")
	}
	_, err := io.Copy(io.Discard, r.Body)
	return eris.Wrap(err, "read body")
}

func writeJSON(w http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// listedAddress returns the address to list for a server: the given one or else
// the server's own.
func listedAddress(address string, server *Server) string {
	if address != "" {
		return address
	}
	return server.Address()
}
