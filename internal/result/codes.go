package result

// The result codes. A test compares the comments with the meanings in table.go.
const (
	// Complete: every range of the snapshot is covered.
	Complete Code = 100
	// Done: the non-repeatable request ran once and succeeded.
	Done Code = 101
	// Replayed: the permit's recorded outcome is returned again; nothing ran now.
	Replayed Code = 102
	// PermitIssued: permits were issued; no endpoint was touched.
	PermitIssued Code = 103
	// Partial: some ranges are missing; each is listed with its reason.
	Partial Code = 200
	// Truncated: every range was searched, but a bound cut the number of documents.
	Truncated Code = 201
	// MissingDeadline: the shard did not answer within the deadline or latency target.
	MissingDeadline Code = 210
	// MissingNoReplica: no eligible replica of the shard is known.
	MissingNoReplica Code = 211
	// MissingQuarantined: the request is quarantined because it crashed endpoints.
	MissingQuarantined Code = 212
	// MissingSnapshotGone: no replica of the shard holds the answer's snapshot any more.
	MissingSnapshotGone Code = 213
	// MissingMoved: the range moved away while the query was running.
	MissingMoved Code = 214
	// MissingRefused: every replica of the shard refused before starting.
	MissingRefused Code = 215
	// MissingLost: the replicas of the shard were lost while running the request.
	MissingLost Code = 216
	// MissingFailed: the shard ran the request and failed.
	MissingFailed Code = 217
	// MissingRetryBudget: the retry budget was spent before the shard could be retried.
	MissingRetryBudget Code = 218
	// BadJSON: the body is not valid JSON.
	BadJSON Code = 300
	// UnknownField: the body has a field that the API does not know.
	UnknownField Code = 301
	// InvalidValue: a field has a value that is not allowed.
	InvalidValue Code = 302
	// BodyTooLarge: the body is larger than the limit.
	BodyTooLarge Code = 303
	// UnknownService: the configuration in force has no such service.
	UnknownService Code = 304
	// UnknownCaller: the service does not list the caller.
	UnknownCaller Code = 305
	// CallerRate: the caller is over its request rate.
	CallerRate Code = 306
	// CallerInFlight: the caller has too many requests in flight.
	CallerInFlight Code = 307
	// QueueFull: the admission queue is full.
	QueueFull Code = 308
	// DeadlineTooShort: the queue cannot meet the deadline.
	DeadlineTooShort Code = 309
	// ExpiredInQueue: the deadline passed before anything was dispatched.
	ExpiredInQueue Code = 310
	// NotReady: the host has no configuration yet.
	NotReady Code = 311
	// Stopping: the host is stopping and takes no new requests.
	Stopping Code = 312
	// PermitRequired: the service's requests may not be repeated and need a permit.
	PermitRequired Code = 313
	// PermitMalformed: the permit cannot be parsed.
	PermitMalformed Code = 314
	// PermitExpired: the permit expired before its first submit and is burnt.
	PermitExpired Code = 315
	// PermitBodyMismatch: the permit was used with a different request.
	PermitBodyMismatch Code = 316
	// PermitNeverIssued: the named host never issued this permit.
	PermitNeverIssued Code = 317
	// PermitBurnt: the permit ended as not run; it will never run.
	PermitBurnt Code = 318
	// LedgerFull: the host holds as many permits as it may.
	LedgerFull Code = 319
	// Quarantined: the request is quarantined because it crashed endpoints.
	Quarantined Code = 320
	// AllRefused: every eligible endpoint refused before starting.
	AllRefused Code = 321
	// NoReplica: no eligible replica is known.
	NoReplica Code = 322
	// CallerGone: the caller closed its connection before anything was dispatched. As the
	// code of an attempt: before it was written.
	CallerGone Code = 323
	// NotRepeatable: the operation does not fit the service: it takes submits and no queries, or the reverse.
	NotRepeatable Code = 324
	// MethodNotAllowed: the path does not take this method.
	MethodNotAllowed Code = 325
	// NotFound: the path or object does not exist.
	NotFound Code = 326
	// WrongMediaType: the body is not application/json.
	WrongMediaType Code = 327
	// BodyTimeout: the body did not arrive in time.
	BodyTimeout Code = 328
	// HostUnreachable: the client could not reach the host, and nothing was sent.
	HostUnreachable Code = 329
	// RelayQueueFull: the relay's queue of the replica is full.
	RelayQueueFull Code = 330
	// EndpointShed: the endpoint refused because it is overloaded.
	EndpointShed Code = 331
	// EndpointLeaving: the endpoint is draining.
	EndpointLeaving Code = 332
	// EndpointCold: the endpoint is still starting, or cold and has got what it may get for
	// now.
	EndpointCold Code = 333
	// SnapshotGone: the endpoint does not hold the snapshot.
	SnapshotGone Code = 334
	// RangeNotHeld: the endpoint does not hold the range.
	RangeNotHeld Code = 335
	// ExpiredBeforeSend: the budget ended before the first byte was written.
	ExpiredBeforeSend Code = 336
	// UnknownEndpoint: the relay does not know the endpoint.
	UnknownEndpoint Code = 337
	// ConnectFailed: no connection to the endpoint could be opened.
	ConnectFailed Code = 338
	// ConnectionLimit: this host's share of the endpoint's connections is in use.
	ConnectionLimit Code = 339
	// PeerUnreachable: the peer could not be reached and nothing was sent to it.
	PeerUnreachable Code = 340
	// StaleBelief: the host paused and refreshes its beliefs before it dispatches.
	StaleBelief Code = 341
	// CancelledBeforeSend: the dispatch was cancelled before its first byte was written.
	CancelledBeforeSend Code = 342
	// SuspectBusy: another attempt of the same crash suspect is running.
	SuspectBusy Code = 343
	// PeerQueueFull: the send queue of the peer is full and nothing was sent to it.
	PeerQueueFull Code = 344
	// RelayDeadline: the relay's queue of the replica cannot meet the budget.
	RelayDeadline Code = 345
	// HeaderTooLarge: the header of the request is over the limit.
	HeaderTooLarge Code = 346
	// RequestUnreadable: what came is not a request, or ended before it was one.
	RequestUnreadable Code = 347
	// EndpointRateLimit: this host's share of the endpoint's rate limit is used up.
	EndpointRateLimit Code = 348
	// EndpointPaused: the endpoint has asked this host to send nothing for a time.
	EndpointPaused Code = 349
	// EndpointEvacuated: the endpoint's data centre is evacuated.
	EndpointEvacuated Code = 350
	// CallerMemory: the request was given up before it began, because callers, and the responses to them, take all the memory or connections that they may.
	CallerMemory Code = 351
	// Overloaded: the replicas of some shards lack the capacity for the request now.
	Overloaded Code = 355
	// RepeatedEarly: the caller repeated a refused request before it was told to.
	RepeatedEarly Code = 356
	// OutcomeUnknown: the request was sent and no outcome is known.
	OutcomeUnknown Code = 400
	// IssuerUnreachable: the permit's host cannot be reached.
	IssuerUnreachable Code = 401
	// IssuerReplaced: the permit's host restarted or was replaced.
	IssuerReplaced Code = 402
	// OutcomeForgotten: the permit's outcome is no longer kept.
	OutcomeForgotten Code = 403
	// ForwardUnknown: the permit was forwarded to its host and no reply came.
	ForwardUnknown Code = 404
	// StillRunning: the permit was dispatched and has not ended yet.
	StillRunning Code = 405
	// EndpointCrashed: the endpoint went away while it ran the request.
	EndpointCrashed Code = 406
	// ConnectionSilent: the connection went silent after the request was written.
	ConnectionSilent Code = 407
	// Cancelled: the request or attempt was cancelled after it was sent, for example
	// because the caller closed its connection.
	Cancelled Code = 408
	// RelayLost: the relay was lost while it had the attempt.
	RelayLost Code = 409
	// ResponseMemory: the endpoint's response was given up, because the responses on this
	// host take all the memory that they may.
	ResponseMemory Code = 410
	// EndpointFailed: the endpoint ran the request and failed.
	EndpointFailed Code = 500
	// BadReply: the endpoint's reply broke the protocol.
	BadReply Code = 501
	// Internal: an internal fault ended the request.
	Internal Code = 502
	// SettingsSyntax: a settings file is not valid JSON with comments.
	SettingsSyntax Code = 600
	// SettingsField: a settings file has an unknown field or a wrong type.
	SettingsField Code = 601
	// SettingsValue: a settings value is out of range.
	SettingsValue Code = 602
	// QuestionnaireSyntax: a questionnaire is not valid JSON with comments.
	QuestionnaireSyntax Code = 603
	// QuestionnaireField: a questionnaire has an unknown field or a wrong type.
	QuestionnaireField Code = 604
	// QuestionnaireValue: an answer is out of range.
	QuestionnaireValue Code = 605
	// QuestionnaireReference: an answer names something that does not exist, or a name is given twice.
	QuestionnaireReference Code = 606
	// QuestionnaireCapacity: the limits do not fit the endpoints' slots or connections.
	QuestionnaireCapacity Code = 607
	// QuestionnaireDeadline: the deadlines cannot be met.
	QuestionnaireDeadline Code = 608
	// ManifestInvalid: a manifest is malformed.
	ManifestInvalid Code = 610
	// ManifestFormat: a manifest has a format version that this host does not know.
	ManifestFormat Code = 611
	// ManifestOlder: a manifest has a lower revision than the one in force.
	ManifestOlder Code = 612
	// ManifestConflict: a manifest repeats the revision in force with other content.
	ManifestConflict Code = 613
	// DocumentInvalid: a configuration document is malformed.
	DocumentInvalid Code = 614
	// DocumentHash: a configuration document does not match its hash.
	DocumentHash Code = 615
	// DocumentTooLarge: a configuration document is over the value limit.
	DocumentTooLarge Code = 616
	// PlatformUnavailable: the platform's store does not answer.
	PlatformUnavailable Code = 617
	// DocumentUnavailable: no source has the documents of a manifest.
	DocumentUnavailable Code = 618
	// ConfigurationFaulty: a configuration has errors.
	ConfigurationFaulty Code = 619
	// FrameInvalid: a peer frame is torn or cannot be decoded.
	FrameInvalid Code = 620
	// FrameTooLarge: a peer frame is over the size limit.
	FrameTooLarge Code = 621
	// FrameVersion: a peer frame has a version or kind that this host does not know.
	FrameVersion Code = 622
	// Usage: the command line is not valid.
	Usage Code = 630
	// Unreachable: the daemon or file could not be reached.
	Unreachable Code = 631
	// DeploymentMismatch: the result is not what it should be.
	DeploymentMismatch Code = 632
)
