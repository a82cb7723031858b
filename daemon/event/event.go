// Package event defines slipcrank's log events, each with a fixed number and message,
// and logs them with key-value pairs through klog. Package entry logs them as lines of
// JSON instead, through package decision. docs/EVENTS.md is the catalogue; a test
// compares it with [All].
//
// # Usage
//
//	event.DaemonReady.Info("callers", addr)
//	event.EngineDown.Warn("engine", addr, "error", err)
package event

import (
	"fmt"

	"k8s.io/klog/v2"
)

// Event is one kind of log line. The meaning of a number never changes.
type Event struct {
	Number  int
	Message string
}

// The hundreds digit of an event's number gives the subject: 1 daemon, 2 members and
// hosts, 3 engines and servers, 4 templates and configuration, 5 requests, 6 claims,
// 7 lease and orders, 8 platform.
var (
	DaemonReady               = Event{1101, "daemon ready"}
	DaemonDraining            = Event{1102, "daemon draining"}
	DaemonWaiting             = Event{1103, "daemon waits for requests in progress"}
	DaemonStopped             = Event{1104, "daemon stopped"}
	DaemonStoppedWithRequests = Event{1105, "daemon stopped with requests in progress"}
	InternalError             = Event{1106, "unexpected internal error, daemon continues"}
	HostSuspended             = Event{1109, "host was suspended"}
	MemberJoined              = Event{1201, "member joined"}
	MemberSuspected           = Event{1202, "member suspected"}
	MemberGone                = Event{1203, "member gone"}
	EngineUp                  = Event{1301, "engine up"}
	EngineLeaving             = Event{1302, "engine leaving"}
	EngineDown                = Event{1303, "engine down"}
	EngineCrashed             = Event{1306, "engine crashed while running a request"}
	SuspectRecordUnusable     = Event{1507, "suspect record from another daemon can't be used"}
	PrefixIndexResynced       = Event{1304, "prefix index resynced after a gap in events"}
	OrphanedHoldingReleased   = Event{1305, "orphaned holding released"}
	TemplateChangesInForce    = Event{1401, "template changes in force"}
	TemplateChangeAccepted    = Event{1402, "template change accepted"}
	SnapshotLoaded            = Event{1403, "templates loaded from a snapshot"}
	TemplateLogTrimmed        = Event{1404, "log of template changes trimmed"}
	RequestFailed             = Event{1501, "request failed"}
	RequestResumed            = Event{1502, "stream resumed on another engine"}
	PieceDropped              = Event{1503, "piece of another attempt dropped"}
	GroupEngineLost           = Event{1504, "group lost one of its engines"}
	ReleaseUnconfirmed        = Event{1505, "engine did not confirm the release of memory"}
	ClaimUndecided            = Event{1601, "claim undecided"}
	CallOutcomeUnknown        = Event{1602, "outcome of a call unknown"}
	AnswerNotStored           = Event{1603, "answer of a call not stored"}
	LeaseTaken                = Event{1701, "control lease taken"}
	LeaseLost                 = Event{1702, "control lease lost"}
	OrderGiven                = Event{1703, "order given to engine"}
	OrderFailed               = Event{1704, "order to engine failed"}
	PlatformUnreachable       = Event{1801, "platform does not answer"}
	PlatformReachable         = Event{1802, "platform answers again"}

	RequestPlaced           = Event{1511, "request placed"}
	RequestRetried          = Event{1512, "request tried again"}
	RequestRefused          = Event{1513, "request refused"}
	RequestEnded            = Event{1514, "request ended"}
	WorkspaceLimited        = Event{1515, "workspace limited to its share of engines"}
	WorkspaceLimitLifted    = Event{1516, "workspace no longer limited to its share of engines"}
	SuspectChanged          = Event{1517, "request suspected of crashing servers"}
	SuspectRefused          = Event{1518, "request refused since it crashes servers"}
	SuspectCleared          = Event{1519, "suspected request answered, and cleared"}
	SuspectRemoved          = Event{1520, "suspected request removed"}
	ServerAvoided           = Event{1311, "backend server avoided for a while"}
	ServersChanged          = Event{1312, "backend servers changed"}
	ServerCrashed           = Event{1313, "backend server crashed while running requests"}
	CrashConfirmed          = Event{1314, "crash of a backend server confirmed"}
	ServerLeavingOrReturned = Event{1315, "backend server is leaving or has returned"}
	ServerLimitChanged      = Event{1316, "backend server reports a new limit"}
	ServerReportsLeaving    = Event{1318, "backend server reports that it is leaving"}
	ServerRequestsBackoff   = Event{1319, "backend server asks for backoff"}
	ServerNoticeUnreadable  = Event{1317, "notice from a backend server can't be read"}
	RequestDelegated        = Event{1521, "request delegated to another host"}
	PartSuspected           = Event{1524, "part of prompts suspected of crashing servers"}
	PartRefused             = Event{1525, "request refused since a part of its prompt crashes servers"}
	RequestCut              = Event{1527, "request cut by the end of the process"}
	RequestNearEnd          = Event{1529, "request in progress near the end of the process"}
	StreamHandover          = Event{1528, "stream offered to other backend servers"}
	AnswerInvalid           = Event{1526, "answer of a backend server is invalid"}
	EngineTimeScarce        = Event{1523, "engines' time has become scarce, or is enough again"}
	PathChanged             = Event{1322, "path to the backend servers of a service has changed"}
	HallEvacuated           = Event{1320, "data hall evacuated, its backend servers get no new work"}
	HallEvacuationEnded     = Event{1321, "evacuation of a data hall taken back"}
	PlatformReturned        = Event{1803, "platform is back after an outage, missing entries may have lapsed"}
	ConfigInForce           = Event{1411, "configuration in force"}
	PlatformRestored        = Event{1804, "platform is back from a copy, and has lost its latest writes"}
	PlatformRowUnusable     = Event{1412, "row of the platform can't be used"}
	KeysUnproven            = Event{1413, "keys are no longer proven to be in force"}
	KeysProven              = Event{1414, "keys are proven to be in force again"}
	SettingsReloaded        = Event{1107, "settings read again"}
	SettingsUnusable        = Event{1108, "settings can't be used"}
	UpdateLost              = Event{1211, "update between hosts lost"}
	HostsChanged            = Event{1212, "other hosts changed"}
	RelayStreamLost         = Event{1213, "updates relayed by another host are no longer received"}
	SourcesChosen           = Event{1214, "relay sources and platform polling chosen"}
	ForwardersChosen        = Event{1215, "forwarders of updates chosen"}
)

