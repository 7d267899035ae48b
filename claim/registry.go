package claim

import (
	"sync"

	"cardamomcourse.example/cardamom/hold"
)

// Registry has the owners of claim shards that run in this process, by the
// resource of the shard. It is safe for concurrent use.
type Registry struct {
	mu     sync.RWMutex
	owners map[hold.Resource]*Owner
}

// NewRegistry returns a registry without owners.
func NewRegistry() *Registry {
	return &Registry{owners: make(map[hold.Resource]*Owner)}
}

// Set sets the owner of a resource; nil removes it.
func (r *Registry) Set(resource hold.Resource, owner *Owner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if owner == nil {
		delete(r.owners, resource)
		return
	}
	r.owners[resource] = owner
}

// Get returns the owner of a resource that runs in this process.
func (r *Registry) Get(resource hold.Resource) (*Owner, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	owner, ok := r.owners[resource]
	return owner, ok
}
