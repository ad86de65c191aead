package namings

import "time"

// Table holds the naming history of each model by name. A router that learned late because it was
// paused gets from the reports of others how much time older weights really have left, which is
// more than its own observation implies. A Table is not safe for concurrent use.
type Table map[string]*History

// ForModel returns the history of a model and adds it if it is missing.
func (t Table) ForModel(model string) *History {
	if t[model] == nil {
		t[model] = &History{}
	}
	return t[model]
}

// ModelBound is a bound and the name of its model.
type ModelBound struct {
	Bound
	Model string
}

// ReportableBounds returns the bounds of all models to report to other routers that are not older
// than maxAge.
func (t Table) ReportableBounds(c Config, now time.Time, maxAge time.Duration) []ModelBound {
	var bounds []ModelBound
	for model, history := range t {
		for _, bound := range history.ReportableBounds(c, now, maxAge) {
			bounds = append(bounds, ModelBound{bound, model})
		}
	}
	return bounds
}
