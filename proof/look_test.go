package proof_test

import (
	"context"
	"time"

	"cardamomcourse.example/cardamom/engine"
)

// reports returns the reports of all engines that answer, bypassing the proxies.
func (s *site) reports() map[string]*engine.Report {
	reports := make(map[string]*engine.Report)
	client := engine.NewHTTP(time.Second)
	for _, upstream := range s.deployment.Engines("") {
		report, err := client.Report(context.Background(), s.Address(upstream.ID))
		if err == nil {
			reports[upstream.ID] = report
		}
	}
	return reports
}

// loadedCount returns on how many engines a model is loaded or loading.
func (s *site) loadedCount(model string) int {
	count := 0
	for _, report := range s.reports() {
		for _, loaded := range report.Loaded {
			if string(loaded.Model) == model {
				count++
			}
		}
	}
	return count
}

// engineWith returns an engine that has loaded or is loading the model.
func (s *site) engineWith(model string) string {
	for id, report := range s.reports() {
		for _, loaded := range report.Loaded {
			if string(loaded.Model) == model {
				return id
			}
		}
	}
	return ""
}
