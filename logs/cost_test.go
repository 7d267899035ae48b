package logs_test

import (
	"io"
	"testing"

	"cardamomcourse.example/cardamom/logs"
)

// BenchmarkLine measures the request_ended line as the relay writes it, through a
// BoundedWriter whose output discards lines at once, so that none is dropped for
// lack of space in the buffer.
func BenchmarkLine(b *testing.B) {
	bounded := logs.NewBoundedWriter(io.Discard)
	logger := logs.New(bounded, "cardfront", "info").Named("relay")
	b.ReportAllocs()
	for b.Loop() {
		logger.Info(
			"request_ended", "request", "5d35b4ee3771d503", "outcome", "served", "reason", "answered", "status", 200, "route", "r-niyevzq",
			"model", "wura54a898", "adapter", "a7", "upstream", "i-10d774269a", "waited_ms", 0, "first_ms", 186, "took_ms", 742, "late", false,
			"sends", 1, "runs", 1, "rejected", 0, "unsent", 0,
		)
	}
	b.ReportMetric(float64(bounded.Dropped())/float64(b.N), "dropped/op")
}

// BenchmarkDebug measures a line below the logger's level.
func BenchmarkDebug(b *testing.B) {
	logger := logs.New(io.Discard, "cardfront", "info")
	b.ReportAllocs()
	for b.Loop() {
		logger.Debug("report_missing", "upstream", "i-10d774269a", "reason", "none")
	}
}
