package gdlog

// Event is one kind of event of the catalogue.
type Event struct {
	number int
	level  Level
	text   string
	advice string
}

// Number returns the event's number, which is never given to another kind.
func (e Event) Number() int { return e.number }

// Level returns the event's urgency.
func (e Event) Level() Level { return e.level }

// Text returns what happened, as it stands in the log.
func (e Event) Text() string { return e.text }

// Advice returns what an operator is to do about it.
func (e Event) Advice() string { return e.advice }

// catalogue holds the declared events in the order of their declaration.
var catalogue []Event

// Catalogue returns all kinds of events in the order of their numbers.
func Catalogue() []Event { return append([]Event(nil), catalogue...) }

func declare(number int, level Level, text, advice string) Event {
	e := Event{number: number, level: level, text: text, advice: advice}
	catalogue = append(catalogue, e)
	return e
}

const nothing = "Nothing."

// Events 100 to 199: the process itself.
var (
	ProcessStarted = declare(100, Info, "process started", nothing)
	ProcessStopped = declare(101, Info, "process stopped", nothing)
	ProcessFailed  = declare(102, Error, "process failed",
		"Read the error; the host starts the process again.")
	ProcessResumed = declare(103, Info, "paused process resumed",
		"Nothing if it is rare. Often: look for an overloaded or suspended host.")
	ProcessFenced = declare(104, Error, "paused process could not confirm its version in time",
		"Check that its peers and the platform are reachable from this host.")
)

// ServiceListenFailed tells of a service of a balancer, event 105.
var ServiceListenFailed = declare(105, Error, "service address can't be opened, trying again",
	"Check that the host has the service's address and that nothing else listens there.")

// LogLinesSuppressed tells how many lines a busy process has not written, event 106.
var LogLinesSuppressed = declare(106, Info, "lines on single decisions left out", nothing)

// Events 107 and 108: settings that changed while the process runs.
var (
	SettingsReloaded = declare(107, Info, "settings reloaded", "If it names settings that need it: restart the process.")
	SettingsRejected = declare(108, Error, "settings not reloaded, the old ones stay",
		"Mend the settings file; the error names the line.")
)

// Events 200 to 299: the configuration.
var (
	ConfigurationInForce = declare(200, Info, "configuration in force", nothing)
	ConfigurationSeen    = declare(201, Debug, "newer configuration seen", nothing)
	ConfigurationInvalid = declare(202, Error, "configuration rejected",
		"Run `godwitdrift config check` on what was published and publish a right one.")
	ConfigurationStale = declare(203, Info, "older configuration ignored",
		"Nothing: the version in force is kept. Often: the platform serves stale reads.")
	ConfigurationMissing = declare(204, Error, "no configuration yet",
		"Check the platform's URL and that the index is published.")
)

// ViewChanged tells of a change of what the process believes, event 205.
var ViewChanged = declare(205, Info, "view of the deployment changed", nothing)

// ValueInvalid tells of a value of the platform that was passed over, event 206.
var ValueInvalid = declare(206, Error, "value of the platform can't be used",
	"Look who wrote it. A registration that can't be used names no upstream; a configuration is passed over.")

// Events 300 to 399: the platform and the peers.
var (
	PlatformUnreachable = declare(300, Error, "platform unreachable",
		"The fleet serves on with the version in force. See \"Outage of the platform\".")
	PlatformReachable = declare(301, Info, "platform reachable again", nothing)
	PeerRefused       = declare(302, Error, "peer refused",
		"The peer does not prove that it holds the fleet key: compare the key files.")
	PeerUnreachable = declare(303, Info, "peer unreachable",
		"Nothing if the peer was replaced. Else check the network between the two.")
	PeerReachable    = declare(304, Info, "peer reachable again", nothing)
	BecameReader     = declare(305, Info, "host reads the platform's store", nothing)
	BecameFollower   = declare(306, Info, "host hears of changes from others", nothing)
	HostUnresponsive = declare(307, Info, "host has stopped answering",
		"If it lasts: look at the agent there. New flows go elsewhere meanwhile.")
	HostResponsive    = declare(308, Info, "host answers again", nothing)
	AgentsUnreachable = declare(309, Error, "hardly any agent answers, not ready",
		"Look at the host's links. The routers send to others, and new flows are refused at once.")
	AgentsReachable = declare(310, Info, "agents answer again", nothing)
)

