package fakes

import (
	"io"
	"net/http"
	"sync"
)

// maxObjectBytes is the maximum size of an object.
const maxObjectBytes = 64 << 20

// Objects is the platform's object store.
type Objects struct {
	mu      sync.Mutex
	objects map[string][]byte
}

// NewObjects returns an empty store.
func NewObjects() *Objects {
	return &Objects{objects: make(map[string][]byte)}
}

// Handler returns the store's HTTP interface: PUT and GET of a path.
func (o *Objects) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case http.MethodPut:
			o.put(w, r)
		case http.MethodGet:
			o.get(w, r)
		default:
			w.WriteHeader(http.StatusMethodNotAllowed)
		}
	})
}

func (o *Objects) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.objects[r.URL.Path] = body
}

func (o *Objects) get(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	body, ok := o.objects[r.URL.Path]
	o.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(body)
}
