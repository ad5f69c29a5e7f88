package event

import "log/slog"

// Events of every daemon: 1000 to 1099.
var (
	Started      = Event{1000, "started", slog.LevelInfo, "The process started; attributes give its role and name, and others that depend on the role, such as an entry's incarnation."}
	Listening    = Event{1001, "listening", slog.LevelInfo, "A listener is open."}
	StopBegun    = Event{1002, "stop-begun", slog.LevelInfo, "A planned stop began: look-ups no longer return this entry, or this gateway reports that it isn't ready."}
	Stopped      = Event{1003, "stopped", slog.LevelInfo, "The process ends; attributes of an entry give the drain time and the number of requests cut off."}
	StopForced   = Event{1004, "stop-forced", slog.LevelWarn, "The drain ended before all requests did, by a second signal or the time limit; the attribute gives the number still in flight."}
	ServeFailed  = Event{1005, "serve-failed", slog.LevelError, "A listener failed."}
	CallPanicked = Event{1007, "call-panicked", slog.LevelError, "The handler of a call of another VM failed unexpectedly; the call failed, the process goes on. Report it with the stack in the record."}
	StopWaits    = Event{1006, "stop-waits", slog.LevelInfo, "A planned stop waits for at most 5 s, while this entry still serves, until another entry of the place may own groups."}
)

// Events of the document: 1100 to 1199.
var (
	DocumentApplied      = Event{1100, "document-applied", slog.LevelInfo, "A version of the document is in force on this entry."}
	DocumentRefused      = Event{1101, "document-refused", slog.LevelError, "A fetched document can't be read or doesn't match its digest; the one in force is kept."}
	ControlLost          = Event{1102, "control-lost", slog.LevelWarn, "No control VM with a quorum answers; the document in force is kept."}
	ControlFound         = Event{1103, "control-found", slog.LevelInfo, "A control VM with a quorum answers again."}
	ServingWithoutQuorum = Event{1104, "serving-cut-off", slog.LevelWarn, "This entry started without a control quorum and serves the newest version that it received from control VMs or peers."}
	NotListed            = Event{1105, "not-listed", slog.LevelWarn, "The document in force doesn't list this entry at its place; look-ups don't return it."}
)

// Events of membership and ownership: 1200 to 1299.
var (
	MemberLost  = Event{1200, "member-lost", slog.LevelWarn, "An entry is no longer live or no longer listed in the document; this entry itself counts as lost while it is fenced."}
	MemberFound = Event{1201, "member-found", slog.LevelInfo, "An entry is live that wasn't before."}
	OwnerGained = Event{1202, "owner-gained", slog.LevelInfo, "This entry now owns a group."}
	OwnerLost   = Event{1203, "owner-lost", slog.LevelInfo, "This entry no longer owns a group."}
)

// Events of endpoints and requests: 1300 to 1399.
var (
	EndpointFound   = Event{1300, "endpoint-found", slog.LevelInfo, "An endpoint announced a new incarnation."}
	EndpointLeaving = Event{1301, "endpoint-leaving", slog.LevelInfo, "An endpoint announced that it leaves; it gets no new requests."}
	EndpointDied    = Event{1302, "endpoint-died", slog.LevelWarn, "An endpoint incarnation crashed, was replaced by a new one or became unresponsive after a request on it was lost; its in-flight requests are recorded as possible causes."}
	Quarantined     = Event{1303, "quarantined", slog.LevelError, "A request crashed two endpoint incarnations; requests with its fingerprint are refused from now on."}
	QuarantineLift  = Event{1304, "quarantine-lifted", slog.LevelInfo, "A quarantine was lifted by an operator, or a quarantine or suspicion was withdrawn by an entry."}
	HandOverFailed  = Event{1305, "hand-over-failed", slog.LevelWarn, "Claims could not be handed over to any peer; resends of their keys get may-have-run."}
	HandOverDone    = Event{1306, "hand-over-done", slog.LevelInfo, "Claims were handed over to peers."}
)

