package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/quarantine"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// suspectNews writes records for other routers.
func suspectNews(now time.Time, records []quarantine.Record) *wire.SuspectNews {
	return &wire.SuspectNews{Records: suspectMessages(now, records)}
}

// suspectMessages writes records with ages in place of moments: clocks differ.
func suspectMessages(now time.Time, records []quarantine.Record) []*wire.SuspectRecord {
	messages := make([]*wire.SuspectRecord, 0, len(records))
	for _, record := range records {
		message := &wire.SuspectRecord{Tenant: record.Content.Tenant, Digest: record.Content.Digest, Outlived: !record.OutlivedAt.IsZero()}
		if message.Outlived {
			message.OutlivedAgeMillis = wire.AgeToMillis(now.Sub(record.OutlivedAt))
		}
		for _, end := range record.Ends {
			message.Ends = append(message.Ends, &wire.RunnerEnd{
				Runner: end.Runner.ID, Incarnation: end.Runner.Incarnation,
				AgeMillis: wire.AgeToMillis(now.Sub(end.At)), BeganAgeMillis: wire.AgeToMillis(now.Sub(end.Began)),
			})
		}
		messages = append(messages, message)
	}
	return messages
}

// recordsOf reads what suspectMessages wrote.
func recordsOf(now time.Time, messages []*wire.SuspectRecord) []quarantine.Record {
	records := make([]quarantine.Record, 0, len(messages))
	for _, message := range messages {
		record := quarantine.Record{Content: quarantine.Content{Tenant: message.GetTenant(), Digest: message.GetDigest()}}
		if message.GetOutlived() {
			record.OutlivedAt = now.Add(-wire.AgeFromMillis(message.GetOutlivedAgeMillis()))
		}
		for _, end := range message.GetEnds() {
			record.Ends = append(record.Ends, quarantine.End{
				Runner: quarantine.Runner{ID: end.GetRunner(), Incarnation: end.GetIncarnation()},
				At:     now.Add(-wire.AgeFromMillis(end.GetAgeMillis())), Began: now.Add(-wire.AgeFromMillis(end.GetBeganAgeMillis())),
			})
		}
		records = append(records, record)
	}
	return records
}
