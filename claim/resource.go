package claim

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"cardamomcourse.example/cardamom/hold"
)

// Prefix starts the name of the hold on each shard of the claims: claims/0,
// claims/1 and so on. The holder of claims/<n> is the owner of shard n.
const Prefix = "claims/"

// ShardResource returns the resource, the name of the hold, of shard n, counted from 0.
func ShardResource(n int) hold.Resource { return hold.Resource(fmt.Sprintf("%s%d", Prefix, n)) }

// Resource returns the resource of the shard that an idempotency key belongs to,
// out of the given number of shards.
func Resource(key string, shards int) hold.Resource {
	return ShardResource(int(xxhash.Sum64String(key) % uint64(shards)))
}
