/**
 * Catalogue of the numbered log events. Numbers are never reused; docs/log-events.md
 * is generated from this table, and a test compares the two.
 */

export enum LogLevel {
	Debug = 20,
	Information = 30,
	Warning = 40,
	Error = 50,
}

export enum LogEvent {
	DaemonStarted = 1001,
	DaemonReady = 1002,
	DaemonStopping = 1003,
	DaemonStopped = 1004,
	SettingsInvalid = 1005,
	ListenFailed = 1006,
	ShutdownBoundExceeded = 1007,
	LogLinesDropped = 1008,
	HttpLimitReached = 1009,
	DocumentInForce = 2001,
	DocumentRefused = 2002,
	DocumentOlderIgnored = 2003,
	ConfirmationLost = 2004,
	ConfirmationRegained = 2005,
	DocumentSubmitted = 2006,
	PlatformUnreachable = 3001,
	PlatformReachable = 3002,
	InstanceListFailed = 3003,
	SessionLost = 3004,
	WatchEnded = 3005,
	PeerUnreachable = 4001,
	PeerReachable = 4002,
	PeerRejected = 4003,
	GrantReclaimed = 5001,
	GrantLedgerFailed = 5002,
	PartitionsChanged = 6001,
	ClaimsInMemory = 6003,
	UpstreamEjected = 7001,
	UpstreamRestored = 7002,
	AnswerDropped = 7003,
	AttemptFailed = 7005,
	RequestRefused = 7004,
	MaintenanceStepRecorded = 8001,
	MaintenanceStopped = 8002,
	InstanceFailureRecorded = 8003,
	FleetLedgerFailed = 8004,
	JobAccepted = 8501,
	JobRefused = 8502,
	JobCancelled = 8503,
	JobFinished = 8504,
	CallFailed = 8506,
	JobsLoaded = 8505,
	RunStarted = 8511,
	RunChanged = 8512,
	StepWaiting = 8513,
	RunStop = 8514,
	RunsDisrupted = 8515,
	WorkerUnreachable = 8521,
	WorkerReachable = 8522,
	WorkerCrashed = 8523,
	OwnershipGained = 8531,
	OwnershipLost = 8532,
	OwnerSeen = 8533,
	OwnerDelayed = 8534,
	ElectionFailed = 8537,
	OwnerMissing = 8538,
	WaveStep = 8535,
	MachineMoved = 8536,
	RecordUnreadable = 8541,
	SettingsReloaded = 8542,
	ChangesNotStored = 8543,
	ProgressTooLarge = 8544,
	DispatcherGained = 8561,
	DispatcherLost = 8562,
	DispatchEnded = 8563,
	ZoneEvacuationBegun = 8551,
	ZoneEvacuationCancelled = 8552,
	ZoneEmptied = 8553,
	PlaceWaitBegun = 8591,
	PlaceWaitEnded = 8592,
	JobRefusedByLoad = 8581,
	RefusalNotRecorded = 8582,
	PoolFull = 8571,
	PoolRelieved = 8572,
	InternalError = 9001,
}

export type LogEventDescription = {
	readonly level: LogLevel;
	readonly message: string;
	/** What an operator should do about it. */
	readonly action: string;
};

const none = 'None.';

