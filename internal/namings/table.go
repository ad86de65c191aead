package namings

import "time"

// Table holds the naming history of each model by name. A router that was paused learns of a naming
// late. By its own observation older weights would have less time left than they really have, or
// none; the reports of other routers tell it the real time. A Table is not safe for concurrent use.
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
