package retry

import "iter"

// buckets is the number of buckets that a window holds.
const buckets = 10

// window holds a value for each of the last buckets.
type window struct {
	values [buckets]float64
	// bucket is the number of the current bucket since the epoch.
	bucket int64
}

// advance makes a later bucket the current one and clears those that have expired.
func (w *window) advance(bucket int64) {
	for steps := 0; w.bucket < bucket && steps < buckets; steps++ {
		w.bucket = max(w.bucket+1, bucket-buckets+1)
		w.values[w.bucket%buckets] = 0
	}
}

// add adds to the current bucket.
func (w *window) add(value float64) { w.values[w.bucket%buckets] += value }

// addAt adds to the bucket with a number, or to the current one if that is earlier. What
// belongs to an expired bucket is dropped.
func (w *window) addAt(bucket int64, value float64) {
	bucket = min(bucket, w.bucket)
	if bucket > w.bucket-buckets {
		w.values[bucket%buckets] += value
	}
}

// raise sets the current bucket to the value if that is greater.
func (w *window) raise(value float64) {
	w.values[w.bucket%buckets] = max(w.values[w.bucket%buckets], value)
}

func (w *window) sum() float64 {
	sum := 0.0
	for _, value := range w.values {
		sum += value
	}
	return sum
}

func (w *window) max() float64 {
	greatest := 0.0
	for _, value := range w.values {
		greatest = max(greatest, value)
	}
	return greatest
}

// oldestFirst returns the indices of the values in the order of their buckets, and how many
// buckets ago each was the current one.
func (w *window) oldestFirst() iter.Seq2[int, int] {
	return func(yield func(int, int) bool) {
		for age := buckets - 1; age >= 0; age-- {
			if !yield(int((w.bucket-int64(age)+buckets)%buckets), age) {
				return
			}
		}
	}
}
