package event

import "log/slog"

// Events of every daemon: 1000 to 1099.
var (
	Started     = Event{1000, "started", slog.LevelInfo, "The process has started; attributes tell its role, name and incarnation."}
	Listening   = Event{1001, "listening", slog.LevelInfo, "A listener is open."}
	StopBegun   = Event{1002, "stop-begun", slog.LevelInfo, "A planned stop has begun: look-ups no longer name this entry."}
	Stopped     = Event{1003, "stopped", slog.LevelInfo, "The process ends; attributes tell the drain time and the requests cut off."}
	StopForced  = Event{1004, "stop-forced", slog.LevelWarn, "The stop was cut short by a second signal or the drain limit; some requests were cut off."}
	ServeFailed = Event{1005, "serve-failed", slog.LevelError, "A listener failed."}
)

// Events of the document: 1100 to 1199.
var (
	DocumentApplied = Event{1100, "document-applied", slog.LevelInfo, "A version of the document is in force on this entry."}
	DocumentRefused = Event{1101, "document-refused", slog.LevelError, "A fetched document can't be read or doesn't match its digest; the one in force stays."}
	ControlLost     = Event{1102, "control-lost", slog.LevelWarn, "No control VM answers; the document in force stays."}
	ControlFound    = Event{1103, "control-found", slog.LevelInfo, "A control VM answers again."}
	ServingCutOff   = Event{1104, "serving-cut-off", slog.LevelWarn, "This entry started without a control quorum and serves the newest version of the peers in reach."}
)

// Events of membership and ownership: 1200 to 1299.
var (
	MemberLost  = Event{1200, "member-lost", slog.LevelWarn, "An entry is no longer heard of."}
	MemberFound = Event{1201, "member-found", slog.LevelInfo, "An entry is heard of, or with a new incarnation."}
	OwnerGained = Event{1202, "owner-gained", slog.LevelInfo, "This entry now owns a group."}
	OwnerLost   = Event{1203, "owner-lost", slog.LevelInfo, "This entry no longer owns a group."}
)

// Events of endpoints and requests: 1300 to 1399.
var (
	EndpointFound   = Event{1300, "endpoint-found", slog.LevelInfo, "An endpoint announced a new incarnation."}
	EndpointLeaving = Event{1301, "endpoint-leaving", slog.LevelInfo, "An endpoint takes no new work."}
	EndpointDied    = Event{1302, "endpoint-died", slog.LevelWarn, "An endpoint's process ended with requests on it."}
	Quarantined     = Event{1303, "quarantined", slog.LevelError, "A request crashed two endpoint incarnations and is refused from now on."}
	QuarantineLift  = Event{1304, "quarantine-lifted", slog.LevelInfo, "An operator lifted a quarantine."}
	HandOverFailed  = Event{1305, "hand-over-failed", slog.LevelWarn, "Claims could not be handed to a peer; resends of their keys get may-have-run."}
	HandOverDone    = Event{1306, "hand-over-done", slog.LevelInfo, "Claims were handed to peers."}
)

// Catalogue lists every event in the order of its number.
var Catalogue = []Event{
	Started, Listening, StopBegun, Stopped, StopForced, ServeFailed,
	DocumentApplied, DocumentRefused, ControlLost, ControlFound, ServingCutOff,
	MemberLost, MemberFound, OwnerGained, OwnerLost,
	EndpointFound, EndpointLeaving, EndpointDied, Quarantined, QuarantineLift, HandOverFailed, HandOverDone,
}
