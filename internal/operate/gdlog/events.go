package gdlog

// Event is a kind of event in the catalogue.
type Event struct {
	number int
	level  Level
	text   string
	advice string
}

// Number returns the event's number, which is never reused for another kind.
func (e Event) Number() int { return e.number }

// Level returns the event's level.
func (e Event) Level() Level { return e.level }

// Text returns the text of the event in the log.
func (e Event) Text() string { return e.text }

// Advice returns what an operator should do about the event.
func (e Event) Advice() string { return e.advice }

// catalogue contains the declared events in the order of their numbers.
var catalogue []Event

// Catalogue returns all kinds of events in the order of their numbers.
func Catalogue() []Event { return append([]Event(nil), catalogue...) }

func declare(number int, level Level, text, advice string) Event {
	e := Event{number: number, level: level, text: text, advice: advice}
	catalogue = append(catalogue, e)
	return e
}

const nothing = "Nothing."

// reserved are the numbers of former kinds of events.
var reserved = []int{104, 201, 203, 204, 304, 504, 505, 506, 604, 605, 802}

// Reserved returns the numbers of former kinds of events, which stay unused.
func Reserved() []int { return append([]int(nil), reserved...) }

// Events 100 to 199: the process itself.
var (
	ProcessStarted = declare(100, Info, "process started", nothing)
	ProcessStopped = declare(101, Info, "process stopped", nothing)
	ProcessFailed  = declare(102, Error, "process failed",
		"Read the error; the host restarts the process.")
	ProcessResumed = declare(103, Info, "process resumed after a pause",
		"Nothing if it is rare. If frequent, look for an overloaded or suspended host.")
)

// ServiceListenFailed reports a service address that a balancer can't listen on. Event 105.
var ServiceListenFailed = declare(105, Error, "can't listen on the service address, retrying",
	"Check that the host has the service's address and that no other process listens on it.")

// LogLinesSuppressed counts the log lines that a busy process has not written. Event 106.
var LogLinesSuppressed = declare(106, Info, "log lines about single decisions suppressed", nothing)

// Events 107 and 108: changes of the settings at run time.
var (
	SettingsReloaded = declare(107, Info, "settings reloaded", "Restart the process if the event lists settings in need-restart.")
	SettingsRejected = declare(108, Error, "settings not reloaded, the previous ones stay in effect",
		"Fix the settings file; the error names the line.")
)

// ResponseFailed reports a response to an operator that could not be sent. Event 109.
var ResponseFailed = declare(109, Info, "response to an operator not sent", nothing)

// Events 200 to 299: the configuration.
var (
	ConfigurationInForce = declare(200, Info, "configuration in force", nothing)
	ConfigurationInvalid = declare(202, Error, "configuration rejected",
		"Run `godwitdrift config check` on the published configuration and publish a valid one.")
)

// ViewChanged reports a new view of the discovered state. Event 205.
var ViewChanged = declare(205, Info, "view of the deployment changed", nothing)

// ValueInvalid reports a value of the platform that can't be decoded. Event 206.
var ValueInvalid = declare(206, Error, "invalid value in the platform's store",
	"Find out who wrote it. An invalid registration counts as removed; an invalid configuration is ignored. If only weights or services of a route are invalid, the rest is in force.")

// SourceRestored reports that the platform's store was restored from a copy. Event 207.
var SourceRestored = declare(207, Info, "platform's store began a new era, what the copy lacks is kept until it is written again",
	"Check that the operators' last changes were written again.")

// AnswerUnreadable reports an answer of the platform's store that has begun and could not be read.
// Event 208.
var AnswerUnreadable = declare(208, Error, "answer of the platform's store can't be read, the full state is loaded",
	"Nothing if it is rare. The error says whether the answer was too long, cut, late or invalid; if it repeats, check the size of the configuration and the host's link.")

// ViewVerified and ViewNotVerified report whether the platform's store has said that the view has all that the
// store has. Events 209 and 210.
var (
	ViewVerified    = declare(209, Info, "view verified with the platform's store", nothing)
	ViewNotVerified = declare(210, Info, "view not verified with the platform's store, flows that no known upstream holds are not reset",
		"Nothing if it is rare. Otherwise see \"Outage of the platform\".")
)

// Events 300 to 399: the platform and the peers.
var (
	PlatformUnreachable = declare(300, Error, "platform unreachable",
		"The fleet continues with the version in force. See \"Outage of the platform\".")
	PlatformReachable = declare(301, Info, "platform reachable again", nothing)
	PeerRefused       = declare(302, Error, "peer refused",
		"The peer failed to prove that it holds the fleet key: compare the key files.")
	PeerUnreachable = declare(303, Info, "peer unreachable",
		"Nothing if the peer was replaced. Otherwise check the network between the two.")
	BecameReader     = declare(305, Info, "host became a reader of the platform's store", nothing)
	BecameFollower   = declare(306, Info, "host became a follower, receives updates from peers", nothing)
	HostUnresponsive = declare(307, Info, "host is unresponsive",
		"If it persists, check the agent on that host. New flows go to other hosts meanwhile.")
	HostResponsive    = declare(308, Info, "host responds again", nothing)
	AgentsUnreachable = declare(309, Error, "almost no agent responds, entry host not ready",
		"Check the host's links. The routers send to other entry hosts, and this one refuses new flows at once.")
	AgentsReachable = declare(310, Info, "agents respond again", nothing)
	HostUnreachable = declare(311, Info, "host can't be reached, flows of repeatable requests there are reset",
		"If it persists, check the host's power and the path to it.")
)

