// Package events writes the numbered log events of the product. docs/EVENTS.md
// is their catalogue; a test keeps the two equal.
package events

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// Event is one kind of log entry.
type Event struct {
	// Number identifies the event in every version of the product.
	Number int
	Level  logrus.Level
	// Text says what happened.
	Text string
}

// The events. Numbers are never used again for something else.
var (
	NodeStarted          = define(100, logrus.InfoLevel, "router started")
	NodeServing          = define(101, logrus.InfoLevel, "router serves requests")
	NodeDraining         = define(102, logrus.InfoLevel, "router is draining")
	NodeStopped          = define(103, logrus.InfoLevel, "router stopped")
	NodePaused           = define(104, logrus.WarnLevel, "router did not run for a while")
	DuplicateNode        = define(105, logrus.ErrorLevel, "another process runs under this node's name")
	MemberJoined         = define(200, logrus.InfoLevel, "member joined")
	MemberChanged        = define(201, logrus.InfoLevel, "member changed state")
	MemberForgotten      = define(202, logrus.InfoLevel, "dead member forgotten")
	ZoneUnreachable      = define(203, logrus.WarnLevel, "zone is unreachable")
	ZoneReachable        = define(204, logrus.InfoLevel, "zone is reachable again")
	ConfigApplied        = define(300, logrus.InfoLevel, "configuration applied")
	WatchStarted         = define(301, logrus.InfoLevel, "watching the platform")
	WatchEnded           = define(302, logrus.WarnLevel, "watch of the platform ended")
	PlatformStale        = define(303, logrus.WarnLevel, "platform served an older state, which was ignored")
	RunnerConnected      = define(400, logrus.InfoLevel, "runner connected")
	RunnerLost           = define(401, logrus.WarnLevel, "runner lost")
	RunnerResync         = define(402, logrus.InfoLevel, "cache index of a runner read anew")
	RequestRetried       = define(500, logrus.InfoLevel, "request goes to another runner")
	RequestResumed       = define(501, logrus.InfoLevel, "stream resumed on the same runner")
	RequestFailed        = define(502, logrus.WarnLevel, "request failed")
	FrameDropped         = define(503, logrus.WarnLevel, "frame of another attempt or offset dropped")
	PlacementFallback    = define(504, logrus.WarnLevel, "index owner did not answer; placed without index")
	RequestEnded         = define(510, logrus.InfoLevel, "request ended")
	RequestRefused       = define(511, logrus.WarnLevel, "request refused")
	RequestSent          = define(512, logrus.InfoLevel, "request sent to runner")
	RequestAnswerBad     = define(513, logrus.WarnLevel, "runner did not answer the request well")
	StreamContinued      = define(514, logrus.InfoLevel, "stream goes on at another runner")
	StreamCut            = define(515, logrus.WarnLevel, "stream cut")
	CallerLeft           = define(516, logrus.InfoLevel, "caller left")
	QuotaDecided         = define(517, logrus.InfoLevel, "request counted against its tenant's limit")
	PlacementDeclined    = define(518, logrus.InfoLevel, "scheduler's choice of a runner is not usable")
	SendNotConfirmed     = define(519, logrus.InfoLevel, "request not sent: its runner may not begin it any more")
	RunnerFoundEnded     = define(520, logrus.WarnLevel, "runner ended with requests at work on it")
	ContentQuarantined   = define(521, logrus.WarnLevel, "content is not sent any more: runners ended under it")
	QuarantineLifted     = define(522, logrus.InfoLevel, "content is sent again: a runner has outlived it")
	ClaimsServing        = define(600, logrus.InfoLevel, "serving claims of an assignment")
	RunnerSignalled      = define(523, logrus.InfoLevel, "runner says something new of itself")
	SignalUnreadable     = define(524, logrus.WarnLevel, "what a runner says of itself cannot be read")
	RunnerSignalTold     = define(525, logrus.InfoLevel, "another router told what a runner says of itself")
	ClaimsRetired        = define(601, logrus.InfoLevel, "no longer a claim holder")
	AssignmentProposed   = define(602, logrus.InfoLevel, "claim assignment written")
	AssignmentBlocked    = define(603, logrus.WarnLevel, "claim assignment cannot change yet")
	LeaseAcquired        = define(700, logrus.InfoLevel, "controller lease acquired")
	LeaseLost            = define(701, logrus.WarnLevel, "controller lease lost")
	OrderSent            = define(702, logrus.InfoLevel, "order given to runner")
	OrderRefused         = define(703, logrus.WarnLevel, "order refused by runner")
	LeaseCallFailed      = define(704, logrus.WarnLevel, "call on the controller lease failed")
	RunnerSilent         = define(705, logrus.WarnLevel, "runner did not report on its weights")
	GatewayStarted       = define(800, logrus.InfoLevel, "gateway started")
	GatewayDraining      = define(801, logrus.InfoLevel, "gateway is draining")
	GatewayStopped       = define(802, logrus.InfoLevel, "gateway stopped")
	SettingsReloaded     = define(803, logrus.InfoLevel, "settings read again")
	FiguresUnavailable   = define(804, logrus.WarnLevel, "counters cannot be served")
	LinesDropped         = define(805, logrus.WarnLevel, "log lines dropped")
	SettingsRefused      = define(806, logrus.WarnLevel, "settings are faulty; the former ones stay")
	MachineSuspended     = define(807, logrus.WarnLevel, "machine was suspended")
	ConfigInForce        = define(810, logrus.InfoLevel, "configuration in force")
	ConfigStale          = define(811, logrus.WarnLevel, "configuration is no longer proved; requests with keys are refused")
	ConfigProven         = define(812, logrus.InfoLevel, "configuration is proved again")
	ObjectUnreadable     = define(813, logrus.ErrorLevel, "object of the store cannot be read and is ignored")
	QuarantineCallFailed = define(828, logrus.WarnLevel, "call on the kept quarantines failed")
	StoreBehind          = define(845, logrus.WarnLevel, "answer of the store is older than what is known")
	StoreLostChanges     = define(846, logrus.WarnLevel, "store came back from a copy that lacks changes; what is known of them is kept")
	StateTransferred     = define(847, logrus.InfoLevel, "another router told what it knows beyond a store that came back from a copy")
	StoreListed          = define(820, logrus.InfoLevel, "objects of a kind listed")
	StoreHistoryGone     = define(821, logrus.WarnLevel, "history of the store is gone; listing again")
	StoreLost            = define(822, logrus.WarnLevel, "store does not answer well")
	StoreRegained        = define(823, logrus.InfoLevel, "store answers again")
	SourceChanged        = define(824, logrus.InfoLevel, "objects are read from the store, or from another router")
	RelayChanged         = define(825, logrus.InfoLevel, "changes are asked of another router of the zone")
	WatchRenewed         = define(826, logrus.WarnLevel, "watch of the store was behind; made anew it brought changes")
	ConnectionsLost      = define(827, logrus.WarnLevel, "connection to another router was lost; idle ones to runners are closed")
	StoreRestored        = define(829, logrus.WarnLevel, "store came back from a copy")
	RunnerAdded          = define(830, logrus.InfoLevel, "runner added")
	RunnerChanged        = define(831, logrus.InfoLevel, "runner changed state")
	RunnerRemoved        = define(832, logrus.InfoLevel, "runner removed")
	RunnerRestarted      = define(833, logrus.InfoLevel, "runner started again under its name")
	WeightsNamed         = define(840, logrus.InfoLevel, "weights named")
	CacheStoreChanged    = define(842, logrus.InfoLevel, "store of kept cache answers, or no longer")
	CacheUnread          = define(843, logrus.WarnLevel, "what a runner keeps could not be read")
	WeightsBounded       = define(844, logrus.InfoLevel, "another router told when weights were named at the earliest")
	WeightsLearned       = define(841, logrus.InfoLevel, "runner's weights changed")
)

var catalogue []Event

func define(number int, level logrus.Level, text string) Event {
	event := Event{Number: number, Level: level, Text: text}
	catalogue = append(catalogue, event)
	return event
}

// Catalogue returns all events in order of definition.
func Catalogue() []Event { return append([]Event(nil), catalogue...) }

// Fields are the values of one log entry.
type Fields = logrus.Fields

// timeFormat has milliseconds, so that lines of several nodes can be put in order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Logger writes events of one node.
type Logger struct {
	entry *logrus.Entry
}

// NewLogger returns a logger that writes JSON lines.
func NewLogger(output io.Writer, node string, level logrus.Level) *Logger {
	logger := logrus.New()
	logger.SetOutput(output)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	return &Logger{entry: logger.WithField("node", node)}
}

// Log writes one event.
func (l *Logger) Log(event Event, fields Fields) { l.LogAt(time.Now(), event, fields) }

// LogAt writes an event that happened at the given time.
func (l *Logger) LogAt(at time.Time, event Event, fields Fields) {
	l.entry.WithTime(at).WithField("event", event.Number).WithFields(fields).Log(event.Level, event.Text)
}