// Events of control VMs: 1400 to 1499.
var (
	FolderUnusable = Event{1400, "folder-unusable", slog.LevelWarn, "The data folder holds no usable state: it is new, or its disk was lost or damaged. The member doesn't vote until it founds the group with all others or is repaired."}
	FolderFailed   = Event{1401, "folder-failed", slog.LevelError, "The member's state could not be saved to the data folder; the member answers nothing until it is restarted."}
	GroupFounded   = Event{1402, "votes-fresh", slog.LevelInfo, "All members had empty data folders; the member founded the group and votes from now on."}
	VotesRepaired  = Event{1403, "votes-repaired", slog.LevelInfo, "The member was repaired with the state of the others and votes again."}
	StateOlder     = Event{1404, "state-older", slog.LevelWarn, "The member's state is older than its last repair, for instance because an old disk image was restored; the member stops voting until it is repaired again."}
)

// Events of operators: 1500 to 1599.
var (
	ChangeEnded        = Event{1500, "change-ended", slog.LevelInfo, "A change or a lift of a quarantine ended; an attribute gives its outcome, which may be unknown."}
	ChangeUndecided    = Event{1501, "change-undecided", slog.LevelError, "A change or a lift of a quarantine failed without an outcome; it may have been accepted."}
	ChangeRefused      = Event{1502, "change-refused", slog.LevelInfo, "A change was refused because its document has faults."}
	RefusedNotRecorded = Event{1503, "refused-not-recorded", slog.LevelWarn, "A refused change could not be recorded in the audit trail."}
	RegisterUnreadable = Event{1504, "register-unreadable", slog.LevelError, "This version of the program can't read the document in the register."}
	TokenRefused       = Event{1505, "token-refused", slog.LevelWarn, "A request had a token that belongs to no operator."}
	ConsoleFailed      = Event{1510, "console-failed", slog.LevelError, "The console can't open the document."}
	ConsolePartial     = Event{1511, "console-page-partial", slog.LevelWarn, "A page of the console could not be sent completely."}
)