// Events 400 to 499: datagrams.
var (
	DatagramsDropped = declare(400, Info, "datagrams dropped",
		"See the reason. If many have a bad seal or a forged token, check their source.")
	DatagramsMisrouted = declare(401, Error, "datagrams for another service dropped",
		"A sender has an old configuration: find it with `godwitdrift status`.")
	QueueFull = declare(402, Error, "datagrams dropped, queue full",
		"The process receives more than it can handle: add a process or a core.")
)

// Events 500 to 599: flows and requests.
var (
	FlowOpened  = declare(500, Debug, "flow opened", nothing)
	FlowClosed  = declare(501, Debug, "flow closed", nothing)
	FlowAborted = declare(502, Info, "flow aborted with its failure domain",
		"Nothing: the failure domain was taken out of service.")
	FlowSilent = declare(503, Info, "silent flow closed",
		"Something between the caller and the agent lost the flow. If there are many, check the fabric.")
	RequestOutcomeUnknown = declare(507, Error, "outcome unknown of a request that must not run twice",
		"Look up in the service's own records, by the key in the event, whether it ran.")
)

// Events 510 to 519: flows that are forwarded and not terminated.
var (
	FlowOffered    = declare(510, Info, "flow offered to an upstream", nothing)
	FlowLookedUp   = declare(511, Info, "flow looked up at an upstream", nothing)
	FlowFound      = declare(512, Info, "flow found at an upstream", nothing)
	FlowReset      = declare(513, Info, "flow reset", "The reason says why; see \"From a request to its cause\".")
	PacketReturned = declare(514, Info, "packet returned by an agent",
		"Nothing if it is rare. If the reason is often busy, the service needs more upstreams.")
	PacketDropped = declare(515, Info, "packet dropped",
		"The reason says why. If it is often not-found, look for unresponsive hosts.")
	PacketRefused = declare(516, Info, "packet refused by the agent", "Nothing: the entry host tries the next upstream.")
	FlowAccepted  = declare(517, Info, "flow accepted by an upstream", nothing)
	// FlowUndecided is written when an agent can't tell yet whether its upstream holds a flow.
	FlowUndecided = declare(518, Info, "nothing shows yet whether the upstream holds the flow",
		"Nothing if it is rare. If silent-for grows, check the upstream: it receives packets and sends none.")
	// RequestReleased is written when the agent no longer keeps a request back.
	RequestReleased = declare(519, Info, "request that was kept back released",
		"Nothing if it is rare. If the outcome is often bound-reached, the service needs more upstreams.")
)

// Events 600 to 699: the upstream.
var (
	UpstreamCold = declare(600, Info, "upstream became cold",
		"Nothing: it receives little load until it responds well. If frequent, check the upstream.")
	UpstreamWarm        = declare(601, Info, "upstream became warm", nothing)
	UpstreamUnreachable = declare(602, Error, "upstream unreachable",
		"Check the upstream; new requests go to its peers.")
	UpstreamReachable = declare(603, Info, "upstream reachable again", nothing)
)

// UpstreamStatusChanged reports a new status of an agent's upstream. Event 606.
var UpstreamStatusChanged = declare(606, Info, "status of the upstream changed", nothing)

// UpstreamExited reports the end of the upstream's process. Event 607.
var UpstreamExited = declare(607, Error, "upstream exited, its flows were reset",
	"Check the upstream; callers retry at once and get another one.")

// UpstreamAnswersEarly reports an upstream that may fail requests although its health checks pass.
// Event 608.
var UpstreamAnswersEarly = declare(608, Info, "upstream answers much sooner than usual, suspected of failing requests",
	"Look at the status of its answers in its own log. New flows go to other upstreams while that lasts.")

// Events 700 to 799: draining and failure domains.
var (
	DrainStarted = declare(700, Info, "drain started", nothing)
	DrainBlocked = declare(701, Error, "drain blocked by open flows",
		"The event names the flows. Wait, or stop the process to abort them.")
	DrainEnded = declare(702, Info, "drain ended", nothing)
	DomainOut  = declare(703, Info, "failure domain out of service", nothing)
	DomainIn   = declare(704, Info, "failure domain back in service, slow start begins", nothing)
)

// Events 800 to 899: certificates and keys.
var (
	CertificateReloaded     = declare(800, Info, "certificate reloaded", nothing)
	CertificateReloadFailed = declare(801, Error, "certificate not reloaded, the previous one stays in use",
		"Fix the certificate and key files; the previous certificate is used until it expires.")
)