// All contains every event.
var All = []Event{
	DaemonReady, DaemonDraining, DaemonWaiting, DaemonStopped, DaemonStoppedWithRequests, InternalError, HostSuspended,
	MemberJoined, MemberSuspected, MemberGone,
	EngineUp, EngineLeaving, EngineDown, EngineCrashed, SuspectRecordUnusable, PrefixIndexResynced, OrphanedHoldingReleased,
	TemplateChangesInForce, TemplateChangeAccepted, SnapshotLoaded, TemplateLogTrimmed,
	RequestFailed, RequestResumed, PieceDropped, GroupEngineLost, ReleaseUnconfirmed,
	ClaimUndecided, CallOutcomeUnknown, AnswerNotStored,
	LeaseTaken, LeaseLost, OrderGiven, OrderFailed,
	PlatformUnreachable, PlatformReachable,
	RequestPlaced, RequestRetried, RequestRefused, RequestEnded, WorkspaceLimited, WorkspaceLimitLifted, EngineTimeScarce, PartSuspected, PartRefused, AnswerInvalid, RequestCut, RequestNearEnd, StreamHandover,
	SuspectChanged, SuspectRefused, SuspectCleared, SuspectRemoved,
	ServerAvoided, ServersChanged, ServerCrashed, CrashConfirmed, ServerLeavingOrReturned, ServerLimitChanged, ServerNoticeUnreadable, ServerReportsLeaving, ServerRequestsBackoff, RequestDelegated, PathChanged, HallEvacuated, HallEvacuationEnded, PlatformReturned, PlatformRestored, ConfigInForce, PlatformRowUnusable, KeysUnproven, KeysProven,
	SettingsReloaded, SettingsUnusable, UpdateLost, HostsChanged, RelayStreamLost, SourcesChosen, ForwardersChosen,
}

// String returns the number and the message, as klog lines show them.
func (e Event) String() string { return fmt.Sprintf("SC%d %s", e.Number, e.Message) }

// Info logs the event with key-value pairs.
func (e Event) Info(pairs ...any) { klog.InfoSDepth(1, e.String(), pairs...) }

// Warn logs the event as one that an operator may have to act on.
func (e Event) Warn(pairs ...any) {
	klog.InfoSDepth(1, e.String(), append([]any{"severity", "warning"}, pairs...)...)
}

// Error logs the event with the error that caused it and key-value pairs.
func (e Event) Error(err error, pairs ...any) { klog.ErrorSDepth(1, err, e.String(), pairs...) }
