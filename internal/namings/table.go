package namings

import "time"

// Table holds what is known of when the weights of each model were named. A router that was
// held up alone learns from the others how much time older weights have left: not what it
// would count by itself, and not none. It is not safe for concurrent use.
type Table map[string]*Model

// Of returns what is known of the model's weights.
func (t Table) Of(model string) *Model {
	if t[model] == nil {
		t[model] = &Model{}
	}
	return t[model]
}

// ModelBound is a bound with the name of its model.
type ModelBound struct {
	Bound
	Model string
}

// Firm returns what may be told to others, for as long as older weights may be in use.
func (t Table) Firm(c Config, now time.Time, kept time.Duration) []ModelBound {
	var bounds []ModelBound
	for model, known := range t {
		for _, bound := range known.Firm(c, now, kept) {
			bounds = append(bounds, ModelBound{bound, model})
		}
	}
	return bounds
}
