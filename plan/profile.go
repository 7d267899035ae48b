package plan

// Profile sets how many replicas the models of a service get.
type Profile struct {
	// ReplicaTokens is how many prompt tokens per second one replica reads before
	// another is wanted.
	ReplicaTokens float64
	// ReplicaRunning is how many requests in flight one replica serves before
	// another is wanted.
	ReplicaRunning float64
	// SecondReplicaRate is the arrivals per second from which a model gets a
	// second replica in case an engine is lost.
	SecondReplicaRate float64
	// ScarceReplicaRate replaces SecondReplicaRate while memory is scarce, because
	// then the second replica evicts a rarely used model.
	ScarceReplicaRate float64
	// MaxReplicas is the maximum number of replicas of a model.
	MaxReplicas int
}

// DefaultProfile suits engines that read about 40,000 tokens per second, have a
// part of most prompts cached, and batch several times ReplicaRunning requests.
var DefaultProfile = Profile{ReplicaTokens: 36000, ReplicaRunning: 14, SecondReplicaRate: 1.5, ScarceReplicaRate: 4, MaxReplicas: 6}
