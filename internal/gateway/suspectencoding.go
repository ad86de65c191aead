package gateway

import (
	"time"

	"github.com/clovertiller/clovertiller/internal/quarantine"
	"github.com/clovertiller/clovertiller/internal/wire"
)

// encodeSuspectNews returns the message that broadcasts the records.
func encodeSuspectNews(now time.Time, records []quarantine.Record) *wire.SuspectNews {
	contents, parts := splitByKind(records)
	return &wire.SuspectNews{Records: encodeSuspects(now, contents), Parts: encodeSuspects(now, parts)}
}

// splitByKind separates the records of contents from those of prompt parts.
func splitByKind(records []quarantine.Record) (contents, parts []quarantine.Record) {
	for _, record := range records {
		if record.Subject.IsPart() {
			parts = append(parts, record)
		} else {
			contents = append(contents, record)
		}
	}
	return contents, parts
}

// encodeSuspects encodes records for the wire, with ages instead of times because the clocks of
// routers differ.
func encodeSuspects(now time.Time, records []quarantine.Record) []*wire.SuspectRecord {
	messages := make([]*wire.SuspectRecord, 0, len(records))
	for _, record := range records {
		message := &wire.SuspectRecord{
			Tenant: record.Subject.Tenant, Digest: record.Subject.Digest, Outlived: !record.SurvivedAt.IsZero(),
			Part: record.Subject.Part, Service: record.Service, RunMillis: runMillis(record), Contrast: !record.ContrastAt.IsZero(),
		}
		if message.Outlived {
			message.OutlivedAgeMillis = wire.AgeToMillis(now.Sub(record.SurvivedAt))
		}
		if message.Contrast {
			message.ContrastAgeMillis = wire.AgeToMillis(now.Sub(record.ContrastAt))
		}
		for _, crash := range record.Crashes {
			message.Ends = append(message.Ends, &wire.RunnerEnd{
				Runner: crash.Runner.ID, Incarnation: crash.Runner.Incarnation,
				AgeMillis: wire.AgeToMillis(now.Sub(crash.DetectedAt)), BeganAgeMillis: wire.AgeToMillis(now.Sub(crash.SentAt)), Content: crash.Content, Credential: crash.Credential,
			})
		}
		messages = append(messages, message)
	}
	return messages
}

// decodeSuspects returns the records that encodeSuspects encoded.
func decodeSuspects(now time.Time, messages []*wire.SuspectRecord) []quarantine.Record {
	records := make([]quarantine.Record, 0, len(messages))
	for _, message := range messages {
		record := quarantine.Record{
			Subject: quarantine.Subject{Tenant: message.GetTenant(), Digest: message.GetDigest(), Part: message.GetPart()},
			Service: message.GetService(), RunTime: time.Duration(message.GetRunMillis()) * time.Millisecond,
		}
		if message.GetOutlived() {
			record.SurvivedAt = now.Add(-wire.AgeFromMillis(message.GetOutlivedAgeMillis()))
		}
		if message.GetContrast() {
			record.ContrastAt = now.Add(-wire.AgeFromMillis(message.GetContrastAgeMillis()))
		}
		for _, crash := range message.GetEnds() {
			record.Crashes = append(record.Crashes, quarantine.Crash{
				Runner: quarantine.Runner{ID: crash.GetRunner(), Incarnation: crash.GetIncarnation()}, Content: crash.GetContent(), Credential: crash.GetCredential(),
				DetectedAt: now.Add(-wire.AgeFromMillis(crash.GetAgeMillis())), SentAt: now.Add(-wire.AgeFromMillis(crash.GetBeganAgeMillis())),
			})
		}
		records = append(records, record)
	}
	return records
}

// runMillis returns the run time of the record, at least 1 if there is one.
func runMillis(record quarantine.Record) uint64 {
	if record.RunTime == 0 {
		return 0
	}
	return uint64(max(record.RunTime.Milliseconds(), 1))
}