export const logEvents: Readonly<Record<LogEvent, LogEventDescription>> = {
	[LogEvent.DaemonStarted]: {
		level: LogLevel.Information,
		message: 'The daemon has started and is not ready yet',
		action: none,
	},
	[LogEvent.DaemonReady]: {
		level: LogLevel.Information,
		message: 'The daemon has a configuration and accepts requests',
		action: none,
	},
	[LogEvent.DaemonStopping]: {
		level: LogLevel.Information,
		message: 'Graceful shutdown has begun',
		action: none,
	},
	[LogEvent.DaemonStopped]: {
		level: LogLevel.Information,
		message: 'Graceful shutdown is complete',
		action: none,
	},
	[LogEvent.SettingsInvalid]: {
		level: LogLevel.Error,
		message: 'The settings file has errors',
		action: 'Correct every listed key; the daemon exits with code 78.',
	},
	[LogEvent.ListenFailed]: {
		level: LogLevel.Error,
		message: 'A listener could not be opened',
		action: 'Free the address or change the listen setting.',
	},
	[LogEvent.ShutdownBoundExceeded]: {
		level: LogLevel.Warning,
		message: 'Requests were still running when the shutdown bound was reached',
		action: 'Raise the shutdown bound above the longest run time of the queues.',
	},
	[LogEvent.LogLinesDropped]: {
		level: LogLevel.Warning,
		message: 'Log lines over the limit per second were dropped; the counts are by event',
		action: 'Use the metrics for these events; follow a job by its other log lines.',
	},
	[LogEvent.HttpLimitReached]: {
		level: LogLevel.Warning,
		message: 'A limit of a listener closed connections of clients or refused their requests',
		action: 'Read listener and limit. If clients of your own meet the limit, change them; otherwise none, the other clients are served.',
	},
	[LogEvent.DocumentInForce]: {
		level: LogLevel.Information,
		message: 'A version of the document is in force',
		action: none,
	},
	[LogEvent.DocumentRefused]: {
		level: LogLevel.Error,
		message: 'A stored document cannot be read; the last valid one stays in force',
		action: 'Submit a valid document, or upgrade this instance if the format is newer.',
	},
	[LogEvent.DocumentOlderIgnored]: {
		level: LogLevel.Warning,
		message: 'The platform returned an older document, which was ignored',
		action: 'Check whether the platform\'s service was restored from a backup.',
	},
	[LogEvent.ConfirmationLost]: {
		level: LogLevel.Warning,
		message: 'The document could not be confirmed for 5 s; requests with a team key are handled as whenUnconfirmed of their queue says',
		action: 'Restore the connection to the platform or to the other zones.',
	},
	[LogEvent.ConfirmationRegained]: {
		level: LogLevel.Information,
		message: 'The document is confirmed again',
		action: none,
	},
	[LogEvent.DocumentSubmitted]: {
		level: LogLevel.Information,
		message: 'The submission of a document by an operator was decided',
		action: none,
	},
	[LogEvent.PlatformUnreachable]: {
		level: LogLevel.Warning,
		message: 'The platform\'s key-value service does not answer',
		action: 'Restore the key-value service; until then, requests are still served, but configuration, limits and maintenance waves cannot change.',
	},
	[LogEvent.PlatformReachable]: {
		level: LogLevel.Information,
		message: 'The platform\'s key-value service answers again',
		action: none,
	},
	[LogEvent.InstanceListFailed]: {
		level: LogLevel.Warning,
		message: 'The platform\'s instance list could not be read',
		action: 'The last list stays in use; check the instance list service.',
	},
	[LogEvent.SessionLost]: {
		level: LogLevel.Warning,
		message: 'The session lease expired and was replaced by a new one',
		action: 'Look for pauses of this process or an outage of the platform.',
	},
	[LogEvent.WatchEnded]: {
		level: LogLevel.Information,
		message: 'The watch on the document ended and is started again',
		action: none,
	},
	[LogEvent.PeerUnreachable]: {
		level: LogLevel.Warning,
		message: 'Another entry instance does not answer',
		action: 'Check that instance and the network between the zones.',
	},
	[LogEvent.PeerReachable]: {
		level: LogLevel.Information,
		message: 'Another entry instance answers again',
		action: none,
	},
	[LogEvent.PeerRejected]: {
		level: LogLevel.Error,
		message: 'A peer or operator call carried a wrong secret',
		action: 'Compare the secrets in the settings of both sides.',
	},
	[LogEvent.GrantReclaimed]: {
		level: LogLevel.Information,
		message: 'Limit units of a process that is gone were reclaimed',
		action: none,
	},
	[LogEvent.GrantLedgerFailed]: {
		level: LogLevel.Warning,
		message: 'The grant ledger could not be read or changed',
		action: 'Restore the key-value service; until then, units stay where they are.',
	},
	[LogEvent.PartitionsChanged]: {
		level: LogLevel.Information,
		message: 'The number of claim partitions that this instance owns has changed',
		action: none,
	},
	[LogEvent.ClaimsInMemory]: {
		level: LogLevel.Warning,
		message: 'Claims are kept in memory until the platform answers',
		action: 'Do not replace this instance before the platform answers again.',
	},
	[LogEvent.UpstreamEjected]: {
		level: LogLevel.Warning,
		message: 'An upstream failed repeatedly and gets no work for a while',
		action: 'Check the upstream.',
	},
	[LogEvent.UpstreamRestored]: {
		level: LogLevel.Information,
		message: 'An ejected upstream gets work again',
		action: none,
	},
	[LogEvent.AnswerDropped]: {
		level: LogLevel.Warning,
		message: 'A response of an upstream was discarded because it was incomplete or belonged to another request',
		action: 'Check the upstream.',
	},
	[LogEvent.AttemptFailed]: {
		level: LogLevel.Debug,
		message: 'A request could not be sent to an upstream, or got no response',
		action: none,
	},
	[LogEvent.RequestRefused]: {
		level: LogLevel.Debug,
		message: 'A request was refused',
		action: none,
	},
	[LogEvent.MaintenanceStepRecorded]: {
		level: LogLevel.Information,
		message: 'A step of a maintenance wave or a move was recorded',
		action: none,
	},
	[LogEvent.MaintenanceStopped]: {
		level: LogLevel.Warning,
		message: 'The maintenance wave waits because an availability budget is used up',
		action: 'Replace the failed instances named in maintenance status.',
	},
	[LogEvent.InstanceFailureRecorded]: {
		level: LogLevel.Warning,
		message: 'An unplanned failure of an instance counts against its availability budgets',
		action: 'Replace the instance.',
	},
	[LogEvent.FleetLedgerFailed]: {
		level: LogLevel.Warning,
		message: 'The fleet ledger could not be read or changed, or a step of it could not be carried out',
		action: 'Check the reason; no step begins until the platform answers.',
	},
	[LogEvent.JobAccepted]: {
		level: LogLevel.Information,
		message: 'A job was stored and accepted',
		action: none,
	},
	[LogEvent.JobRefused]: {
		level: LogLevel.Information,
		message: 'A call about a job was refused',
		action: 'Read the reason; callers retry on their own.',
	},
	[LogEvent.JobCancelled]: {
		level: LogLevel.Information,
		message: 'The cancellation of a job was decided',
		action: none,
	},
	[LogEvent.JobFinished]: {
		level: LogLevel.Information,
		message: 'The final state of a job was stored',
		action: none,
	},
	[LogEvent.CallFailed]: {
		level: LogLevel.Warning,
		message: 'A call ended in an internal error, or its caller left while sending the body',
		action: 'Read the message; no action is needed if the caller closed the connection.',
	},
	[LogEvent.JobsLoaded]: {
		level: LogLevel.Information,
		message: 'The owner has read the stored jobs and workers',
		action: none,
	},
	[LogEvent.RunStarted]: {
		level: LogLevel.Information,
		message: 'A worker was told to run a task',
		action: none,
	},
	[LogEvent.RunChanged]: {
		level: LogLevel.Information,
		message: 'A run ended, was adopted or was abandoned, or a job was given up',
		action: none,
	},
	[LogEvent.RunStop]: {
		level: LogLevel.Information,
		message: 'A run is being stopped or is not moved after all, or the call that stops it has ended',
		action: none,
	},
	[LogEvent.RunsDisrupted]: {
		level: LogLevel.Information,
		message: 'Maintenance, a wave or an evacuation is about to end runs; the fields tell which tasks of their steps count as unavailable',
		action: 'If a service had more tasks unavailable than it allows, compare this with what events 8511, 8512 and 8514 say of its tasks.',
	},
	[LogEvent.StepWaiting]: {
		level: LogLevel.Warning,
		message: 'A step could run, but none of its tasks has been started for some seconds',
		action: 'Compare the workers with free capacity and the maximum of the workspace; without either, look for an owner that may not start or is late.',
	},
	[LogEvent.WorkerUnreachable]: {
		level: LogLevel.Warning,
		message: 'A worker does not answer and gets no new work',
		action: 'Check the worker; its tasks start on other workers when the worker\'s lease has expired.',
	},
	[LogEvent.WorkerReachable]: {
		level: LogLevel.Information,
		message: 'A worker answers again',
		action: none,
	},
	[LogEvent.WorkerCrashed]: {
		level: LogLevel.Warning,
		message: 'A worker process has ended without notice while it ran tasks',
		action: 'Check the worker; its tasks start on other workers.',
	},
	[LogEvent.OwnershipGained]: {
		level: LogLevel.Information,
		message: 'This instance owns the jobs now',
		action: none,
	},
	[LogEvent.OwnershipLost]: {
		level: LogLevel.Warning,
		message: 'This instance no longer owns the jobs',
		action: 'Another instance takes over; look for pauses of this process or an outage of the store.',
	},
	[LogEvent.OwnerSeen]: {
		level: LogLevel.Information,
		message: 'The instance that owns the jobs has changed',
		action: none,
	},
	[LogEvent.OwnerDelayed]: {
		level: LogLevel.Warning,
		message: 'The owner of the jobs has not planned for some time',
		action: 'Look for pauses of this process, and for processor time near the limit of its machine.',
	},
	[LogEvent.ElectionFailed]: {
		level: LogLevel.Information,
		message: 'An attempt of this instance to become the owner of the jobs has failed',
		action: 'None with the outcome taken. With unavailable look for an outage of the store; the instance tries again.',
	},
	[LogEvent.OwnerMissing]: {
		level: LogLevel.Warning,
		message: 'This instance has known no owner of the jobs for some time, so none of them starts',
		action: 'Look at what it waits for. Each of them ends with the outage of the store; if the store answers, report it.',
	},
	[LogEvent.WaveStep]: {
		level: LogLevel.Information,
		message: 'A step of a maintenance wave was decided',
		action: none,
	},
	[LogEvent.MachineMoved]: {
		level: LogLevel.Information,
		message: 'The move of a machine to another pool was ordered',
		action: none,
	},
	[LogEvent.RecordUnreadable]: {
		level: LogLevel.Warning,
		message: 'A record in the store cannot be read and is ignored',
		action: 'Find out which program wrote it.',
	},
	[LogEvent.SettingsReloaded]: {
		level: LogLevel.Information,
		message: 'SIGHUP was received; the settings file is read only when the process starts',
		action: none,
	},
	[LogEvent.DispatcherGained]: {
		level: LogLevel.Information,
		message: 'The owner of the jobs calls workers through another instance',
		action: none,
	},
	[LogEvent.DispatcherLost]: {
		level: LogLevel.Warning,
		message: 'The owner of the jobs does not call workers through an instance any more',
		action: 'None if the instance is stopping or not needed. Otherwise look at the reason, and at the processor time and the link of that instance.',
	},
	[LogEvent.DispatchEnded]: {
		level: LogLevel.Information,
		message: 'This instance does not call workers for an owner of the jobs any more',
		action: none,
	},
	[LogEvent.ChangesNotStored]: {
		level: LogLevel.Warning,
		message: 'The owner of the jobs has ended before all its changes were stored',
		action: 'None: workers report the ends of runs again to the next owner. If it happens at planned stops, look for a slow store or one that rejects this instance.',
	},
	[LogEvent.ProgressTooLarge]: {
		level: LogLevel.Warning,
		message: 'The progress of a job is larger than a value in the store may be',
		action: 'Look at the outcome: without checkpoints, tasks of the job repeat work when they start again; a job that failed has to be submitted again in parts.',
	},
	[LogEvent.ZoneEvacuationBegun]: {
		level: LogLevel.Warning,
		message: 'The operator has evacuated a zone; its workers get no new runs',
		action: 'None; event 8553 follows once no run is left there.',
	},
	[LogEvent.ZoneEvacuationCancelled]: {
		level: LogLevel.Information,
		message: 'The evacuation of a zone was cancelled; its workers get runs again',
		action: none,
	},
	[LogEvent.ZoneEmptied]: {
		level: LogLevel.Information,
		message: 'No run is left in an evacuated zone',
		action: none,
	},
	[LogEvent.PlaceWaitBegun]: {
		level: LogLevel.Debug,
		message: 'A task waits for capacity on its preferred rack, or a gang for one rack',
		action: none,
	},
	[LogEvent.PlaceWaitEnded]: {
		level: LogLevel.Information,
		message: 'A wait for preferred capacity has ended',
		action: 'If many end with forecast-failed or bound, compare the run times of the tasks there with their declared ones.',
	},
	[LogEvent.JobRefusedByLoad]: {
		level: LogLevel.Information,
		message: 'A job was refused because it could not have ended while it was of use; the fields are the figures that decided it',
		action: 'With cause beyond-share look at the load of the workspace, with no-capacity at the capacity of the pool.',
	},
	[LogEvent.RefusalNotRecorded]: {
		level: LogLevel.Information,
		message: 'The refusal of a job could not be recorded in time, and the job was handled like an admitted one',
		action: 'If there are many, look for a slow store.',
	},
	[LogEvent.PoolFull]: {
		level: LogLevel.Warning,
		message: 'More tasks are ready in a pool than its workers have capacity for; its workspaces get their shares by weight',
		action: 'If it lasts, add machines; turmericbay_workspace_usage and turmericbay_workspace_share show who uses the pool.',
	},
	[LogEvent.PoolRelieved]: {
		level: LogLevel.Information,
		message: 'All tasks that are ready in a pool have capacity again',
		action: 'None.',
	},
	[LogEvent.InternalError]: {
		level: LogLevel.Error,
		message: 'An internal error of the daemon',
		action: 'Report it with the log lines around it.',
	},
};

/** The catalogue as a Markdown page. */
export const renderLogEventCatalogue = (): string => {
	const rows = Object.entries(logEvents).map(([number, {level, message, action}]) =>
		`| ${number} | ${LogEvent[Number(number)]} | ${LogLevel[level].toLowerCase()} | ${message} | ${action} |`);
	return [
		'# Log events',
		'',
		'Every log line is one JSON object. `context.event` is the number below, `context.logLevel` the level',
		'(debug 20, information 30, warning 40, error 50); further fields are in `context`.',
		'Keys and secrets are never logged.',
		'',
		'| number | name | level | message | what to do |',
		'| --- | --- | --- | --- | --- |',
		...rows,
		'',
	].join('\n');
};