// Events of controllers: 1600 to 1699.
var (
	VoterStarted          = Event{1600, "voter-started", slog.LevelInfo, "A controller started with the state on its disk; attributes give the disk's ID and the epoch of voters."}
	StateLearned          = Event{1601, "state-learned", slog.LevelInfo, "A controller learned a newer chosen state."}
	EpochEntered          = Event{1602, "epoch-entered", slog.LevelInfo, "A controller learned a newer epoch with its set of voters."}
	StateUnreadable       = Event{1603, "state-unreadable", slog.LevelError, "This version of the program can't decode a chosen state."}
	ConfigOrdered         = Event{1604, "config-ordered", slog.LevelInfo, "An operator's configuration was accepted or refused, or its outcome is unknown."}
	EvacuationOrdered     = Event{1605, "evacuation-ordered", slog.LevelInfo, "An order to evacuate a zone or to end its evacuation was accepted or refused, or its outcome is unknown."}
	ControllerLost        = Event{1606, "controller-lost", slog.LevelWarn, "Another controller is unreachable."}
	ControllerFound       = Event{1607, "controller-found", slog.LevelInfo, "Another controller is reachable."}
	VotersChanged         = Event{1608, "voters-changed", slog.LevelInfo, "This controller tried to change the set of voters; an attribute gives the outcome."}
	EndpointChanged       = Event{1609, "endpoint-changed", slog.LevelInfo, "An endpoint is new, restarted, is leaving or is gone."}
	LeavingUnacknowledged = Event{1610, "leaving-unsure", slog.LevelWarn, "The announcement that an endpoint leaves was acknowledged by fewer than a majority of the voters, so it failed."}
	DispatchBegun         = Event{1611, "dispatch-begun", slog.LevelInfo, "This controller started to dispatch the requests of a region."}
	DispatchEnded         = Event{1612, "dispatch-ended", slog.LevelInfo, "This controller stopped dispatching the requests of a region."}
	OrderNotPassed        = Event{1614, "order-not-passed", slog.LevelWarn, "The distinguished proposer was unreachable or failed to answer; this controller proposes the order itself."}
	LoansChanged          = Event{1615, "loans-changed", slog.LevelInfo, "The number of endpoints that a region lends to another, or has recalled from it, changed; attributes give the numbers and the load of both regions."}
	LimitChanged          = Event{1616, "limit-changed", slog.LevelInfo, "An endpoint named another limit of its requests per second than before, or none (-1)."}
	HintsLoaded           = Event{1617, "hints-loaded", slog.LevelInfo, "A controller started with hints of its last run; attributes count the gateways, the endpoints that leave or are gone, and the loads."}
	HintsRejected         = Event{1618, "hints-rejected", slog.LevelWarn, "The hints on the controller's disk, or its record of requests that crash endpoints, can't be used; it starts without them."}
	AnnouncementRejected  = Event{1619, "announcement-rejected", slog.LevelWarn, "An endpoint's announcement can't be passed on, or isn't recorded beside the one that is known of its ID; it is ignored and not acknowledged."}
	ExchangeRejected      = Event{1620, "exchange-rejected", slog.LevelWarn, "An exchange with another controller can't be encoded, or the other one fails to handle it; its changes are sent apart, and those that are rejected alone are dropped, with a record for each."}
	ItemDropped           = Event{1621, "item-dropped", slog.LevelError, "A message between VMs held an item that can't be encoded, or that its receiver rejects; it was left out so that the rest goes on. It is logged once, or once for each receiver that rejects it."}
	ConfigCompleted       = Event{1622, "config-completed", slog.LevelInfo, "A configuration that a former release had decoded, without the client accounts, was decoded again from its source."}
	ConfigUndecodable     = Event{1623, "config-undecodable", slog.LevelError, "A configuration that a former release had decoded can't be decoded by this one. It is in force as the former release decoded it, without client accounts; gateways that need these refuse all requests. Send a corrected configuration."}
	EndpointReplaced      = Event{1624, "endpoint-replaced", slog.LevelInfo, "An endpoint is out of use because one that started later announced its address; or it is in use again, because it has announced itself since or the other one's service isn't named by the configuration any more. Attributes give both."}
	EvidenceLoaded        = Event{1625, "evidence-loaded", slog.LevelInfo, "A controller started with what its last run knew of requests that crash endpoints; attributes count the items and those that can't be used or are too old."}
	EvidenceUnconfirmed   = Event{1626, "evidence-unconfirmed", slog.LevelWarn, "What a request did to an endpoint isn't on the disks of a majority of the voters yet; attributes count these requests, which are held back meanwhile, for 5 s at most, and the voters."}
	QuotaExceeded         = Event{1630, "quota-exceeded", slog.LevelInfo, "A client account had requests refused for its quota; attributes count those since the last record of it, and those since the start that got a token, also of the region's floor, and name the region that owns the account's tokens. The accounts with the most refusals are logged every 10 s."}
	ReportsMistrusted     = Event{1640, "reports-mistrusted", slog.LevelWarn, "The loads that an endpoint reports contradict its run times and are no longer used, or they are used again; an attribute says which. At most once in 30 s and endpoint."}
	ConcurrencyLimited    = Event{1641, "concurrency-limited", slog.LevelInfo, "The limit that a dispatcher learned for an endpoint fell to three quarters of its slots or below, or rose above; attributes give both. At most once in 30 s and endpoint."}
	StoreFailed           = Event{1613, "store-failed", slog.LevelError, "A write to the data folder failed; the vote was not given and the folder is reopened."}
)