// Events 400 to 499: datagrams.
var (
	DatagramsDropped = declare(400, Info, "datagrams dropped",
		"The reason says which. Many with a bad seal or a forged token: look at their source.")
	DatagramsMisrouted = declare(401, Error, "datagrams for another service dropped",
		"A sender holds an old configuration: find it with `godwitdrift status`.")
	QueueFull = declare(402, Error, "datagrams dropped, queue full",
		"The process gets more than it can handle: add a process or a core.")
)

// Events 500 to 599: flows and requests.
var (
	FlowOpened  = declare(500, Debug, "flow opened", nothing)
	FlowClosed  = declare(501, Debug, "flow closed", nothing)
	FlowAborted = declare(502, Info, "flow given up with its failure domain",
		"Nothing: the failure domain was taken out.")
	FlowSilent = declare(503, Info, "silent flow closed",
		"Something between the caller and the agent forgot the flow. Many: look at the fabric.")
	FlowRefused = declare(504, Info, "flow refused",
		"Nothing if it is rare. Often: the service needs more upstreams.")
	FlowPathChanged       = declare(505, Debug, "flow answered on another path", nothing)
	RequestRefused        = declare(506, Debug, "request refused, not run", nothing)
	RequestOutcomeUnknown = declare(507, Error, "outcome of a request that may not be repeated is unknown",
		"Ask the service's own records whether it ran, with the key in the event.")
)

// Events 510 to 519: flows that pass through without being ended.
var (
	FlowOffered    = declare(510, Info, "flow offered to an upstream", nothing)
	FlowLookedUp   = declare(511, Info, "flow sought at an upstream", nothing)
	FlowFound      = declare(512, Info, "flow found at an upstream", nothing)
	FlowReset      = declare(513, Info, "flow reset", "The reason says why; see \"From a request to its cause\".")
	PacketReturned = declare(514, Info, "packet returned by an agent",
		"Nothing if it is rare. Often busy: the service needs more upstreams.")
	PacketDropped = declare(515, Info, "packet dropped",
		"The reason says why. Often not-found: look for hosts that do not answer.")
	PacketRefused = declare(516, Info, "packet not let in", "Nothing: the entry host asks the next upstream.")
	FlowAccepted  = declare(517, Info, "flow accepted by an upstream", nothing)
)

// Events 600 to 699: the upstream.
var (
	UpstreamCold = declare(600, Info, "upstream turned cold",
		"Nothing: it gets little load until it answers well. Often: look at the upstream.")
	UpstreamWarm        = declare(601, Info, "upstream warm", nothing)
	UpstreamUnreachable = declare(602, Error, "upstream unreachable",
		"Look at the upstream; new requests go to its peers.")
	UpstreamReachable = declare(603, Info, "upstream reachable again", nothing)
	UpstreamSheds     = declare(604, Info, "upstream sheds load",
		"Nothing if it is short. Else the upstream's slots are set too high.")
	HealthMismatch = declare(605, Info, "health endpoint contradicts the outcomes seen",
		"Nothing: outcomes count. Mend the endpoint.")
)

// UpstreamStatusChanged tells an agent's new belief about its upstream, event 606.
var UpstreamStatusChanged = declare(606, Info, "standing of the upstream changed", nothing)

// UpstreamExited tells that the upstream's process is gone, event 607.
var UpstreamExited = declare(607, Error, "upstream's process is gone, its flows were reset",
	"Look at the upstream; callers come back at once and get another.")

// Events 700 to 799: draining and failure domains.
var (
	DrainStarted = declare(700, Info, "drain started", nothing)
	DrainBlocked = declare(701, Error, "drain held by flows",
		"The event names the flows. Wait, or stop the process and give them up.")
	DrainEnded = declare(702, Info, "drain ended", nothing)
	DomainOut  = declare(703, Info, "failure domain out", nothing)
	DomainIn   = declare(704, Info, "failure domain in again, weights ramp", nothing)
)

// Events 800 to 899: certificates and keys.
var (
	CertificateReloaded     = declare(800, Info, "certificate reloaded", nothing)
	CertificateReloadFailed = declare(801, Error, "certificate not reloaded, the old one stays",
		"Mend the certificate and key files; the old certificate serves until it expires.")
	TokenKeysChanged = declare(802, Info, "token keys changed", nothing)
)
