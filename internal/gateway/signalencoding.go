package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/backpressure"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// encodeSignals encodes records for the wire, with ages instead of times because the clocks of
// routers differ.
func encodeSignals(now time.Time, records []backpressure.Record) []*wire.RunnerSignal {
	messages := make([]*wire.RunnerSignal, 0, len(records))
	for _, record := range records {
		message := &wire.RunnerSignal{Runner: record.ID, Incarnation: record.Incarnation, Rate: record.Rate}
		message.Leaving, message.LeavingAgeMillis = encodeAge(now, record.LeavingAt)
		message.Named, message.NamedAgeMillis = encodeAge(now, record.LimitReportedAt)
		message.Lifted, message.LiftedAgeMillis = encodeAge(now, record.LimitLiftedAt)
		message.MaxRejections = uint32(record.MaxRejections)
		message.Brittle, message.BrittleAgeMillis = encodeAge(now, record.BrittleReportedAt)
		message.BrittleLifted, message.BrittleLiftedAgeMillis = encodeAge(now, record.BrittleLiftedAt)
		message.Rejected, message.RejectedAgeMillis = encodeAge(now, record.RejectedAt)
		messages = append(messages, message)
	}
	return messages
}

// encodeAge returns the age of a time, or false for the zero time.
func encodeAge(now, at time.Time) (known bool, ageMillis uint64) {
	if at.IsZero() {
		return false, 0
	}
	return true, wire.AgeToMillis(now.Sub(at))
}

// decodeSignals returns the records that encodeSignals encoded.
func decodeSignals(now time.Time, messages []*wire.RunnerSignal) []backpressure.Record {
	records := make([]backpressure.Record, 0, len(messages))
	for _, message := range messages {
		record := backpressure.Record{
			Runner:        backpressure.Runner{ID: message.GetRunner(), Incarnation: message.GetIncarnation()},
			LeavingAt:     decodeAge(now, message.GetLeaving(), message.GetLeavingAgeMillis()),
			LimitLiftedAt: decodeAge(now, message.GetLifted(), message.GetLiftedAgeMillis()),

			MaxRejections:     int(message.GetMaxRejections()),
			BrittleReportedAt: decodeAge(now, message.GetBrittle(), message.GetBrittleAgeMillis()),
			BrittleLiftedAt:   decodeAge(now, message.GetBrittleLifted(), message.GetBrittleLiftedAgeMillis()),
			RejectedAt:        decodeAge(now, message.GetRejected(), message.GetRejectedAgeMillis()),
		}
		if backpressure.ValidRate(message.GetRate()) {
			record.Rate, record.LimitReportedAt = message.GetRate(), decodeAge(now, message.GetNamed(), message.GetNamedAgeMillis())
		}
		records = append(records, record)
	}
	return records
}

// decodeAge returns the time that encodeAge encoded.
func decodeAge(now time.Time, known bool, ageMillis uint64) time.Time {
	if !known {
		return time.Time{}
	}
	return now.Add(-wire.AgeFromMillis(ageMillis))
}
