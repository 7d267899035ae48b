package claim

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"cardamomcourse.example/cardamom/hold"
)

// Prefix is the prefix of the resources of claim shards.
const Prefix = "claims/"

// ShardResource returns the resource of the n-th shard.
func ShardResource(n int) hold.Resource { return hold.Resource(fmt.Sprintf("%s%d", Prefix, n)) }

// Resource returns the resource of the shard that a key belongs to.
func Resource(key string, shards int) hold.Resource {
	return ShardResource(int(xxhash.Sum64String(key) % uint64(shards)))
}
