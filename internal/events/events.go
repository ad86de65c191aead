// Package events defines the numbered log events of the product and writes them
// as JSON lines. docs/EVENTS.md documents every event; a test checks that the
// page matches the definitions here.
package events

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// Event defines one kind of log entry: its number, level and message.
type Event struct {
	// Number identifies the event. It is the same in all versions of the product.
	Number int
	Level  logrus.Level
	// Text is the log message.
	Text string
}

// WithLevel returns the event at another level, for occurrences that are more or less severe than usual.
func (e Event) WithLevel(level logrus.Level) Event {
	e.Level = level
	return e
}

// The events. The number of a removed event is never assigned to another one.
var (
	NodeStarted                   = define(100, logrus.InfoLevel, "router started")
	NodeServing                   = define(101, logrus.InfoLevel, "router serves requests")
	NodeDraining                  = define(102, logrus.InfoLevel, "router is draining")
	NodeStopped                   = define(103, logrus.InfoLevel, "router stopped")
	NodePaused                    = define(104, logrus.WarnLevel, "router process was paused")
	DuplicateNode                 = define(105, logrus.ErrorLevel, "another process uses this node's name")
	StartStageReached             = define(106, logrus.InfoLevel, "start of the router reached a stage")
	MemberJoined                  = define(200, logrus.InfoLevel, "member joined")
	MemberChanged                 = define(201, logrus.InfoLevel, "member changed state")
	MemberRemoved                 = define(202, logrus.InfoLevel, "dead member removed from the member list")
	ZoneUnreachable               = define(203, logrus.WarnLevel, "zone is unreachable")
	ZoneReachable                 = define(204, logrus.InfoLevel, "zone is reachable again")
	ConfigApplied                 = define(300, logrus.InfoLevel, "configuration applied")
	WatchStarted                  = define(301, logrus.InfoLevel, "watching the platform")
	WatchEnded                    = define(302, logrus.WarnLevel, "watch of the platform ended")
	PlatformStale                 = define(303, logrus.WarnLevel, "ignored a platform state older than the known one")
	RunnerConnected               = define(400, logrus.InfoLevel, "runner connected")
	RunnerLost                    = define(401, logrus.WarnLevel, "runner lost")
	RunnerIndexReloaded           = define(402, logrus.InfoLevel, "cache index of a runner reloaded")
	RequestRetried                = define(500, logrus.InfoLevel, "request retried on another runner")
	RequestResumed                = define(501, logrus.InfoLevel, "stream resumed on the same runner")
	RequestFailed                 = define(502, logrus.WarnLevel, "request failed")
	FrameDropped                  = define(503, logrus.WarnLevel, "dropped a frame of an unexpected attempt or offset")
	PlacementFallback             = define(504, logrus.WarnLevel, "index owner did not answer; placed without the cache index")
	RequestEnded                  = define(510, logrus.InfoLevel, "request ended")
	RequestRefused                = define(511, logrus.WarnLevel, "request refused")
	RequestSent                   = define(512, logrus.InfoLevel, "request sent to runner")
	RequestAttemptFailed          = define(513, logrus.WarnLevel, "attempt on a runner failed")
	StreamContinued               = define(514, logrus.InfoLevel, "stream continues on another runner")
	StreamCut                     = define(515, logrus.WarnLevel, "stream terminated before its end")
	CallerDisconnected            = define(516, logrus.InfoLevel, "caller disconnected")
	QuotaDecided                  = define(517, logrus.InfoLevel, "quota decision made for the request's tenant")
	PlacementDeclined             = define(518, logrus.InfoLevel, "runner chosen by the scheduler is not usable")
	SendNotConfirmed              = define(519, logrus.InfoLevel, "request not sent: its runner may not begin it any more")
	ReceptionEvicted              = define(539, logrus.WarnLevel, "connection or request ended before it had arrived whole: its memory is needed")
	EndlessResponse               = define(534, logrus.WarnLevel, "response given up: its head or body does not end")
	RunnerEndDetected             = define(520, logrus.WarnLevel, "runner ended while requests were running on it")
	ContentQuarantined            = define(521, logrus.WarnLevel, "content is not sent any more: runners ended while processing it")
	QuarantineLifted              = define(522, logrus.InfoLevel, "content is sent again: a runner survived processing it")
	QuarantineLiftedByOperator    = define(529, logrus.WarnLevel, "content is sent again: an operator lifted its quarantine")
	ClaimsServing                 = define(600, logrus.InfoLevel, "serving claims as a holder of the assignment")
	RunnerSignalReceived          = define(523, logrus.InfoLevel, "runner sent a new leaving, limit or rest signal")
	SignalUnreadable              = define(524, logrus.WarnLevel, "signal headers of a runner cannot be read")
	RunnerSignalForwarded         = define(525, logrus.InfoLevel, "received a runner's signal from another router")
	StreamTakenUp                 = define(526, logrus.InfoLevel, "caller takes a stream up")
	StreamOriginResolved          = define(527, logrus.InfoLevel, "software version of a stream that is taken up was looked up")
	StreamOriginsCallFailed       = define(536, logrus.WarnLevel, "store call about the software versions of streams failed")
	RosterWritten                 = define(537, logrus.InfoLevel, "software versions of services written to the store")
	RecordsNotAcknowledged        = define(538, logrus.WarnLevel, "stream records were not acknowledged by the router that writes them; this one does")
	BroadcastNotAcknowledged      = define(545, logrus.WarnLevel, "records about runners or contents were not acknowledged; they are sent again")
	StreamOriginRecorded          = define(528, logrus.InfoLevel, "software version of a stream recorded")
	HandlerPanicked               = define(531, logrus.ErrorLevel, "handler of a request panicked")
	ServerError                   = define(532, logrus.WarnLevel, "HTTP server reported an error")
	RequestUnanswered             = define(530, logrus.WarnLevel, "request ended without a complete response")
	SilentRunnerProbed            = define(533, logrus.WarnLevel, "runner of a silent stream did not answer probes")
	ClaimsRetired                 = define(601, logrus.InfoLevel, "no longer a claim holder")
	AssignmentProposed            = define(602, logrus.InfoLevel, "claim assignment written")
	AssignmentBlocked             = define(603, logrus.WarnLevel, "claim assignment cannot change yet")
	LeaseAcquired                 = define(700, logrus.InfoLevel, "controller lease acquired")
	LeaseLost                     = define(701, logrus.WarnLevel, "controller lease lost")
	OrderSent                     = define(702, logrus.InfoLevel, "order sent to runner")
	OrderRefused                  = define(703, logrus.WarnLevel, "order refused by runner")
	LeaseCallFailed               = define(704, logrus.WarnLevel, "read or write of the controller lease failed")
	RunnerReportFailed            = define(705, logrus.WarnLevel, "runner did not report its weights")
	GatewayStarted                = define(800, logrus.InfoLevel, "gateway started")
	GatewayDraining               = define(801, logrus.InfoLevel, "gateway is draining")
	GatewayStopped                = define(802, logrus.InfoLevel, "gateway stopped")
	SettingsReloaded              = define(803, logrus.InfoLevel, "settings reloaded")
	MetricsUnavailable            = define(804, logrus.WarnLevel, "metrics cannot be served")
	LogLinesDropped               = define(805, logrus.WarnLevel, "log lines dropped")
	SettingsRefused               = define(806, logrus.WarnLevel, "settings are invalid; the previous settings stay in effect")
	MachineSuspended              = define(807, logrus.WarnLevel, "machine was suspended")
	DescriptorsExhausted          = define(808, logrus.WarnLevel, "no file descriptor is free; closed idle connections to runners")
	ConfigInForce                 = define(810, logrus.InfoLevel, "configuration in force")
	ConfigStale                   = define(811, logrus.WarnLevel, "configuration is no longer confirmed as current; requests with API keys are refused")
	ConfigProven                  = define(812, logrus.InfoLevel, "configuration is confirmed as current again")
	ObjectUnreadable              = define(813, logrus.ErrorLevel, "stored object cannot be read and is ignored")
	QuarantineStoreCallFailed     = define(828, logrus.WarnLevel, "store call for quarantine records failed")
	DirectoryNotProven            = define(836, logrus.WarnLevel, "directory of runners could not be compared with the store")
	StoreStale                    = define(845, logrus.WarnLevel, "store answered with a state older than the known one")
	StoreLostChanges              = define(846, logrus.WarnLevel, "store was restored from a backup that lacks known changes; routers keep these changes")
	RolloutOrdered                = define(850, logrus.InfoLevel, "service is to be moved to another software version")
	RolloutStep                   = define(851, logrus.InfoLevel, "service's move to another software version took a step")
	RolloutEnded                  = define(852, logrus.InfoLevel, "state of a service's move to another software version changed")
	RolloutRejected               = define(853, logrus.ErrorLevel, "order to move a service to another software version cannot be carried out")
	PathStateChanged              = define(860, logrus.WarnLevel, "state of the links to a service's runners changed")
	RunnerPathChanged             = define(863, logrus.WarnLevel, "path to a single runner was lost or works again")
	CallForwarded                 = define(861, logrus.InfoLevel, "request forwarded to another router")
	ForwardedCallUnreadable       = define(862, logrus.WarnLevel, "request forwarded by another router cannot be read")
	RolloutAccountRestarted       = define(855, logrus.InfoLevel, "leader of a service's move to another software version takes all that is reserved as spent: another router wrote the status, or the store was restored")
	RolloutStatusNotWritten       = define(854, logrus.WarnLevel, "status of a service's move to another software version could not be written")
	StateTransferred              = define(847, logrus.InfoLevel, "received from another router the changes that the restored store lacks")
	StoreListed                   = define(820, logrus.InfoLevel, "listed all objects of a kind in the store")
	StoreHistoryGone              = define(821, logrus.WarnLevel, "history of the store is gone; listing again")
	StoreUnavailable              = define(822, logrus.WarnLevel, "store calls fail")
	StoreRecovered                = define(823, logrus.InfoLevel, "store answers again")
	SourceChanged                 = define(824, logrus.InfoLevel, "switched between reading objects from the store and from another router")
	RelayChanged                  = define(825, logrus.InfoLevel, "changes are requested from another router of the zone")
	RegionSchedulersChanged       = define(835, logrus.InfoLevel, "schedulers of the own region changed")
	WatchStalled                  = define(826, logrus.WarnLevel, "watch of the store was stalled; a second watch returned changes")
	PeerConnectionLost            = define(827, logrus.WarnLevel, "connection to another router was lost; closed idle connections to runners")
	StoreRestored                 = define(829, logrus.WarnLevel, "store was restored from a backup")
	RunnerAdded                   = define(830, logrus.InfoLevel, "runner added")
	DirectoryReceived             = define(834, logrus.InfoLevel, "many runners added at once")
	RunnerChanged                 = define(831, logrus.InfoLevel, "runner changed state")
	RunnerRemoved                 = define(832, logrus.InfoLevel, "runner removed")
	RunnerRestarted               = define(833, logrus.InfoLevel, "runner restarted under its name")
	WeightsNamed                  = define(840, logrus.InfoLevel, "weights named")
	CacheStoreAvailabilityChanged = define(842, logrus.InfoLevel, "availability of a cache store changed")
	CacheReadFailed               = define(843, logrus.WarnLevel, "cache contents of a runner or cache store could not be read")
	WeightBoundReceived           = define(844, logrus.InfoLevel, "received from another router a bound on when weights were named")
	RunnerWeightsChanged          = define(841, logrus.InfoLevel, "runner's weights changed")
)

var catalogue []Event

func define(number int, level logrus.Level, text string) Event {
	event := Event{Number: number, Level: level, Text: text}
	catalogue = append(catalogue, event)
	return event
}

// Catalogue returns all events in the order in which they are defined.
func Catalogue() []Event { return append([]Event(nil), catalogue...) }

// Fields holds the key-value pairs of one log entry.
type Fields = logrus.Fields

// timeFormat includes milliseconds, so that log lines of several nodes can be
// merged in order of time.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Logger writes the events of one node.
type Logger struct {
	entry *logrus.Entry
}

// NewLogger returns a logger that writes events of at least the given level to
// output as JSON lines with the name of the node.
func NewLogger(output io.Writer, node string, level logrus.Level) *Logger {
	logger := logrus.New()
	logger.SetOutput(output)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	return &Logger{entry: logger.WithField("node", node)}
}

// Log writes an event with the current time.
func (l *Logger) Log(event Event, fields Fields) { l.LogAt(time.Now(), event, fields) }

// LogAt writes an event with the given time.
func (l *Logger) LogAt(at time.Time, event Event, fields Fields) {
	l.entry.WithTime(at).WithField("event", event.Number).WithFields(fields).Log(event.Level, event.Text)
}