// Events of gateways: 1700 to 1799.
var (
	ConfigApplied          = Event{1700, "config-applied", slog.LevelInfo, "A newer state, with its version of the configuration, is in force on this gateway."}
	WatchLost              = Event{1701, "watch-lost", slog.LevelWarn, "A controller that this gateway watched is unreachable, or its state is stale and another one can be watched."}
	WatchBegun             = Event{1702, "watch-begun", slog.LevelInfo, "This gateway started to watch a controller."}
	RequestEnded           = Event{1703, "request-ended", slog.LevelInfo, "A request ended; attributes give its route, service, endpoint, attempts, verdict and times."}
	RecordsDropped         = Event{1704, "records-dropped", slog.LevelWarn, "Log records were dropped because standard output was too slow or the bound was reached; the attribute gives their number."}
	LinkUseChanged         = Event{1710, "link-use-changed", slog.LevelWarn, "The link of this gateway became full or has room again; attributes give which, and its use in percent. Clients that look up a gateway are sent to others while it is full."}
	ClientRefused          = Event{1711, "client-refused", slog.LevelWarn, "A request or connection of a client was refused or closed to protect the process; attributes give the port, the reason, the client, and how many more there were since the last record of the kind. OPERATIONS.md explains the reasons."}
	ControllerUnresponsive = Event{1707, "controller-deaf", slog.LevelWarn, "A controller failed to answer requests for a slot; for a while this gateway sends them to other controllers."}
	SettingsLoaded         = Event{1705, "settings-loaded", slog.LevelInfo, "The settings file was reread and its seeds differ; the attribute lists the seeds now in use."}
	LeaseEnded             = Event{1708, "lease-ended", slog.LevelWarn, "This gateway refuses requests with keys, because no quorum has confirmed its configuration within the bound on revocations; the attribute gives the age of the last confirmation, -1 for none."}
	LeaseRenewed           = Event{1709, "lease-renewed", slog.LevelInfo, "This gateway serves requests with keys again, because its configuration was confirmed."}
	ConnectionTakenOver    = Event{1740, "pipelining-begun", slog.LevelInfo, "A client sent a request behind one that wasn't answered; its connection is read ahead from now on. There is one record a second at most; the attribute omitted counts those left out."}
	PipelineCut            = Event{1741, "pipelining-cut", slog.LevelInfo, "A connection with pipelined requests ended before all of them were answered; attributes give the reason and the numbers of requests canceled, served and read ahead. There is one record a second at most; the attribute omitted counts those left out."}
	RequestCut             = Event{1743, "request-cut", slog.LevelInfo, "A client's connection ended before a request on it had its whole response; attributes give the request, who ended the connection, why, the time since the head was read, the bytes written since then, and, of pipelined requests, whether it was read ahead and started. A request that wasn't served has no ID; attribute received counts the bytes read of it."}
	ServingPanicked        = Event{1742, "serving-panicked", slog.LevelError, "Serving a request failed unexpectedly; its connection was closed, the process goes on. Report it with the stack in the record."}
	SettingsFailed         = Event{1706, "settings-failed", slog.LevelError, "The settings file can't be read; the settings in use are kept."}
)

// Catalogue lists every event in ascending order of its number.
var Catalogue = []Event{
	Started, Listening, StopBegun, Stopped, StopForced, ServeFailed, StopWaits, CallPanicked,
	DocumentApplied, DocumentRefused, ControlLost, ControlFound, ServingWithoutQuorum, NotListed,
	MemberLost, MemberFound, OwnerGained, OwnerLost,
	EndpointFound, EndpointLeaving, EndpointDied, Quarantined, QuarantineLift, HandOverFailed, HandOverDone,
	FolderUnusable, FolderFailed, GroupFounded, VotesRepaired, StateOlder,
	ChangeEnded, ChangeUndecided, ChangeRefused, RefusedNotRecorded, RegisterUnreadable, TokenRefused,
	ConsoleFailed, ConsolePartial,
	VoterStarted, StateLearned, EpochEntered, StateUnreadable, ConfigOrdered, EvacuationOrdered,
	ControllerLost, ControllerFound, VotersChanged, EndpointChanged, LeavingUnacknowledged,
	DispatchBegun, DispatchEnded, StoreFailed, OrderNotPassed, LoansChanged, LimitChanged, HintsLoaded, HintsRejected,
	AnnouncementRejected, ExchangeRejected, ItemDropped, ConfigCompleted, ConfigUndecodable, EndpointReplaced, EvidenceLoaded, EvidenceUnconfirmed, QuotaExceeded,
	ReportsMistrusted, ConcurrencyLimited,
	ConfigApplied, WatchLost, WatchBegun, RequestEnded, RecordsDropped, SettingsLoaded, SettingsFailed, ControllerUnresponsive, LeaseEnded, LeaseRenewed,
	LinkUseChanged, ClientRefused, ConnectionTakenOver, PipelineCut, ServingPanicked, RequestCut,
}
